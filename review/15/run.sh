#!/bin/sh
# Exits with 1 if rule MIXED was broken, 0 if it held and 2 if the case could not run.
# It writes record.txt in its folder. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stage ] && [ -x target/cumincoved ] || { echo "build target/cumincoved and target/stage first" >&2; exit 2; }
exec target/stage 15 review/15/record.txt
