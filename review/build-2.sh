#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the Rust toolchain alone. The deploy file builds the node.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A warnings -o target/review-2/cases review/common-2/main.rs
