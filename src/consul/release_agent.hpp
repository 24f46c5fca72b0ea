// Carries out on Consul what staged releases ask for: the watch of the state, a relay's reports, and the
// coordinator's reads and fenced writes. Every answer goes back as an input.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <string>

#include "fleet_settings.hpp"
#include "fleet_tasks.hpp"
#include "key_watch.hpp"
#include "log.hpp"

namespace fennellane {

release::Sums sums_of(const Counters& counters);
// The coordinator's step: the role's lock is this session's, and the state is as it was read.
std::string step_json(const FleetSettings& settings, const release::WriteState& step);

class ReleaseAgent : public FleetTasks {
 public:
  // `settings` has a section release; the references outlive it.
  ReleaseAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
               const Limits& limits, Counters& counters, Log& log, Tell tell);

  void start();
  // Of all but Move.
  void carry(const release::MoverEffect& effect);
  void carry(const release::CoordinatorEffect& effect);

 private:
  void on(const release::WriteReport& e);
  void on(const release::SetReportTimer& e);
  void on(const release::ReadReports&);
  void on(const release::WriteState& e);
  void on(const release::SetLookTimer& e);
  void on(const release::CoordinatorSaid& e) { log_("release", e.text); }
  // What ends elsewhere: at the slot, and at the relay.
  void on(const release::AskSlot&) {}
  void on(const release::LeaveSlot&) {}
  void on(const release::Move&) {}

  const ConsulSettings& consul_;
  const FleetSettings& settings_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  AgentCall reports_, steps_;  // this relay's reports; the coordinator's calls
  asio::steady_timer report_due_, look_due_;
  std::string unreadable_;  // the state that was last said to be none
};

}  // namespace fennellane
