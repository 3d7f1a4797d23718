#!/bin/sh
# Builds the stand-ins of the scripts, with the compiler alone: they use no library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin.rs
