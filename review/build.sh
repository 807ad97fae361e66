#!/bin/sh
# Builds the stand-ins of all cases into build-review/. Needs only the compiler of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
for folder in review/[0-9]*; do
  [ -f "$folder/case.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$folder/case.cpp" -o "build-review/case-${folder##*/}"
done
