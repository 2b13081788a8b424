#!/bin/sh
# Builds the stand-ins of the cases, each case in one program, into review/build. Needs only the compiler.
cd "$(dirname "$0")" || exit 2
mkdir -p build || exit 2
for source in [123]/case.cpp; do
  [ -f "$source" ] || continue
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -I. -o "build/case_${source%%/*}" "$source" || exit 1
done
