#!/usr/bin/env bash
# Builds the drivers of cases 6 to 10, which contain the stand-ins. Needs g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build-review-2/case-$name"
done
