// Executes the effects of the ejection cap against Consul: the watch of the verdict, this relay's reports,
// and the arbiter's reads and fenced writes. Every answer is posted as an input.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "fleet_agent_base.hpp"
#include "fleet_settings.hpp"
#include "key_watch.hpp"
#include "log.hpp"

namespace fennellane {

// JSON forms of the stored values.
std::string report_json(const ejection::Report& report);
// From GET /v1/kv/PREFIX/ejection/relay/?recurse; false if unreadable. Single unreadable reports are skipped.
bool read_reports(const std::string& body, std::vector<ejection::StoredReport>& reports);
std::string verdict_json(const ejection::Verdict& verdict);
std::optional<ejection::Verdict> read_verdict(const std::string& text);
// The arbiter's write, fenced by the role's lock; old reports are deleted only if unchanged since the read.
std::string verdict_transaction_json(const FleetSettings& settings, const ejection::WriteVerdict& command);

class EjectionAgent : public FleetAgentBase {
 public:
  // `settings` has a section ejection; the references must outlive this object.
  EjectionAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
                const Limits& limits, Counters& counters, Log& log, OnInput on_input);

  void start();
  // All effects but CapEndpoints.
  void execute(const ejection::ReporterEffect& effect);
  void execute(const ejection::ArbiterEffect& effect);

 private:
  void on(const ejection::WriteReport& e);
  void on(const ejection::SetCheckTimer& e);
  void on(const ejection::ReporterLogMessage& e) { log_("ejection", e.text); }
  void on(const ejection::CapEndpoints&) {}
  void on(const ejection::ReadReports&);
  void on(const ejection::WriteVerdict& e);
  void on(const ejection::SetReadTimer& e);
  void on(const ejection::ArbiterLogMessage& e) { log_("ejection", e.text); }

  const ConsulSettings& consul_;
  const FleetSettings& settings_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  AgentClient report_client_, arbiter_client_;  // this relay's reports; the arbiter's requests
  asio::steady_timer check_timer_, read_timer_;
};

// Prints the stored verdict, and for each endpoint how many relays report it in which state. False, with
// `error` set, if Consul does not answer.
bool show_ejections(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                    std::ostream& out, std::string& error);

}  // namespace fennellane
