#!/bin/sh
# Builds the programs that the scripts of the cases start, beside the daemon.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o target/review/ ./review/cmd/...
