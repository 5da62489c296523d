#!/bin/bash
# Build the stand-ins of review/11 to review/15.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cc -std=gnu11 -O2 -g -Wall -Wextra -Wno-missing-field-initializers \
  -o target/review-3/stage review/standin-3/*.c \
  $(pkg-config --cflags --libs libmicrohttpd jansson glib-2.0) -lpthread
