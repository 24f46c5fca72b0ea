#!/bin/sh
# Builds every program that a case starts besides the relay, into build/review. Run from anywhere, after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/*/main.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common "$source" -o "build/review/case$number"
done
