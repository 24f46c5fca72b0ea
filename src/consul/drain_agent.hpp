// Executes the effects of a slot of the disruption budget against Consul: the session, contender key,
// blocking read and transaction of the semaphore recipe, and the read of the catalogue. Every answer is
// posted as an input.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

#include "fleet_agent_base.hpp"
#include "fleet_settings.hpp"
#include "key_watch.hpp"
#include "log.hpp"

namespace fennellane {

class DrainAgent : public FleetAgentBase {
 public:
  // `settings` has a section drain; the references must outlive this object.
  DrainAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
             const Limits& limits, Counters& counters, Log& log, OnInput on_input);

  // All effects but GoOffline.
  void execute(const drain::Effect& effect);

 private:
  void on(const drain::CreateSession& e);
  void on(const drain::Renew& e);
  void on(const drain::WatchBudget& e);
  void on(const drain::ReadCensus& e);
  void on(const drain::AcquireSlot& e);
  void on(const drain::DestroySession& e);
  void on(const drain::GoOffline&) {}
  void on(const drain::SetTimer& e);
  void on(const drain::LogMessage& e) { log_("drain", e.text); }
  void post_drain_input(drain::Input input) { post_input(fleet::DrainInput{std::move(input)}); }

  const ConsulSettings& consul_;
  const FleetSettings& settings_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  AgentClient client_;  // one request at a time
  std::shared_ptr<KeyWatch> watch_;
  asio::steady_timer timer_;
};

}  // namespace fennellane
