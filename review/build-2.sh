#!/bin/sh
# Builds the tests of the cases 6 to 10 with their stand-ins into build/review-2. They need the C++
# compiler and the C++ library alone; no script starts a stand-in of the project's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for test in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$test/test.cc" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand-ins-2 "$test/test.cc" \
    -o "build/review-2/case-${test#review/}"
done
