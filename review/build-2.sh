#!/bin/sh
# Builds the stand-ins of the second review with the compiler alone, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/cases-2
