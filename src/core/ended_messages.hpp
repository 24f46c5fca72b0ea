// The messages that ended most recently. A client that got no answer may submit its message again after the
// message has ended; it must not be accepted a second time.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "message_fingerprint.hpp"

namespace fennellane {

class EndedMessages {
 public:
  // Keeps the newest `capacity` messages.
  explicit EndedMessages(std::size_t capacity) : capacity_(capacity) {}

  // The id must not be among those kept.
  void add(std::string id, const MessageFingerprint& fingerprint);
  // Null if no message with this id is kept.
  const MessageFingerprint* find(const std::string& id) const;

  // Number of stored records.
  std::size_t record_count() const { return oldest_first_.size() + fingerprints_.size(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(oldest_first_, fingerprints_);
  }

 private:
  std::size_t capacity_;
  std::deque<std::string> oldest_first_;
  std::unordered_map<std::string, MessageFingerprint> fingerprints_;
};

}  // namespace fennellane
