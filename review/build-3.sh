#!/usr/bin/env bash
# Builds what the scripts of the third review start, into build-review-3/, besides the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/lab-3 -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-3 --target review_lab
