// Membership: what a catalogue's answers make of the cluster. Answers and moments in, changes of the list
// out. It reads no clock, does no input or output and knows no protocol.
//
// What wins when:
// - A host told critical or in maintenance drains with that very answer, whatever else holds.
// - A host that is no longer named is gone with that answer, unless more than a set share of its
// destination's
//   hosts vanish so without having drained. Those stay as they were (a catalogue may have lost its memory)
//   until the leader has said it once more or a set time is over.
// - A host told passing takes work at once, unless it has come and gone too often: then its return waits.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster.hpp"
#include "damping.hpp"

namespace fennellane {

enum class HostHealth : std::uint8_t { passing, warning, critical, maintenance };

// One host as the catalogue tells it.
struct Instance {
  std::string id;      // never another host's, whatever its node, agent or service
  bool usable = true;  // false: its registration cannot be used, and only its health counts
  Address address;     // numeric
  std::uint32_t zone = 0;
  std::uint32_t kind = 0;
  std::uint32_t destination = 0;
  double rate = 0;            // calls a second, at a weight of 1; 0 = not told
  double weight_passing = 1;  // scales the rate
  double weight_warning = 1;
  HostHealth health = HostHealth::passing;
  bool operator==(const Instance&) const = default;
};

struct ServiceAnswer {
  std::uint32_t service = 0;  // its position in the settings
  bool whole = false;         // `changed` names all there are; else `gone` says what is missing now
  bool leader_in_contact =
      true;                 // the catalogue knows a leader, and the answering server is in touch with it
  bool from_leader = true;  // by the leader itself, not by any server
  std::vector<Instance> changed;
  std::vector<std::string> removed;  // ids
};

enum class RateOf { destination, host };

struct MembershipSettings {
  std::uint32_t services = 1;
  RateOf rate_of = RateOf::destination;
  double max_loss_share = 0.5;  // share of a destination's hosts
  Time loss_hold = std::chrono::seconds(60);
  DampingSettings damping;
  bool operator==(const MembershipSettings&) const = default;
};

struct MembershipChange {
  std::optional<HostList> list;        // with changes only, or whole
  bool query_again = false;            // the same answer is wanted once more, at once and from the leader
  std::vector<std::string> log_lines;  // for the log, a few at most
};

struct MembershipStats {
  std::uint64_t hosts = 0;       // named by the list
  std::uint64_t draining = 0;    // of these, take no new work
  std::uint64_t suppressed = 0;  // of these, passing, and held back as they came and went
  std::uint64_t lost = 0;        // kept although no longer named
};

class Membership {
 public:
  explicit Membership(const MembershipSettings& settings);

  // What an earlier life knew, before any answer. Its services are positions in the present settings.
  void restore(std::uint32_t service, const Instance& instance);

  // An answer. The list is whole once, when each service has been answered.
  MembershipChange apply(Time now, const ServiceAnswer& answer);
  // A moment at which something may be due.
  MembershipChange tick(Time now);
  // The next such moment, or Time::max().
  Time next_due() const;

  HostList whole_list() const;
  bool complete() const { return unanswered_services_.empty(); }
  MembershipStats stats() const;
  // What `restore` takes.
  template <class Take>
  void for_each_instance(Take take) const {
    for (const auto& [id, host] : hosts_) take(host.service, host.reported);
  }
  // All of it, as bytes, for another process with the same settings.
  std::string save();
  void load(std::string_view bytes);  // before anything else; throws starlinghook::MemoryError

  // All that is remembered.
  std::size_t record_count() const { return hosts_.size() + departed_.size(); }

 private:
  struct Host {
    std::uint32_t service = 0;
    Instance reported;
    Damping damping;
    bool suppressed = false;
    std::optional<Time> lost_at;  // no longer named, and not believed yet
    std::optional<HostEntry> listed;
    template <class Archive>
    void serialize(Archive& archive);
  };
  using Hosts = std::unordered_map<std::string, Host>;

  template <class Archive>
  void serialize_state(Archive& archive);
  void apply_instance(Time now, std::uint32_t service, const Instance& instance);
  void handle_missing(Time now, const ServiceAnswer& answer, MembershipChange& change);
  void remove(Time now, Hosts::iterator it);
  void mark_changed(const Host& host) { changed_destinations_.insert(host.reported.destination); }
  MembershipChange collect_changes(MembershipChange change, bool whole);
  HostEntry entry_of(const Host& host, double rate) const;
  double rate_of(const std::vector<Host*>& hosts) const;
  void unlist(Host& host);

  const MembershipSettings settings_;
  Hosts hosts_;
  std::map<std::uint32_t, std::vector<Host*>> destinations_;
  // Hosts that are gone and may come back too soon; bounded.
  std::unordered_map<std::string, Damping> departed_;
  std::set<std::uint32_t> unanswered_services_;
  bool full_list_sent_ = false;
  std::set<std::uint32_t> changed_destinations_;  // destinations that the present input concerns
  std::vector<HostEntry> changes_;
  std::map<std::string, Time> due_times_;  // hosts that are suppressed or lost, and when they are due
};

}  // namespace fennellane
