#include "message_fingerprint.hpp"

#include <xxhash.h>

#include <array>

namespace fennellane {

MessageFingerprint fingerprint_of(const JournalEntry& entry) {
  const XXH128_hash_t key = XXH3_128bits(entry.idempotency_key.data(), entry.idempotency_key.size());
  const XXH128_hash_t body = XXH3_128bits(entry.body->data(), entry.body->size());
  const std::array<std::uint64_t, 7> parts = {entry.message_class, entry.tenant, entry.destination, key.low64,
                                              key.high64,          body.low64,   body.high64};
  const XXH128_hash_t hash = XXH3_128bits(parts.data(), sizeof parts);
  return {hash.low64, hash.high64};
}

}  // namespace fennellane
