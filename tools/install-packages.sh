#!/usr/bin/env bash
# Installs the missing ones of the Debian packages that the build and the tests
# need.
set -eu
packages=(
    g++ make cmake ninja-build pkg-config python3 clang-format clang-tidy
    libglib2.0-dev libsoup-3.0-dev glib-networking libjsonrpccpp-dev
    libjsoncpp-dev libabsl-dev libtomlplusplus-dev libboost-dev
    libboost-program-options-dev liblog4cplus-dev libxxhash-dev
    librapidcheck-dev libgtest-dev openssl
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
