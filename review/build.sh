#!/bin/sh
# Builds every program that a case starts besides the relay, into build/review. Run from anywhere, after the build of
# the deploy file.
set -eu
# An empty environment has none that programs inherit, and the compiler looks for its parts through it.
PATH=${PATH:-/usr/local/bin:/usr/bin:/bin}
export PATH
cd "$(dirname "$0")/.."
mkdir -p build/review
cxx="${CXX:-c++} -std=c++20 -O1 -pthread -Ireview/common"
for source in review/*/main.cpp; do
  [ -f "$source" ] || continue
  $cxx -Wall -Wextra "$source" -o "build/review/case$(basename "$(dirname "$source")")"
done
# The project's own stand-in of a Consul agent, with the libraries that the deploy file's build has left.
if grep -lq '"consul.hpp"' review/*/main.cpp 2>/dev/null; then
  includes=$(find src -mindepth 1 -type d | sed 's/^/-I/')
  $cxx -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DASIO_SEPARATE_COMPILATION -Iinclude -Iadapter -I/usr/include/jsoncpp \
    -Itools/standin $includes review/common/consul_main.cpp tools/standin/consul_agent.cpp \
    tools/standin/consul_store.cpp tools/standin/threaded_server.cpp -Lbuild -lfennellane_http -lfennellane_record -lfennellane_io \
    -lfennellane_core -lfennellane_settings -lfennellane_base -ljsoncpp -lhttp_parser -lspdlog -lfmt -o build/review/consul
fi
