#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into
# target/review-3. Run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -d review/standin-3 ]; then
  mkdir -p target/review-3
  for source in review/standin-3/*.cpp; do
    g++ -std=c++20 -O2 -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
  done
fi
