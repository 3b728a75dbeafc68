#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8, without a network. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/stand_ins_2/main.rs
