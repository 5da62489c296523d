#!/bin/sh
# Builds what the scripts in this folder start, besides the build of the deploy
# file: the stand-ins, one program for each case with a script.
set -e
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Isrc"
libraries="glib-2.0 jansson libmicrohttpd"
for source in [1-5]/case.c
do
  [ -e "$source" ] || continue
  cc $flags -o "bin/case-$(dirname "$source")" "$source" src/stage.c \
    $(pkg-config --cflags --libs $libraries) -lpthread
done
