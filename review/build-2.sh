#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, with the packages of the deploy file, into target/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -pthread"
g++ $flags -Isrc -o "$out/store-stand-in" tests/stand-ins/StoreStandIn.cpp src/core/*.cpp \
    -lboost_json -lfmt -lcrypto &
for source in review/stand-ins-2/Case-*.cpp; do
    name=$(basename "$source" .cpp)
    g++ $flags -o "$out/${name,,}" "$source"
done
wait $!
