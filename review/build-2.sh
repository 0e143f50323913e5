#!/usr/bin/env bash
# Builds the commands of the cases review/6 to review/10, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
  [ -d "review/$n" ] || continue
  go build -mod=readonly -o "target/review-2/$n" "./review/$n"
done
# The cases review/11 to review/13 share one program, which has their stand-ins.
go build -mod=readonly -trimpath -o target/kit3 ./review/kit3
