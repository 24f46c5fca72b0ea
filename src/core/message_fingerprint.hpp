// Tells whether two requests with the same X-Call-Id submit the same message.
//
// Ids are chosen by clients, so an id alone does not identify a message: another client may use it for a
// message of its own. Requests submit the same message if class, tenant, destination, idempotency key and
// body are equal as well. The time left is not compared, since it may differ when a request is sent again.
#pragma once

#include <cstdint>

#include "stream.hpp"

namespace fennellane {

// A 128-bit hash (XXH3) of what identifies a message besides its id. It is not cryptographic: who can submit
// a message of equal fingerprint on purpose knows the message, and can submit the message itself.
struct MessageFingerprint {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
  bool operator==(const MessageFingerprint&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(low, high);
  }
};

MessageFingerprint fingerprint_of(const JournalEntry& entry);

}  // namespace fennellane
