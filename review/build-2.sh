#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, one program a case, into review/build-2/. Needs only the C++
# compiler that the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
for name in 6 7 8 9 10; do
  source=$name/case.cpp
  [ -f "$source" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -Irig-2 -o "build-2/$name" "$source"
done
