// Executes the effects of staged releases against Consul: the watch of the state, this relay's reports, and
// the coordinator's reads and fenced writes. Every answer is posted as an input.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <string>

#include "fleet_agent_base.hpp"
#include "fleet_settings.hpp"
#include "key_watch.hpp"
#include "log.hpp"

namespace fennellane {

release::Sums sums_of(const Counters& counters);
// The coordinator's write, fenced by the role's lock; fails if the state has changed since it was read.
std::string state_transaction_json(const FleetSettings& settings, const release::WriteState& command);

class ReleaseAgent : public FleetAgentBase {
 public:
  // `settings` has a section release; the references must outlive this object.
  ReleaseAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
               const Limits& limits, Counters& counters, Log& log, OnInput on_input);

  void start();
  // All effects but Move, AskSlot and LeaveSlot.
  void execute(const release::MoverEffect& effect);
  void execute(const release::CoordinatorEffect& effect);

 private:
  void on(const release::WriteReport& e);
  void on(const release::SetReportTimer& e);
  void on(const release::ReadReports&);
  void on(const release::WriteState& e);
  void on(const release::SetCheckTimer& e);
  void on(const release::CoordinatorLogMessage& e) { log_("release", e.text); }
  // Handled by the slot and by the relay.
  void on(const release::AskSlot&) {}
  void on(const release::LeaveSlot&) {}
  void on(const release::Move&) {}

  const ConsulSettings& consul_;
  const FleetSettings& settings_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  AgentClient report_client_, coordinator_client_;  // this relay's reports; the coordinator's requests
  asio::steady_timer report_timer_, check_timer_;
  std::string unreadable_state_;  // the unreadable state that was logged last
};

}  // namespace fennellane
