// The copies that one relay holds of another relay's messages. Pure state machine: performs no I/O and reads
// no clock.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "messages.hpp"

namespace fennellane::replica {

// Digests of the streams of each range and their states; ended streams are not included, as they are not
// stored.
Digests compute_digests(const std::map<StreamId, Record>& held);

class MessageCopies {
 public:
  // False, without any change, if the records are of an older epoch than the known one.
  bool apply(const Records& records);
  // Applies all that the owner holds in one range, as of that epoch; streams missing from it have ended.
  bool apply(const Range& range, Version as_of);
  // All ranges are now equal to the owner's.
  void mark_caught_up(Version position) { position_ = std::max(position_, position); }

  Version position() const { return position_; }
  Digests digests() const { return compute_digests(held_); }
  const std::map<StreamId, Record>& held() const { return held_; }
  std::size_t bytes() const { return bytes_; }  // of ids and bodies, plus a fixed overhead for each stream

 private:
  void merge(const Record& record);
  void erase(std::map<StreamId, Record>::iterator it);

  Version position_;
  std::map<StreamId, Record> held_;  // streams that have not ended
  std::size_t bytes_ = 0;
};

// Accounted bytes of one stream in addition to its id and body.
inline constexpr std::size_t kStreamOverheadBytes = 256;

}  // namespace fennellane::replica
