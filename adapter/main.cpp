#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>

#include "instances.hpp"

namespace {

// Appends so many bytes; false if the input ended before the first of them. Reads in pieces, so a frame that
// only claims to be long takes no memory.
bool read_bytes(std::string& into, std::size_t count) {
  constexpr std::size_t kPiece = 1 << 16;
  const bool at_start = into.empty();
  while (count > 0) {
    std::size_t piece = std::min(count, kPiece);
    std::size_t start = into.size();
    into.resize(start + piece);
    std::size_t got = std::fread(into.data() + start, 1, piece, stdin);
    if (got == 0 && start == 0 && at_start) return false;
    if (got < piece) throw wire::InputError("the input ends inside a frame");
    count -= piece;
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
      throw wire::InputError("the reply could not be written");
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
