#!/bin/sh
# Builds the stand-ins of the scripted cases 11 to 15 into target/review-3/. Needs the packages of
# deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$number" "$source"
done
