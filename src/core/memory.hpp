// What a part of the relay remembers, as bytes, for a process that takes over from another. Fields in a set
// order, written with cereal. Points in time stay as they are: both processes read one clock.
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/unordered_map.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <new>
#include <sstream>
#include <string>
#include <string_view>

#include "cluster.hpp"

namespace fennellane {

using MemoryWriter = cereal::BinaryOutputArchive;
using MemoryReader = cereal::BinaryInputArchive;

// `write` is called with a MemoryWriter.
template <class Write>
std::string written_memory(Write write) {
  std::ostringstream out;
  MemoryWriter archive(out);
  write(archive);
  return std::move(out).str();
}

// `read` is called with a MemoryReader. Throws starlinghook::MemoryError where the bytes are not what it
// reads, or are more.
template <class Read>
void read_memory(std::string_view bytes, const char* whose, Read read) {
  try {
    std::istringstream in{std::string(bytes)};
    MemoryReader archive(in);
    read(archive);
    if (in.peek() == std::istringstream::traits_type::eof()) return;
  } catch (const cereal::Exception&) {
  } catch (const std::bad_alloc&) {     // a length that is none
  } catch (const std::length_error&) {  // the same
  }
  throw starlinghook::MemoryError(std::string(whose) + " cannot be read");
}

template <class Archive>
void serialize(Archive& archive, Address& a) {
  archive(a.host, a.port);
}
template <class Archive>
void serialize(Archive& archive, HostEntry& e) {
  archive(e.id, e.address, e.zone, e.kind, e.destination, e.rate, e.condition);
}

}  // namespace fennellane
