// Serialization of a component's state for a process that takes over from another. Fields are written in a
// fixed order with cereal. Points in time are kept as they are: both processes read the same clock.
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

// `write` is called with a SnapshotWriter.
template <class Write>
std::string write_snapshot(Write write) {
  std::ostringstream out;
  SnapshotWriter archive(out);
  write(archive);
  return std::move(out).str();
}

// The same with a version number, which is raised with each change of the format; other versions are
// rejected.
template <class Write>
std::string write_snapshot(std::uint32_t version, Write write) {
  return write_snapshot([&](SnapshotWriter& archive) {
    archive(version);
    write(archive);
  });
}

// Reads bytes in place, without a copy.
class SnapshotView : public std::streambuf {
 public:
  explicit SnapshotView(std::string_view bytes) {
    char* const first = const_cast<char*>(bytes.data());  // never written to
    setg(first, first, first + bytes.size());
  }
};

// `read` is called with a SnapshotReader. Throws starlinghook::SnapshotError if the bytes are malformed or
// not all of them are read.
template <class Read>
void read_snapshot(std::string_view bytes, const char* name, Read read) {
  try {
    SnapshotView view(bytes);
    std::istream in(&view);
    SnapshotReader archive(in);
    read(archive);
    if (in.peek() == std::istream::traits_type::eof()) return;
  } catch (const cereal::Exception&) {
  } catch (const std::bad_alloc&) {     // a corrupt length
  } catch (const std::length_error&) {  // a corrupt length
  }
  throw starlinghook::SnapshotError(std::string(name) + " cannot be deserialized");
}
template <class Read>
void read_snapshot(std::string_view bytes, const char* name, std::uint32_t version, Read read) {
  read_snapshot(bytes, name, [&](SnapshotReader& archive) {
    std::uint32_t found = 0;
    archive(found);
    if (found != version) {
      throw starlinghook::SnapshotError(std::string(name) + " has unsupported version " +
                                        std::to_string(found));
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
  archive(e.id, e.address, e.zone, e.kind, e.destination, e.rate, e.started_ms, e.condition);
}

}  // namespace fennellane
