// Carries out on Consul what a slot of the disruption budget asks for: the semaphore recipe's session,
// contender key, blocking read and transaction, and the catalogue's count. Every answer goes back as an
// input.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

#include "fleet_settings.hpp"
#include "fleet_tasks.hpp"
#include "key_watch.hpp"
#include "log.hpp"

namespace fennellane {

class DrainAgent : public FleetTasks {
 public:
  // `settings` has a section drain; the references outlive it.
  DrainAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
             const Limits& limits, Counters& counters, Log& log, Tell tell);

  // Of all but GoOut.
  void carry(const drain::Effect& effect);

 private:
  void on(const drain::MakeSession& e);
  void on(const drain::Renew& e);
  void on(const drain::WatchBudget& e);
  void on(const drain::ReadCensus& e);
  void on(const drain::TakeSlot& e);
  void on(const drain::EndSession& e);
  void on(const drain::GoOut&) {}
  void on(const drain::SetTimer& e);
  void on(const drain::Say& e) { log_("drain", e.text); }
  void hear(drain::Input input) { tell_later(fleet::DrainHeard{std::move(input)}); }

  const ConsulSettings& consul_;
  const FleetSettings& settings_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  AgentCall calls_;  // one at a time
  std::shared_ptr<KeyWatch> watch_;
  asio::steady_timer due_;
};

}  // namespace fennellane
