#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and up, on crates that the project's lock names.
set -eu
cd "$(dirname "$0")/standins-3"
build=(cargo build --release --locked --target-dir ../../target/review-3)
"${build[@]}" --offline || "${build[@]}"
