#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
  name="$(basename "$source" .cpp)"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$name" "$source"
done
