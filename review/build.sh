#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
# A program that runs is not replaced while it is up to date: it starts its engines from its own file.
if [ -x target/review/stand_ins ] && [ -z "$(find review/stand_ins -name '*.rs' -newer target/review/stand_ins)" ]; then
  exit 0
fi
# A folder of its own, since several cases may be built at once.
folder=$(mktemp -d target/review/build.XXXXXX)
trap 'rm -rf "$folder"' EXIT
rustc --edition 2021 -O -o "$folder/stand_ins" review/stand_ins/main.rs
mv "$folder/stand_ins" target/review/stand_ins
