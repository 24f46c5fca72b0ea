// Carries out on Consul what the fleet's decisions ask for: the leases' sessions, locks and blocking reads,
// and the work of the roles. Every answer goes back as an input to the reducer; nothing is decided here.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "agent_call.hpp"
#include "counters.hpp"
#include "drain_agent.hpp"
#include "ejection_agent.hpp"
#include "fleet_settings.hpp"
#include "fleet_tasks.hpp"
#include "key_watch.hpp"
#include "log.hpp"
#include "release_agent.hpp"

namespace fennellane {

// The bodies and answers of Consul's API that it uses.
// Of the answer to GET /v1/kv/KEY; false where it can't be read.
bool read_key(const std::string& body, lease::KeySeen& seen);
// Of GET /v1/health/service/NAME; false where it can't be read.
bool read_registrations(const std::string& body, std::vector<fleet::Registration>& all);
// One transaction: the role's lock is this session's, then each registration goes as it was read.
std::string removal_json(const std::string& key, const fleet::RemoveRegistrations& removal);

// The two values of the shared list; `list` stays empty for the beat.
bool read_shared(const std::string& body, fleet::SharedHead& head, std::string& list);
std::string share_json(const std::string& role, const std::string& list, const std::string& beat,
                       const fleet::Publish& publish);

class FleetAgent : public FleetTasks {
 public:
  FleetAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
             const std::string& relay, const Limits& limits, Counters& counters, Log& log, Tell tell);

  void start();
  void carry(const fleet::Effect& effect);

 private:
  struct Role {
    Role(asio::io_context& io, const ConsulSettings& consul, const Limits& limits, std::string role,
         std::string role_key)
        : name(std::move(role)), key(std::move(role_key)), calls(io, consul, limits, limits.body), due(io) {}
    const std::string name, key;
    AgentCall calls;  // the lease's, one at a time
    asio::steady_timer due;
  };
  void on(const fleet::LeaseDo& e);
  void on(const fleet::ReadRegistrations& e);
  void on(const fleet::RemoveRegistrations& e);
  void on(const fleet::SetWorkTimer& e);
  void on(const fleet::Swept& e) { log_("sweep", e.text); }
  void on(const fleet::DrainDo& e);
  void on(const fleet::MoverDo& e);
  void on(const fleet::CoordinatorDo& e);
  void on(const fleet::ReporterDo& e);
  void on(const fleet::ArbiterDo& e);
  void carry(std::uint32_t role, const lease::CreateSession& e);
  void carry(std::uint32_t role, const lease::Acquire& e);
  void carry(std::uint32_t role, const lease::Renew& e);
  void carry(std::uint32_t role, const lease::Release& e);
  void carry(std::uint32_t role, const lease::Act& e);
  void carry(std::uint32_t role, const lease::Stop& e);
  void carry(std::uint32_t role, const lease::SetTimer& e);
  void carry(std::uint32_t role, const lease::Say& e);
  void on(const fleet::RefreshDo& e);
  void carry(const fleet::Publish& e);
  void read_list();
  void watch_role(std::uint32_t role);
  void watch_beat();
  std::string list_key() const { return settings_.prefix + "/refresh/list"; }
  std::string beat_key() const { return settings_.prefix + "/refresh/beat"; }
  void hear(std::uint32_t role, lease::Input input);

  const ConsulSettings consul_;
  const FleetSettings settings_;
  const std::string relay_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  std::vector<std::unique_ptr<Role>> roles_;
  AgentCall work_;
  asio::steady_timer work_due_;
  AgentCall shares_, lists_;  // writes and reads of the shared list
  asio::steady_timer refresh_due_;
  std::shared_ptr<DrainAgent> drain_;        // null where no slot is sought
  std::shared_ptr<ReleaseAgent> release_;    // where there are no releases
  std::shared_ptr<EjectionAgent> ejection_;  // where there is no cap on endpoints out
};

}  // namespace fennellane
