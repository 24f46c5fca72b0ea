// The host list from Consul: a watch for each service, the membership derived from their answers, and the
// list saved in the state folder for a start without Consul.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster_source.hpp"
#include "consul_settings.hpp"
#include "consul_watch.hpp"
#include "counters.hpp"
#include "list_store.hpp"
#include "log.hpp"
#include "membership.hpp"
#include "registration.hpp"

namespace fennellane {

struct ConsulSourceContext {  // what the relay passes to each Consul source
  std::string relay;          // the relay's name
  std::uint64_t seed = 0;
  NamePositions names;
  std::string state_folder;
};

class ConsulSource : public ClusterSource, public std::enable_shared_from_this<ConsulSource> {
 public:
  // `previous`: the source that this one replaces, if that was Consul too; may be null. Its list is kept;
  // without one, the saved list of the previous process is passed on as `cached`.
  ConsulSource(asio::io_context& io, const ConsulSettings& settings, ConsulSourceContext context,
               const Limits& limits, Counters& counters, Log& log, OnHostList on_list,
               const ConsulSource* previous);

  void start() override;
  void stop() override;
  void leave(bool returns) override;
  void set_ready() override;

  const ConsulSettings& settings() const { return settings_; }
  // The membership and whether the relay is registered, for another process. A process configured with other
  // services ignores the membership.
  std::string save();
  void load(std::string_view bytes);  // before `start`; throws starlinghook::SnapshotError

 private:
  std::string services_text() const;
  bool apply_answer(const ServiceAnswer& answer);  // returns whether to repeat the query
  void publish(MembershipChange change);
  void set_timer();
  void schedule_save();
  void save_list();
  void restore_from(const ConsulSource& previous);

  asio::io_context& io_;
  const ConsulSettings settings_;
  const ConsulSourceContext context_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  OnHostList on_list_;
  QueryRateLimiter rate_limiter_;
  Membership membership_;
  ListStore store_;
  std::vector<std::unique_ptr<ConsulWatch>> watches_;
  std::shared_ptr<Registration> registration_;  // may be null
  asio::steady_timer membership_timer_;         // for Membership::tick
  asio::steady_timer save_timer_;
  bool save_scheduled_ = false;
  bool restored_from_handover_ = false;  // the list continues that of another process
  bool seeded_ = false;                  // the list continues that of the replaced source
  bool stopped_ = false;
};

}  // namespace fennellane
