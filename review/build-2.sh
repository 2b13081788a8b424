#!/bin/sh
# Builds the stand-ins of the cases from 6 on into build/review-2. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
compile="${CXX:-c++} -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/support-2"
$compile -c review/support-2/standin.cpp -o "$out/standin.o"
for folder in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$folder/case.cpp" ]; then
    $compile "$folder/case.cpp" "$out/standin.o" -o "$out/case-$(basename "$folder")"
  fi
done
