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
#include "fleet_settings.hpp"
#include "log.hpp"

namespace fennellane {

// The bodies and answers of Consul's API that it uses.
std::string session_json(const std::string& name, const lease::CreateSession& wanted);
std::string session_id(const std::string& body);  // of the answer to a create; empty: none can be read
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

class FleetAgent : public std::enable_shared_from_this<FleetAgent> {
 public:
  using Tell = std::function<void(fleet::Input)>;
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
  struct Watch {  // a blocking read of one key, again and again
    Watch(asio::io_context& io, const ConsulSettings& consul, const Limits& limits, std::string of)
        : key(std::move(of)), reads(io, consul, limits, limits.body), pause(io) {}
    const std::string key;
    bool raw = false;  // the value alone, not what Consul says of it
    AgentCall reads;
    asio::steady_timer pause;
    // False: the answer is none that can be read. `afresh`: Consul's index has gone backwards.
    std::function<bool(const AgentAnswer&, bool afresh)> take;
  };

  void on(const fleet::LeaseDo& e);
  void on(const fleet::ReadRegistrations& e);
  void on(const fleet::RemoveRegistrations& e);
  void on(const fleet::SetWorkTimer& e);
  void on(const fleet::Swept& e) { log_("sweep", e.text); }
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
  asio::awaitable<void> watch(std::shared_ptr<Watch> w);
  std::string list_key() const { return settings_.prefix + "/refresh/list"; }
  std::string beat_key() const { return settings_.prefix + "/refresh/beat"; }
  void tell_later(fleet::Input input);
  void hear(std::uint32_t role, lease::Input input);
  template <class Run>
  void spawn(Run run);
  void set(asio::steady_timer& timer, Time at, std::function<fleet::Input()> due);

  asio::io_context& io_;
  const ConsulSettings consul_;
  const FleetSettings settings_;
  const std::string relay_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  const Tell tell_;
  std::vector<std::unique_ptr<Role>> roles_;
  AgentCall work_;
  asio::steady_timer work_due_;
  AgentCall shares_, lists_;  // writes and reads of the shared list
  asio::steady_timer refresh_due_;
};

}  // namespace fennellane
