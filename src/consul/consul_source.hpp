// The cluster from Consul: a watch for each service, what membership makes of their answers, and the list
// kept in the state folder for a start without Consul.
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

struct ConsulSourceContext {  // what the relay gives to each of its sources
  std::string relay;          // its name
  std::uint64_t seed = 0;
  NamePositions names;
  std::string state_folder;
};

class ConsulSource : public ClusterSource, public std::enable_shared_from_this<ConsulSource> {
 public:
  // `before`: the source that this one takes over from, where that was Consul too; may be null. The list it
  // had goes on; without one, that of an earlier life is told as `cached`.
  ConsulSource(asio::io_context& io, const ConsulSettings& settings, ConsulSourceContext place,
               const Limits& limits, Counters& counters, Log& log, OnHostList on_list,
               const ConsulSource* before);

  void start() override;
  void stop() override;
  void leave(bool returns) override;
  void set_ready() override;

  const ConsulSettings& settings() const { return settings_; }
  // What is known of each service and whether the relay is registered, for another process. It is of no use
  // to one whose services are others.
  std::string save();
  void load(std::string_view bytes);  // before `start`; throws starlinghook::MemoryError

 private:
  std::string services_text() const;
  bool apply_answer(const ServiceAnswer& answer);  // whether it is wanted once more
  void publish(MembershipChange change);
  void set_timer();
  void schedule_save();
  void save_list();
  void restore_from(const ConsulSource& before);

  asio::io_context& io_;
  const ConsulSettings settings_;
  const ConsulSourceContext context_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  OnHostList on_list_;
  QueryRateLimiter budget_;
  Membership membership_;
  ListStore store_;
  std::vector<std::unique_ptr<ConsulWatch>> watches_;
  std::shared_ptr<Registration> registration_;  // may be null
  asio::steady_timer membership_timer_;         // the membership's
  asio::steady_timer save_timer_;
  bool save_scheduled_ = false;
  bool restored_from_handover_ = false;  // the list goes on as it was told by another process
  bool seeded_ = false;                  // an earlier life's or an earlier source's list is known
  bool stopped_ = false;
};

}  // namespace fennellane
