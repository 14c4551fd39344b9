#!/usr/bin/env bash
# Takes away a tenant's key and its route in one version while it has a transaction
# open. TROUBLE=0 changes a timeout instead.
set -u
cd "$(dirname "$0")/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/review/standin ] && [ -x target/bronzeloft ] || exit 2
exec target/review/standin --case offboard --trouble="$trouble" --daemon target/bronzeloft --record review/5/record.txt
