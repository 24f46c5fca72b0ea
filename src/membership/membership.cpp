#include "membership.hpp"

#include <algorithm>
#include <unordered_set>

namespace fennellane {
namespace {

using starlinghook::Condition;

constexpr std::size_t kMaxDepartedHosts = 4096;
constexpr std::size_t kMaxLogLines = 4;  // per change

double weight_of(const Instance& i) {
  return i.health == HostHealth::passing   ? i.weight_passing
         : i.health == HostHealth::warning ? i.weight_warning
                                           : 0;
}
bool accepts_work(const Instance& i) { return weight_of(i) > 0; }

bool same_entry(const HostEntry& a, const HostEntry& b) {
  return a.condition == b.condition && a.rate == b.rate && a.address == b.address && a.zone == b.zone &&
         a.kind == b.kind;
}

}  // namespace

Membership::Membership(const MembershipSettings& settings) : settings_(settings) {
  for (std::uint32_t service = 0; service < settings.services; ++service)
    unanswered_services_.insert(service);
}

void Membership::restore(std::uint32_t service, const Instance& instance) {
  if (!instance.usable || service >= settings_.services) return;
  const auto [it, added] = hosts_.emplace(instance.id, Host{});
  if (!added) return;
  Host& host = it->second;
  host.service = service;
  host.reported = instance;
  std::vector<Host*>& siblings = destinations_[instance.destination];
  siblings.push_back(&host);
  const double rate = rate_of(siblings);
  for (Host* h : siblings) h->listed = entry_of(*h, rate);
}

Time Membership::next_due() const {
  Time first = Time::max();
  for (const auto& [id, due] : due_times_) first = std::min(first, due);
  return first;
}

// A lost host that is listed again is restored without further conditions.
void Membership::apply_instance(Time now, std::uint32_t service, const Instance& instance) {
  auto it = hosts_.find(instance.id);
  if (!instance.usable) {
    // A registration that has become unreadable does not remove its host: the last readable one stays in
    // use, and only the health is updated.
    if (it == hosts_.end()) return;
    Instance previous = it->second.reported;
    previous.health = instance.health;
    return apply_instance(now, service, previous);
  }
  if (it != hosts_.end() && it->second.reported.destination != instance.destination) {
    remove(now, it);  // identified by id and destination: a different host from here on
    it = hosts_.end();
  }
  const bool added = it == hosts_.end();
  if (added) {
    it = hosts_.emplace(instance.id, Host{}).first;
    if (const auto before = departed_.extract(instance.id)) it->second.damping = before.mapped();
    destinations_[instance.destination].push_back(&it->second);
  }
  Host& host = it->second;
  const bool accepted_before = !added && accepts_work(host.reported);
  host.service = service;
  host.reported = instance;
  host.lost_at.reset();
  due_times_.erase(instance.id);
  if (accepted_before && !accepts_work(instance)) host.damping.record_departure(now, settings_.damping);
  const Time returns_at = host.damping.return_time(now, settings_.damping);
  if (!accepts_work(instance)) host.suppressed = false;
  if (accepts_work(instance) && !accepted_before) host.suppressed = returns_at > now;
  if (host.suppressed) due_times_[instance.id] = returns_at;
  mark_changed(host);
}

void Membership::unlist(Host& host) {
  if (!host.listed) return;
  host.listed->condition = Condition::gone;
  changes_.push_back(std::move(*host.listed));
  host.listed.reset();
}

void Membership::remove(Time now, Hosts::iterator it) {
  Host& host = it->second;
  mark_changed(host);
  unlist(host);
  if (accepts_work(host.reported)) host.damping.record_departure(now, settings_.damping);
  if (!host.damping.decayed(now, settings_.damping)) {
    // Bounded, since hosts that appear only once would otherwise accumulate.
    if (departed_.size() >= kMaxDepartedHosts) {
      std::erase_if(departed_,
                    [&](const auto& entry) { return entry.second.decayed(now, settings_.damping); });
    }
    if (departed_.size() < kMaxDepartedHosts) departed_[it->first] = host.damping;
  }
  const auto siblings = destinations_.find(host.reported.destination);
  std::erase(siblings->second, &host);
  if (siblings->second.empty()) destinations_.erase(siblings);
  due_times_.erase(it->first);
  hosts_.erase(it);
}

// Handles the hosts that the answer no longer lists.
void Membership::handle_missing(Time now, const ServiceAnswer& answer, MembershipChange& change) {
  std::vector<Hosts::iterator> missing;
  if (answer.full) {
    std::unordered_set<std::string> listed_ids;
    for (const Instance& i : answer.changed) listed_ids.insert(i.id);
    for (auto it = hosts_.begin(); it != hosts_.end(); ++it) {
      if (it->second.service == answer.service && !listed_ids.contains(it->first)) missing.push_back(it);
    }
  } else {
    for (const std::string& id : answer.removed) {
      const auto it = hosts_.find(id);
      if (it != hosts_.end() && it->second.service == answer.service) missing.push_back(it);
    }
    for (const auto& [id, due] : due_times_) {
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
    const bool confirmed =
        host.lost_at && *host.lost_at < now && answer.leader_in_contact && answer.from_leader;
    if (confirmed || !accepts_work(host.reported) || host.suppressed) {
      gone.push_back(it);
    } else {
      losses[host.reported.destination].push_back(it);
    }
  }
  std::size_t held = 0;
  for (const auto& [destination, lost] : losses) {
    const auto total = static_cast<double>(destinations_.at(destination).size());
    if (static_cast<double>(lost.size()) <= settings_.max_loss_share * total) {
      gone.insert(gone.end(), lost.begin(), lost.end());
      continue;
    }
    for (const auto it : lost) {
      Host& host = it->second;
      if (host.lost_at) continue;
      host.lost_at = now;
      due_times_[it->first] = now + settings_.loss_hold;
      ++held;
    }
    change.query_again = true;
  }
  for (const auto it : gone) remove(now, it);
  if (held > 0) {
    change.log_lines.push_back(
        std::to_string(held) + " hosts of " + std::to_string(losses.size()) +
        " destinations are missing from the catalogue without having drained; they are kept until a second "
        "answer of the leader confirms it, or for " +
        std::to_string(settings_.loss_hold.count() / 1000) + " ms");
  }
}

MembershipChange Membership::apply(Time now, const ServiceAnswer& answer) {
  MembershipChange change;
  for (const Instance& instance : answer.changed) apply_instance(now, answer.service, instance);
  handle_missing(now, answer, change);
  unanswered_services_.erase(answer.service);
  const bool first_full = unanswered_services_.empty() && !full_list_sent_;
  full_list_sent_ = full_list_sent_ || first_full;
  return collect_changes(std::move(change), first_full);
}

MembershipChange Membership::tick(Time now) {
  MembershipChange change;
  std::vector<std::string> due;
  for (const auto& [id, at] : due_times_) {
    if (at <= now) due.push_back(id);
  }
  std::size_t removed = 0;
  for (const std::string& id : due) {
    const auto it = hosts_.find(id);
    if (it->second.lost_at) {
      ++removed;
      remove(now, it);
    } else {
      it->second.suppressed = false;
      due_times_.erase(id);
      mark_changed(it->second);
    }
  }
  if (removed > 0) {
    change.log_lines.push_back(std::to_string(removed) +
                               " missing hosts did not reappear in time and were removed");
  }
  return collect_changes(std::move(change), false);
}

// Calls per second of a destination, computed from the rates and weights of its hosts.
double Membership::rate_of(const std::vector<Host*>& hosts) const {
  double sum = 0, highest = 0, weight = 0, full_weight = 0;
  for (const Host* host : hosts) {
    if (!accepts_work(host->reported) || host->suppressed) continue;
    sum += host->reported.rate * weight_of(host->reported);
    highest = std::max(highest, host->reported.rate);
    weight += weight_of(host->reported);
    full_weight += std::max(host->reported.weight_passing, weight_of(host->reported));
  }
  if (settings_.rate_of == RateOf::host) return sum;
  return full_weight > 0 ? highest * weight / full_weight : 0;
}

HostEntry Membership::entry_of(const Host& host, double rate) const {
  HostEntry entry;
  entry.id = host.reported.id + "@" + std::to_string(host.reported.destination);
  entry.address = host.reported.address;
  entry.zone = host.reported.zone;
  entry.kind = host.reported.kind;
  entry.destination = host.reported.destination;
  const bool ready = accepts_work(host.reported) && !host.suppressed;
  entry.condition = ready ? Condition::ready : Condition::draining;
  entry.rate = ready ? rate : 0;
  return entry;
}

MembershipChange Membership::collect_changes(MembershipChange change, bool full) {
  for (const std::uint32_t destination : changed_destinations_) {
    const auto it = destinations_.find(destination);
    if (it == destinations_.end()) continue;
    const double rate = rate_of(it->second);
    for (Host* host : it->second) {
      HostEntry entry = entry_of(*host, rate);
      if (host->listed && same_entry(*host->listed, entry)) continue;
      changes_.push_back(entry);
      host->listed = std::move(entry);
    }
  }
  changed_destinations_.clear();
  if (change.log_lines.size() > kMaxLogLines) change.log_lines.resize(kMaxLogLines);
  if (full) {
    change.list = full_list();
  } else if (!changes_.empty()) {
    // Removals come first: a host that moved to another destination and back within one answer has both a
    // removal and an entry, and the entry must prevail.
    std::stable_partition(changes_.begin(), changes_.end(),
                          [](const HostEntry& e) { return e.condition == Condition::gone; });
    change.list.emplace();
    change.list->hosts = std::move(changes_);
  }
  changes_.clear();
  return change;
}

HostList Membership::full_list() const {
  HostList list;
  list.full = true;
  for (const auto& [id, host] : hosts_) {
    if (host.listed) list.hosts.push_back(*host.listed);
  }
  std::sort(list.hosts.begin(), list.hosts.end(),
            [](const HostEntry& a, const HostEntry& b) { return a.id < b.id; });
  return list;
}

MembershipStats Membership::stats() const {
  MembershipStats stats;
  stats.hosts = hosts_.size();
  for (const auto& [id, host] : hosts_) {
    stats.draining += host.listed && host.listed->condition == Condition::draining ? 1 : 0;
    stats.suppressed += host.suppressed ? 1 : 0;
    stats.lost += host.lost_at ? 1 : 0;
  }
  return stats;
}

}  // namespace fennellane
