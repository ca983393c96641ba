#!/bin/sh
# Builds the stand-ins of the cases; needs nothing but the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/review-standin review/standin/main.rs
