#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They need no library and no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
