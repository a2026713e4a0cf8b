#!/usr/bin/env bash
# Builds what the cases 6 to 10 start, after the build of the deploy file: the project's own programs that are no
# part of it, and the stand-ins.
set -e
cd "$(dirname "$0")/.."
cmake --build build -j4 --target mountflow-node mountflow-registry-standin mountflow-batch
mkdir -p build/review-2
build() { "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Ireview/support-2 -o "build/review-2/$1" "$2"; }
build machine review/support-2/machine.cpp
build lossy_path review/support-2/lossy_path.cpp
for case in 6 7 10; do build "case-$case" "review/$case/case.cpp"; done
