#include "history.hpp"

#include <json/json.h>

#include <algorithm>
#include <sstream>

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

struct SlotHolder {
  std::string relay, zone;
};

Json::Value parsed(const std::string& text) {
  Json::Value value;
  std::string errors;
  std::istringstream in(text);
  return Json::parseFromStream(Json::CharReaderBuilder(), in, &value, &errors) ? value : Json::Value();
}

// What a transaction writes with this verb to the key that ends so; null where it does not.
Json::Value value_written(const std::string& transaction, const char* verb, const char* key) {
  for (const Json::Value& operation : parsed(transaction)) {
    const Json::Value& kv = operation["KV"];
    if (kv["Verb"].asString() == verb && kv["Key"].asString().ends_with(key))
      return parsed(standin::bytes_of_base64(kv["Value"].asString()));
  }
  return {};
}

// The holders that a transaction writes into the budget's lock key, by session; nothing where it does not.
std::map<std::string, SlotHolder> holders_written(const std::string& transaction) {
  std::map<std::string, SlotHolder> holders;
  if (const Json::Value value = value_written(transaction, "cas", "/.lock"); !value.isNull()) {
    for (const std::string& session : value["Holders"].getMemberNames()) {
      const Json::Value& holder = value["Holders"][session];
      holders[session] = {holder["relay"].asString(), holder["zone"].asString()};
    }
  }
  return holders;
}

// Calls `at` after each slot that is taken with the zones of the relays that hold one, whatever the newest
// list says: a session that took a slot holds it until it ends. A relay that was killed and asks anew holds
// one, not two.
template <class At>
void walk_slots(const History& h, At at) {
  std::map<std::string, SlotHolder> live;  // by session
  for (const standin::StoreEvent& e : h.store) {
    if (e.kind == Kind::restarted && e.value == "lost") live.clear();
    if (e.key.find("/budget/") == std::string::npos) continue;
    if (e.kind == Kind::lost || e.kind == Kind::released) live.erase(e.session);
    if (e.kind != Kind::written) continue;
    const auto holders = holders_written(e.value);
    if (const auto own = holders.find(e.session); own != holders.end()) {
      // One that it had before is over for it, though its session may live on where its end was not heard.
      std::erase_if(live, [&](const auto& each) { return each.second.relay == own->second.relay; });
      live.insert(*own);
    }
    std::vector<std::string> zones;
    for (const auto& [session, holder] : live) zones.push_back(holder.zone);
    at(e, zones);
  }
}

std::string breach_by_zone(const History& h, const std::vector<std::string>& zones, const std::string& what) {
  if (h.most > 0 && zones.size() > h.most)
    return std::to_string(zones.size()) + " " + what + " of " + std::to_string(h.most);
  std::map<std::string, std::size_t> by_zone;
  for (const std::string& zone : zones)
    if (++by_zone[zone] > h.per_zone && h.per_zone > 0)
      return std::to_string(by_zone[zone]) + " " + what + " of zone " + zone;
  return "";
}

std::string breach_of_slots(const History& h) {
  std::string found;
  walk_slots(h, [&](const standin::StoreEvent& e, const std::vector<std::string>& zones) {
    const std::string what = breach_by_zone(h, zones, "slots are held");
    if (found.empty() && !what.empty()) found = what + ", taken by " + e.session;
  });
  return found;
}

std::vector<std::string> zones_out_at(const History& h, SteadyTime at) {
  std::vector<std::string> zones;
  for (const Outage& o : h.outages)
    if (o.from <= at && at < o.to) zones.push_back(o.zone);
  return zones;
}

std::string breach_of_outages(const History& h) {
  for (const Outage& o : h.outages) {
    const std::string what = breach_by_zone(h, zones_out_at(h, o.from), "relays are out by plan");
    if (!what.empty()) return what + ", when " + o.relay + " went";
  }
  return "";
}

std::string breach_of_verdicts(const History& h) {
  std::uint64_t newest = 0;
  for (const standin::StoreEvent& e : h.store) {
    if (e.kind == Kind::restarted && e.value == "lost") newest = 0;
    if (e.kind != Kind::written || !e.key.ends_with("/role/ejection")) continue;
    const Json::Value verdict = value_written(e.value, "set", "/ejection/verdict");
    if (verdict.isNull()) continue;
    const std::uint64_t token = verdict["token"].asUInt64();
    const std::string what = "a verdict of token " + std::to_string(token);
    if (token < newest) return what + " was taken after one of " + std::to_string(newest);
    newest = token;
    if (h.most_ejected > 0 && verdict["out"].size() > h.most_ejected)
      return what + " lets " + std::to_string(verdict["out"].size()) + " endpoints rest of " +
             std::to_string(h.most_ejected);
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
  std::string found =
      history.ended.empty() ? breach_of_locks(history) : "a relay has ended by itself: " + history.ended;
  if (found.empty() && history.state_kept) found = breach_of_claims(history);
  if (found.empty() && history.state_kept) found = breach_of_slots(history);
  if (found.empty() && history.state_kept) found = breach_of_outages(history);
  if (found.empty()) found = breach_of_verdicts(history);
  if (found.empty()) found = breach_of_messages(history);
  return found;
}

MostOut most_out(const History& h) {
  MostOut most;
  walk_slots(h, [&](const auto&, const auto& zones) { most.slots = std::max(most.slots, zones.size()); });
  for (const Outage& o : h.outages) most.outages = std::max(most.outages, zones_out_at(h, o.from).size());
  return most;
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
