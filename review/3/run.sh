#!/usr/bin/env bash
# Stops the two hosts of each zone in turn, a second apart, while callers read through
# them, and starts them again. TROUBLE=0 leaves the SIGTERMs out.
set -u
cd "$(dirname "$0")/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/review/standin ] && [ -x target/bronzeloft ] || exit 2
exec target/review/standin --case rolling --trouble="$trouble" --daemon target/bronzeloft --record review/3/record.txt
