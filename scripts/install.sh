#!/bin/bash
# Install the Debian packages that the build and the tests need, where missing.
set -eu
packages="gcc g++ make cmake pkg-config clang-format clang-tidy curl git
  libtalloc-dev libtevent-dev libmsgpack-dev libmicrohttpd-dev
  libcurl4-openssl-dev libyaml-dev liblog4c-dev libglib2.0-dev libcunit1-dev
  libck-dev libjemalloc-dev libjansson-dev libxxhash-dev procps gawk"
missing=
for package in $packages; do
  dpkg-query -W -f '${Status}' "$package" 2> /dev/null |
    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -q > /dev/null
apt-get install -qy --no-install-recommends $missing > /dev/null
