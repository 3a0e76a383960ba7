#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/standin review/standin/standin.cpp
