#!/bin/sh
# Builds the stand-ins of the cases 7 to 11, with the standard library only. The boxes are those of
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-3 review/standin-3.rs
