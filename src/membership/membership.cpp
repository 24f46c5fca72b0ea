#include "membership.hpp"

#include <algorithm>
#include <unordered_set>

namespace fennellane {
namespace {

using starlinghook::Condition;

constexpr std::size_t kMostGoneBefore = 4096;
constexpr std::size_t kMostLines = 4;  // of one change

double weight_of(const Instance& i) {
  return i.health == HostHealth::passing   ? i.weight_passing
         : i.health == HostHealth::warning ? i.weight_warning
                                           : 0;
}
bool takes_work(const Instance& i) { return weight_of(i) > 0; }

bool same(const HostEntry& a, const HostEntry& b) {
  return a.condition == b.condition && a.rate == b.rate && a.address == b.address && a.zone == b.zone &&
         a.kind == b.kind;
}

}  // namespace

Membership::Membership(const MembershipSettings& settings) : settings_(settings) {
  for (std::uint32_t service = 0; service < settings.services; ++service) unanswered_.insert(service);
}

void Membership::restore(std::uint32_t service, const Instance& instance) {
  if (!instance.usable || service >= settings_.services) return;
  const auto [it, added] = hosts_.emplace(instance.id, Host{});
  if (!added) return;
  Host& host = it->second;
  host.service = service;
  host.told = instance;
  std::vector<Host*>& siblings = destinations_[instance.destination];
  siblings.push_back(&host);
  const double rate = rate_of(siblings);
  for (Host* h : siblings) h->listed = entry_of(*h, rate);
}

Time Membership::next() const {
  Time first = Time::max();
  for (const auto& [id, due] : waiting_) first = std::min(first, due);
  return first;
}

// A host told again after it had been lost is simply there again.
void Membership::take_one(Time now, std::uint32_t service, const Instance& instance) {
  auto it = hosts_.find(instance.id);
  if (!instance.usable) {
    // Guards a host against a registration that has become unreadable: it stays as it was last told, but for
    // its health.
    if (it == hosts_.end()) return;
    Instance as_before = it->second.told;
    as_before.health = instance.health;
    return take_one(now, service, as_before);
  }
  if (it != hosts_.end() && it->second.told.destination != instance.destination) {
    remove(now, it);  // to the relay it is another host
    it = hosts_.end();
  }
  const bool added = it == hosts_.end();
  if (added) {
    it = hosts_.emplace(instance.id, Host{}).first;
    if (const auto before = gone_before_.extract(instance.id)) it->second.damping = before.mapped();
    destinations_[instance.destination].push_back(&it->second);
  }
  Host& host = it->second;
  const bool worked = !added && takes_work(host.told);
  host.service = service;
  host.told = instance;
  host.lost_at.reset();
  waiting_.erase(instance.id);
  if (worked && !takes_work(instance)) host.damping.went(now, settings_.damping);
  const Time back = host.damping.back_at(now, settings_.damping);
  if (!takes_work(instance)) host.suppressed = false;
  if (takes_work(instance) && !worked) host.suppressed = back > now;
  if (host.suppressed) waiting_[instance.id] = back;
  touch(host);
}

void Membership::unlist(Host& host) {
  if (!host.listed) return;
  host.listed->condition = Condition::gone;
  changes_.push_back(std::move(*host.listed));
  host.listed.reset();
}

void Membership::remove(Time now, Hosts::iterator it) {
  Host& host = it->second;
  touch(host);
  unlist(host);
  if (takes_work(host.told)) host.damping.went(now, settings_.damping);
  if (!host.damping.idle(now, settings_.damping)) {
    // Guards the memory against hosts that come once and never again.
    if (gone_before_.size() >= kMostGoneBefore) {
      std::erase_if(gone_before_, [&](const auto& g) { return g.second.idle(now, settings_.damping); });
    }
    if (gone_before_.size() < kMostGoneBefore) gone_before_[it->first] = host.damping;
  }
  const auto siblings = destinations_.find(host.told.destination);
  std::erase(siblings->second, &host);
  if (siblings->second.empty()) destinations_.erase(siblings);
  waiting_.erase(it->first);
  hosts_.erase(it);
}

// What the answer no longer names.
void Membership::lose(Time now, const ServiceAnswer& answer, MembershipChange& change) {
  std::vector<Hosts::iterator> missing;
  if (answer.whole) {
    std::unordered_set<std::string> named;
    for (const Instance& i : answer.changed) named.insert(i.id);
    for (auto it = hosts_.begin(); it != hosts_.end(); ++it) {
      if (it->second.service == answer.service && !named.contains(it->first)) missing.push_back(it);
    }
  } else {
    for (const std::string& id : answer.gone) {
      const auto it = hosts_.find(id);
      if (it != hosts_.end() && it->second.service == answer.service) missing.push_back(it);
    }
    for (const auto& [id, due] : waiting_) {
      const auto it = hosts_.find(id);
      if (it->second.lost_at && it->second.service == answer.service) missing.push_back(it);
    }
  }
  std::map<std::uint32_t, std::vector<Hosts::iterator>> losses;
  std::unordered_set<const Host*> seen;
  std::vector<Hosts::iterator> gone;
  for (const auto it : missing) {
    Host& host = it->second;
    if (!seen.insert(&host).second) continue;
    const bool said_twice = host.lost_at && *host.lost_at < now && answer.leader && answer.fresh;
    if (said_twice || !takes_work(host.told) || host.suppressed) {
      gone.push_back(it);
    } else {
      losses[host.told.destination].push_back(it);
    }
  }
  std::size_t held = 0;
  for (const auto& [destination, lost] : losses) {
    const auto all = static_cast<double>(destinations_.at(destination).size());
    if (static_cast<double>(lost.size()) <= settings_.most_loss * all) {
      gone.insert(gone.end(), lost.begin(), lost.end());
      continue;
    }
    for (const auto it : lost) {
      Host& host = it->second;
      if (host.lost_at) continue;
      host.lost_at = now;
      waiting_[it->first] = now + settings_.loss_hold;
      ++held;
    }
    change.ask_again = true;
  }
  for (const auto it : gone) remove(now, it);
  if (held > 0) {
    change.lines.push_back(std::to_string(held) + " hosts of " + std::to_string(losses.size()) +
                           " destinations are no longer named and had not drained; they stay until that is "
                           "said once more by the leader, or for " +
                           std::to_string(settings_.loss_hold.count() / 1000) + " ms");
  }
}

MembershipChange Membership::take(Time now, const ServiceAnswer& answer) {
  MembershipChange change;
  for (const Instance& instance : answer.changed) take_one(now, answer.service, instance);
  lose(now, answer, change);
  unanswered_.erase(answer.service);
  const bool first_whole = unanswered_.empty() && !told_whole_;
  told_whole_ = told_whole_ || first_whole;
  return finish(std::move(change), first_whole);
}

MembershipChange Membership::tick(Time now) {
  MembershipChange change;
  std::vector<std::string> due;
  for (const auto& [id, at] : waiting_) {
    if (at <= now) due.push_back(id);
  }
  std::size_t believed = 0;
  for (const std::string& id : due) {
    const auto it = hosts_.find(id);
    if (it->second.lost_at) {
      ++believed;
      remove(now, it);
    } else {
      it->second.suppressed = false;
      waiting_.erase(id);
      touch(it->second);
    }
  }
  if (believed > 0) {
    change.lines.push_back(std::to_string(believed) + " hosts were not named again in time: they are gone");
  }
  return finish(std::move(change), false);
}

// Calls a second of a destination, from what its hosts tell.
double Membership::rate_of(const std::vector<Host*>& hosts) const {
  double sum = 0, highest = 0, weight = 0, full_weight = 0;
  for (const Host* host : hosts) {
    if (!takes_work(host->told) || host->suppressed) continue;
    sum += host->told.rate * weight_of(host->told);
    highest = std::max(highest, host->told.rate);
    weight += weight_of(host->told);
    full_weight += std::max(host->told.weight_passing, weight_of(host->told));
  }
  if (settings_.rate_of == RateOf::host) return sum;
  return full_weight > 0 ? highest * weight / full_weight : 0;
}

HostEntry Membership::entry_of(const Host& host, double rate) const {
  HostEntry entry;
  entry.id = host.told.id + "@" + std::to_string(host.told.destination);
  entry.address = host.told.address;
  entry.zone = host.told.zone;
  entry.kind = host.told.kind;
  entry.destination = host.told.destination;
  const bool ready = takes_work(host.told) && !host.suppressed;
  entry.condition = ready ? Condition::ready : Condition::draining;
  entry.rate = ready ? rate : 0;
  return entry;
}

MembershipChange Membership::finish(MembershipChange change, bool whole) {
  for (const std::uint32_t destination : touched_) {
    const auto it = destinations_.find(destination);
    if (it == destinations_.end()) continue;
    const double rate = rate_of(it->second);
    for (Host* host : it->second) {
      HostEntry entry = entry_of(*host, rate);
      if (host->listed && same(*host->listed, entry)) continue;
      changes_.push_back(entry);
      host->listed = std::move(entry);
    }
  }
  touched_.clear();
  if (change.lines.size() > kMostLines) change.lines.resize(kMostLines);
  if (whole) {
    change.list = whole_list();
  } else if (!changes_.empty()) {
    // Guards a host against its own going: a host that has moved to another destination and back within one
    // answer is gone first and there then.
    std::stable_partition(changes_.begin(), changes_.end(),
                          [](const HostEntry& e) { return e.condition == Condition::gone; });
    change.list.emplace();
    change.list->hosts = std::move(changes_);
  }
  changes_.clear();
  return change;
}

HostList Membership::whole_list() const {
  HostList list;
  list.whole = true;
  for (const auto& [id, host] : hosts_) {
    if (host.listed) list.hosts.push_back(*host.listed);
  }
  std::sort(list.hosts.begin(), list.hosts.end(),
            [](const HostEntry& a, const HostEntry& b) { return a.id < b.id; });
  return list;
}

MembershipFigures Membership::figures() const {
  MembershipFigures f;
  f.hosts = hosts_.size();
  for (const auto& [id, host] : hosts_) {
    f.draining += host.listed && host.listed->condition == Condition::draining ? 1 : 0;
    f.suppressed += host.suppressed ? 1 : 0;
    f.lost += host.lost_at ? 1 : 0;
  }
  return f;
}

}  // namespace fennellane
