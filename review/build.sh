#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/build. The
# instances are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p review/build
compile() { # SOURCE OBJECT
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Werror -pthread -I. -c "$1" -o "review/build/$2.o"
}
jobs=()
for part in http store executor world; do
  compile "review/standin/$part.cpp" "$part" &
  jobs+=($!)
done
for source in review/[1-9]/case.cpp; do
  compile "$source" "case-$(basename "$(dirname "$source")")" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for source in review/[1-9]/case.cpp; do
  name=case-$(basename "$(dirname "$source")")
  "${CXX:-g++}" -pthread "review/build/$name.o" review/build/{http,store,executor,world}.o -o "review/build/$name"
done
