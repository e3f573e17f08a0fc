#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
compile() { g++ -std=c++20 -O1 -Wall -Wextra "$@"; }
compile -c -o build/Case.o stand-ins/Case.cpp
for source in stand-ins/Case-*.cpp; do
    compile -o "build/$(basename "$source" .cpp)" "$source" build/Case.o -lboost_json -lfmt -pthread
done
