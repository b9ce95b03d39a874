#!/bin/sh
# Builds the stand-ins that the scripts of this review start; needs no package and no network.
# The nodes are built by the deploy file's command.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/main review/standin-2/main.rs
