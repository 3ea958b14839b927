#!/bin/sh
# Builds the stand-ins of the second review. The director itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
