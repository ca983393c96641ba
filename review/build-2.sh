#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; they use the standard library alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/cases review/standin-2/main.rs
