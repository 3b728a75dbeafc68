#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ochreyard ] || { echo "build the release programs first"; exit 2; }
bash review/build.sh || exit 2
exec target/review/stand_ins stale-config review/3/record.txt
