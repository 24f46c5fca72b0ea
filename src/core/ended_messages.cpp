#include "ended_messages.hpp"

#include <utility>

namespace fennellane {

void EndedMessages::add(std::string id, const MessageFingerprint& fingerprint) {
  fingerprints_.emplace(id, fingerprint);
  oldest_first_.push_back(std::move(id));
  if (oldest_first_.size() <= capacity_) return;
  fingerprints_.erase(oldest_first_.front());
  oldest_first_.pop_front();
}

const MessageFingerprint* EndedMessages::find(const std::string& id) const {
  const auto it = fingerprints_.find(id);
  return it == fingerprints_.end() ? nullptr : &it->second;
}

}  // namespace fennellane
