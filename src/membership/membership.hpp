// Cluster membership derived from the answers of a service catalogue. Inputs are answers and timer ticks,
// outputs are changes of the host list. Pure state machine: performs no I/O, reads no clock and is
// independent of the catalogue's protocol.
//
// Rules, in order of precedence:
// - A host reported critical or in maintenance drains with the answer that says so.
// - A host that is no longer listed is removed with that answer, unless more than a configured share of its
//   destination's hosts vanish in this way without having drained. Those are kept unchanged, since the
//   catalogue may have lost its data, until a second answer of the leader confirms the loss or a configured
//   time has passed.
// - A host reported passing accepts work at once, unless it flapped too often: its return is then delayed.
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

// One host as the catalogue reports it.
struct Instance {
  std::string id;      // unique across nodes, agents and services
  bool usable = true;  // false: the registration is invalid, and only the health is used
  Address address;     // an IP address
  std::uint32_t zone = 0;
  std::uint32_t kind = 0;
  std::uint32_t destination = 0;
  double rate = 0;            // calls per second at a weight of 1; 0 = not specified
  double weight_passing = 1;  // scales the rate
  double weight_warning = 1;
  HostHealth health = HostHealth::passing;
  bool operator==(const Instance&) const = default;
};

struct ServiceAnswer {
  std::uint32_t service = 0;      // index of the service in the settings
  bool full = false;              // `changed` lists every host; otherwise `removed` lists the missing ones
  bool leader_in_contact = true;  // of the server that answered, with the catalogue's leader
  bool from_leader = true;        // answered by the leader and not by an arbitrary server
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
  std::optional<HostList> list;        // the changes, or the full list
  bool query_again = false;            // repeat the query at once, at the leader
  std::vector<std::string> log_lines;  // at most kMaxLogLines
};

struct MembershipStats {
  std::uint64_t hosts = 0;       // in the list
  std::uint64_t draining = 0;    // of these, accept no new work
  std::uint64_t suppressed = 0;  // of these, passing but suppressed by flap damping
  std::uint64_t lost = 0;        // of these, kept although no longer listed
};

class Membership {
 public:
  explicit Membership(const MembershipSettings& settings);

  // Restores a host known to the previous process; before the first answer. `service` is an index in the
  // present settings.
  void restore(std::uint32_t service, const Instance& instance);

  // Applies an answer. The full list is output once, when every service has been answered.
  MembershipChange apply(Time now, const ServiceAnswer& answer);
  // Processes what is due at `now`.
  MembershipChange tick(Time now);
  // When `tick` has to be called next, or Time::max().
  Time next_due() const;

  HostList full_list() const;
  bool complete() const { return unanswered_services_.empty(); }
  MembershipStats stats() const;
  // Visits every host with the arguments of `restore`.
  template <class Visitor>
  void for_each_instance(Visitor visit) const {
    for (const auto& [id, host] : hosts_) visit(host.service, host.reported);
  }
  // The complete state as bytes, for another process with the same settings.
  std::string save();
  void load(std::string_view bytes);  // before any other call; throws starlinghook::SnapshotError

  // Number of hosts held in memory, departed ones included.
  std::size_t record_count() const { return hosts_.size() + departed_.size(); }

 private:
  struct Host {
    std::uint32_t service = 0;
    Instance reported;
    Damping damping;
    bool suppressed = false;
    std::optional<Time> lost_at;  // missing since then, not yet removed
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
  MembershipChange collect_changes(MembershipChange change, bool full);
  HostEntry entry_of(const Host& host, double rate) const;
  double rate_of(const std::vector<Host*>& hosts) const;
  void unlist(Host& host);

  const MembershipSettings settings_;
  Hosts hosts_;
  std::map<std::uint32_t, std::vector<Host*>> destinations_;
  // Damping state of removed hosts, in case they return; bounded.
  std::unordered_map<std::string, Damping> departed_;
  std::set<std::uint32_t> unanswered_services_;
  bool full_list_sent_ = false;
  std::set<std::uint32_t> changed_destinations_;  // affected by the present input
  std::vector<HostEntry> changes_;
  std::map<std::string, Time> due_times_;  // by host id: end of suppression, or removal if lost
};

}  // namespace fennellane
