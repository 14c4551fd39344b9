#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review2/ ./review/standin2
