#!/usr/bin/env bash
# Stops one host after the other with SIGTERM while callers run read transactions
# through it, and starts it again. TROUBLE=0 leaves the SIGTERMs out.
set -u
cd "$(dirname "$0")/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/review/standin ] && [ -x target/bronzeloft ] || exit 2
exec target/review/standin --case shutdown --trouble="$trouble" --daemon target/bronzeloft --record review/5/record.txt
