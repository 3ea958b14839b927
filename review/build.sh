#!/bin/sh
# Builds the stand-ins of the cases. They need the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in standins/*.rs; do
    name=$(basename "$case" .rs)
    [ "$name" = common ] || rustc --edition 2024 -O -o "bin/$name" "$case"
done
