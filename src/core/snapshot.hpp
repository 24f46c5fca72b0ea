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
#include <istream>
#include <new>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>

#include "cluster.hpp"

namespace fennellane {

using SnapshotWriter = cereal::BinaryOutputArchive;
using SnapshotReader = cereal::BinaryInputArchive;

// `write` is called with a MemoryWriter.
template <class Write>
std::string write_snapshot(Write write) {
  std::ostringstream out;
  SnapshotWriter archive(out);
  write(archive);
  return std::move(out).str();
}

// The same, of one version: it is raised with each change of what is written, and another's bytes are not
// read.
template <class Write>
std::string write_snapshot(std::uint32_t version, Write write) {
  return write_snapshot([&](SnapshotWriter& archive) {
    archive(version);
    write(archive);
  });
}

// Bytes that are read where they stand.
class SnapshotView : public std::streambuf {
 public:
  explicit SnapshotView(std::string_view bytes) {
    char* const first = const_cast<char*>(bytes.data());  // that nothing is written to
    setg(first, first, first + bytes.size());
  }
};

// `read` is called with a MemoryReader. Throws starlinghook::MemoryError where the bytes are not what it
// reads, or are more.
template <class Read>
void read_snapshot(std::string_view bytes, const char* whose, Read read) {
  try {
    SnapshotView view(bytes);
    std::istream in(&view);
    SnapshotReader archive(in);
    read(archive);
    if (in.peek() == std::istream::traits_type::eof()) return;
  } catch (const cereal::Exception&) {
  } catch (const std::bad_alloc&) {     // a length that is none
  } catch (const std::length_error&) {  // the same
  }
  throw starlinghook::SnapshotError(std::string(whose) + " cannot be read");
}
template <class Read>
void read_snapshot(std::string_view bytes, const char* whose, std::uint32_t version, Read read) {
  read_snapshot(bytes, whose, [&](SnapshotReader& archive) {
    std::uint32_t found = 0;
    archive(found);
    if (found != version) {
      throw starlinghook::SnapshotError(std::string(whose) + " is of version " + std::to_string(found));
    }
    read(archive);
  });
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
