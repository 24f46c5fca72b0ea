#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, into build/review-2. Run from anywhere, after the
# build of deploy/balancer.toml; it needs no packages beyond that build's.
set -eu
# An empty environment has no PATH that programs inherit, and the compiler looks for its parts through it.
PATH=${PATH:-/usr/local/bin:/usr/bin:/bin}
export PATH
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
cxx="${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread"
# The project's own stand-in for a Consul agent, and what it reads HTTP with.
consul="-DASIO_STANDALONE -Itools/standin -Isrc/http -Isrc/base -Isrc/io -isystem /usr/include/jsoncpp"
objects=
for source in tools/standin/consul_agent.cpp tools/standin/consul_store.cpp tools/standin/threaded_server.cpp \
  src/http/http.cpp src/http/header_fields.cpp src/base/number.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  $cxx $consul -c "$source" -o "$object"
  objects="$objects $object"
done
$cxx review/standin-2/told_wait.cpp -o "$out/told_wait"
for case in shared_addresses moved_discovery shared_list wait_and_return; do
  $cxx $consul "review/standin-2/$case.cpp" $objects -ljsoncpp -lhttp_parser -o "$out/$case"
done
