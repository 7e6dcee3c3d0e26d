#!/usr/bin/env bash
# Installs what building and testing need on Debian 12. Does nothing when all is there.
set -eu
packages="g++ cmake ninja-build pkg-config clang-format clang-tidy curl
  libcivetweb-dev libcpp-httplib-dev libwebsocketpp-dev libasio-dev libboost-dev nlohmann-json3-dev
  prometheus-cpp-dev libtclap-dev libexpected-dev libinih-dev libxxhash-dev libzstd-dev nettle-dev
  catch2 libtrompeloeil-cpp-dev librapidcheck-dev libbenchmark-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
as_root=""
[ "$(id -u)" = 0 ] || as_root=sudo
$as_root apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends $missing >/dev/null
