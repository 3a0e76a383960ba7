#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in flows proxy; do
  g++ -std=c++17 -O1 -Wall -Wextra -o "target/review-2/$name" "review/standin-2/$name.cpp"
done
