#!/usr/bin/env bash
# Builds what the cases start beside mountflowd: the project's own stand-ins, in the folder of the deploy
# file's build, and the small ones of this folder, in review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build build -j4 --target mountflow-node mountflow-registry-standin mountflow-batch
mkdir -p review/bin
for source in review/support/*.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "review/bin/$(basename "$source" .cpp)" "$source"
done
