// The copies that one relay holds of another's messages. Without input, output or clock.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "messages.hpp"

namespace fennellane::replica {

// Over the streams of each range and what is so of each; ends do not count, as those are forgotten.
Digests compute_digests(const std::map<StreamId, Record>& held);

class MessageCopies {
 public:
  // False: it is of an older epoch than what is known, and nothing has changed.
  bool apply(const Records& records);
  // All that the owner holds in one range, under that epoch; what it does not name has ended.
  bool apply(const Range& range, Version as_of);
  // The ranges are equal to the owner's now.
  void mark_caught_up(Version position) { position_ = std::max(position_, position); }

  Version position() const { return position_; }
  Digests digests() const { return compute_digests(held_); }
  const std::map<StreamId, Record>& held() const { return held_; }
  std::size_t bytes() const { return bytes_; }  // of ids and bodies, and a set sum for each stream

 private:
  void merge(const Record& record);
  void erase(std::map<StreamId, Record>::iterator it);

  Version position_;
  std::map<StreamId, Record> held_;  // that have not ended
  std::size_t bytes_ = 0;
};

// What one stream counts for, beside its id and body.
inline constexpr std::size_t kStreamOverheadBytes = 256;

}  // namespace fennellane::replica
