#include "history.hpp"

#include <algorithm>

namespace fennellane::harness {
namespace {

using Kind = standin::StoreEvent::Kind;

std::string breach_of_locks(const History& h) {
  struct Lock {
    std::string holder;
    std::uint64_t token = 0;
    SteadyTime lapsed{};  // with its lock-delay; min: none
  };
  std::map<std::string, Lock> locks;
  for (const standin::StoreEvent& e : h.store) {
    if (e.kind == Kind::restarted) {
      // No server keeps its lock-delays; one that has lost its state has no locks either.
      for (auto& [key, lock] : locks) lock.lapsed = {};
      if (e.value == "lost") locks.clear();
      continue;
    }
    Lock& lock = locks[e.key];
    const std::string what = e.key + " by " + e.session + ", token " + std::to_string(e.lock_index);
    switch (e.kind) {
      case Kind::acquired:
        if (!lock.holder.empty()) return "a lock was taken that " + lock.holder + " held: " + what;
        if (e.lock_index <= lock.token) return "a token did not grow: " + what;
        if (lock.lapsed != SteadyTime{} && e.at < lock.lapsed + h.lock_delay)
          return "a lock was taken within the lock-delay: " + what;
        lock = {e.session, e.lock_index, {}};
        break;
      case Kind::released:
      case Kind::lost:
        if (lock.holder != e.session) return "a lock was let go by another than its holder: " + what;
        lock.holder.clear();
        lock.lapsed = e.kind == Kind::lost ? e.at : SteadyTime{};
        break;
      case Kind::written:
        if (lock.holder != e.session || e.holder != e.session)
          return "a write was taken of a session that does not hold the role: " + what;
        break;
      default:
        break;
    }
  }
  return "";
}

std::string breach_of_claims(const History& h) {
  std::map<std::pair<std::string, std::uint64_t>, std::string> owner;
  for (const Claim& c : h.claims) {
    if (!c.acts) continue;
    const auto [it, fresh] = owner.emplace(std::pair(c.role, c.token), c.relay);
    if (!fresh && it->second != c.relay)
      return "token " + std::to_string(c.token) + " of " + c.role + " was claimed by " + it->second +
             " and " + c.relay;
  }
  return "";
}

std::string breach_of_messages(const History& h) {
  std::map<std::string, std::size_t> calls;
  for (const Call& c : h.calls) ++calls[c.id];
  for (const auto& [id, relay] : h.taken) {
    if (calls.count(id) == 0 && h.undelivered.count(id) == 0)
      return id + ", taken on by " + relay + ", has no end";
  }
  for (const std::string& id : h.pays)
    if (calls[id] > 1) return id + " was called " + std::to_string(calls[id]) + " times";
  if (h.held > 0) return std::to_string(h.held) + " messages are still held";
  return "";
}

}  // namespace

std::string breach(const History& history) {
  std::string found = breach_of_locks(history);
  if (found.empty() && history.state_kept) found = breach_of_claims(history);
  if (found.empty()) found = breach_of_messages(history);
  return found;
}

std::vector<std::chrono::microseconds> failovers(const History& history) {
  std::vector<std::chrono::microseconds> spans;
  std::map<std::string, SteadyTime> lapsed;
  for (const standin::StoreEvent& e : history.store) {
    if (e.kind == Kind::lost) {
      lapsed[e.key] = e.at;
    } else if (e.kind == Kind::written && lapsed.count(e.key) > 0) {
      spans.push_back(std::chrono::duration_cast<std::chrono::microseconds>(e.at - lapsed.at(e.key)));
      lapsed.erase(e.key);
    }
  }
  return spans;
}

}  // namespace fennellane::harness
