#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>

#include "instances.hpp"

namespace {

// Appends `count` bytes; returns false if the input ends before the first of them. Reads in chunks, so that a
// frame with a false length takes no memory.
bool read_bytes(std::string& into, std::size_t count) {
  constexpr std::size_t kChunkSize = 1 << 16;
  const bool at_start = into.empty();
  while (count > 0) {
    std::size_t chunk = std::min(count, kChunkSize);
    std::size_t start = into.size();
    into.resize(start + chunk);
    std::size_t received = std::fread(into.data() + start, 1, chunk, stdin);
    if (received == 0 && start == 0 && at_start) return false;
    if (received < chunk) throw wire::InputError("input ended inside a frame");
    count -= chunk;
  }
  return true;
}

int run() {
  wire::Instances instances;
  std::string frame;
  while (true) {
    frame.clear();
    if (!read_bytes(frame, 4)) return 0;
    read_bytes(frame, wire::frame_length(frame) - 4);
    std::string reply = instances.process_frame(frame);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
      throw wire::InputError("cannot write the reply");
    }
  }
}

}  // namespace

int main() {
  try {
    return run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "starlinghook_adapter: %s\n", e.what());
    return 1;
  }
}
