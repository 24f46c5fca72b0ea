// Executes the fleet's effects against Consul: the leases' sessions, locks and blocking reads, and the work
// of the roles. Every answer is posted as an input to the reducer; no decisions are made here.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "agent_client.hpp"
#include "counters.hpp"
#include "drain_agent.hpp"
#include "ejection_agent.hpp"
#include "fleet_agent_base.hpp"
#include "fleet_settings.hpp"
#include "key_watch.hpp"
#include "log.hpp"
#include "release_agent.hpp"

namespace fennellane {

// Request bodies and answers of Consul's API.
// From the answer to GET /v1/kv/KEY; false if unreadable.
bool read_key(const std::string& body, lease::KeyRead& read);
// From GET /v1/health/service/NAME; false if unreadable.
bool read_registrations(const std::string& body, std::vector<fleet::Registration>& registrations);
// One transaction, fenced by the role's lock, that deletes each registration if unchanged since the read.
std::string removal_transaction_json(const std::string& key, const fleet::RemoveRegistrations& removal);

// The two values of the shared list; `list` stays empty for the heartbeat.
bool parse_shared_list(const std::string& body, fleet::SharedHead& head, std::string& list);
std::string publish_transaction_json(const std::string& role_key, const std::string& list_key,
                                     const std::string& heartbeat_key, const fleet::Publish& publish);

class FleetAgent : public FleetAgentBase {
 public:
  FleetAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
             const std::string& relay, const Limits& limits, Counters& counters, Log& log, OnInput on_input);

  void start();
  void execute(const fleet::Effect& effect);

 private:
  struct Role {
    Role(asio::io_context& io, const ConsulSettings& consul, const Limits& limits, std::string role,
         std::string role_key)
        : name(std::move(role)),
          key(std::move(role_key)),
          client(io, consul, limits, limits.max_body_size),
          timer(io) {}
    const std::string name, key;
    AgentClient client;  // for the lease, one request at a time
    asio::steady_timer timer;
  };
  void on(const fleet::LeaseEffect& e);
  void on(const fleet::ReadRegistrations& e);
  void on(const fleet::RemoveRegistrations& e);
  void on(const fleet::SetSweepTimer& e);
  void on(const fleet::SweepLogMessage& e) { log_("sweep", e.text); }
  void on(const fleet::DrainEffect& e);
  void on(const fleet::MoverEffect& e);
  void on(const fleet::CoordinatorEffect& e);
  void on(const fleet::ReporterEffect& e);
  void on(const fleet::ArbiterEffect& e);
  void execute(std::uint32_t role, const lease::CreateSession& e);
  void execute(std::uint32_t role, const lease::AcquireLock& e);
  void execute(std::uint32_t role, const lease::RenewSession& e);
  void execute(std::uint32_t role, const lease::ReleaseSession& e);
  void execute(std::uint32_t role, const lease::LeaseActive& e);
  void execute(std::uint32_t role, const lease::LeaseInactive& e);
  void execute(std::uint32_t role, const lease::SetTimer& e);
  void execute(std::uint32_t role, const lease::LogMessage& e);
  void on(const fleet::RefreshRoleEffect& e);
  void execute(const fleet::Publish& e);
  void read_shared_list();
  void watch_role(std::uint32_t role);
  void watch_heartbeat();
  std::string list_key() const { return settings_.key_prefix + "/refresh/list"; }
  std::string heartbeat_key() const { return settings_.key_prefix + "/refresh/beat"; }
  void post_lease_input(std::uint32_t role, lease::Input input);

  const ConsulSettings consul_;
  const FleetSettings settings_;
  const std::string relay_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  std::vector<std::unique_ptr<Role>> roles_;
  AgentClient sweep_client_;
  asio::steady_timer sweep_timer_;
  AgentClient publish_client_, list_client_;  // writes and reads of the shared list
  asio::steady_timer refresh_timer_;
  std::shared_ptr<DrainAgent> drain_;        // null without a disruption budget
  std::shared_ptr<ReleaseAgent> release_;    // null without staged releases
  std::shared_ptr<EjectionAgent> ejection_;  // null without an ejection cap
};

}  // namespace fennellane
