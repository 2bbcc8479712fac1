#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10 in target/review-2, after the build of
# the deploy file: it uses that build's libraries.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -I. \
  -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ERROR_CODE_HEADER_ONLY -DGALENASTAGE_VERSION='"review"' \
  review/standin-2/main.cpp review/standin-2/world.cpp review/standin-2/worker.cpp standin/metadata_service.cpp \
  target/libgalenastage_platform.a target/libgalenastage_runtime.a target/libgalenastage_core.a \
  -lcaf_core -lnghttp2 -llog4cplus -lxxhash -lpthread -o target/review-2/review-case
