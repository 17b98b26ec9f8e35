#!/bin/sh
# Builds the stand-ins that the scripts in review/4, review/5 and review/6 start. They need nothing
# but the standard library; the boxes come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
exec rustc --edition 2024 -O -o target/review-2/standin review/standin-2.rs
