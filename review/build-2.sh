#!/bin/bash
# Build the stand-ins of the cases of REPORT-2.md into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
modules="libmicrohttpd jansson glib-2.0"
gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra \
  $(pkg-config --cflags $modules) -o target/review-2/cases \
  review/standin-2/*.c \
  $(pkg-config --libs $modules) -lpthread
