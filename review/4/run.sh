#!/usr/bin/env bash
# Loses packets between two databases and three in ten of their connections while
# callers write and read. TROUBLE=0 loses none.
set -u
cd "$(dirname "$0")/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/review/standin ] && [ -x target/bronzeloft ] || exit 2
exec target/review/standin --case lossy --trouble="$trouble" --daemon target/bronzeloft --record review/4/record.txt
