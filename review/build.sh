#!/bin/sh
# Builds the stand-ins of all cases with the compiler alone: they use the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O -o bin/rig rig/main.rs
