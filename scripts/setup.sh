#!/usr/bin/env bash
# Installs what the build, the tests and the lint need (Debian, as root).
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
  build-essential cmake ninja-build ccache pkg-config \
  clang clang-format clang-tidy libclang-rt-14-dev \
  libgflags-dev libgoogle-glog-dev libboost-dev libmicrohttpd-dev \
  libcurl4-openssl-dev nlohmann-json3-dev libjsonrpccpp-dev \
  librapidcheck-dev libgtest-dev libbenchmark-dev \
  libsodium-dev libxxhash-dev spin python3 >/dev/null
