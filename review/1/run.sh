#!/usr/bin/env bash
# Freezes one host after the other for 0.8 s while callers run transactions through
# all hosts. TROUBLE=0 leaves the freezes out.
set -u
cd "$(dirname "$0")/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/review/standin ] && [ -x target/bronzeloft ] || exit 2
exec target/review/standin --case stall --trouble="$trouble" --daemon target/bronzeloft --record review/1/record.txt
