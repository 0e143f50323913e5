#!/bin/sh
# Builds all that the scripts of review/11 to 18 start, beside the daemon, which the
# build of the deploy file makes.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -o target/ ./review/stage ./review/kit3
