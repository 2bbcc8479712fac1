#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 11 to 15 start. Needs a compiler
# and nlohmann-json, as the deploy file does.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p build/review-3
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o build/review-3/standin-3 review/standin-3/*.cpp
