#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into build/review-2. Run after the build of
# deploy/balancer.toml; it needs no packages beyond that build's.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)

build() {  # a program of this review's own
  g++ "${flags[@]}" "review/standin-2/$1.cpp" -o "$out/$1"
}
build_with_consul() {  # the same, with the project's stand-in for a Consul agent
  g++ "${flags[@]}" -DASIO_STANDALONE -Itools/standin -Isrc/http -Isrc/base -Isrc/io -isystem /usr/include/jsoncpp \
    "review/standin-2/$1.cpp" "$out/consul.a" -ljsoncpp -lhttp_parser -o "$out/$1"
}

for source in tools/standin/{consul_agent,consul_store,threaded_server}.cpp src/http/{http,header_fields}.cpp src/base/number.cpp; do
  g++ "${flags[@]}" -DASIO_STANDALONE -Itools/standin -Isrc/http -Isrc/base -Isrc/io -isystem /usr/include/jsoncpp \
    -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
rm -f "$out/consul.a"
ar rcs "$out/consul.a" "$out"/{consul_agent,consul_store,threaded_server,http,header_fields,number}.o

build told_wait
build hup_at_start
build_with_consul shared_list
build_with_consul shared_addresses
build_with_consul wait_and_return
