// Carries out on Consul what the cap on endpoints out asks for: the watch of the verdict, this relay's
// reports, and the arbiter's reads and fenced writes. Every answer goes back as an input.
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

// The values in the store, as JSON and back.
std::string report_json(const ejection::Report& report);
// Of GET /v1/kv/PREFIX/ejection/relay/?recurse; false where it can't be read. One that can't is left out.
bool read_reports(const std::string& body, std::vector<ejection::StoredReport>& reports);
std::string verdict_json(const ejection::Verdict& verdict);
std::optional<ejection::Verdict> read_verdict(const std::string& text);
// The arbiter's write: the role's lock is this session's, and old reports go as they were read.
std::string verdict_transaction_json(const FleetSettings& settings, const ejection::WriteVerdict& step);

class EjectionAgent : public FleetAgentBase {
 public:
  // `settings` has a section ejection; the references outlive it.
  EjectionAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
                const Limits& limits, Counters& counters, Log& log, OnInput tell);

  void start();
  // Of all but CapEndpoints.
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
  AgentClient report_client_, arbiter_client_;  // this relay's reports; the arbiter's calls
  asio::steady_timer check_timer_, read_timer_;
};

// What the store says: the verdict, and how many relays find each endpoint out. False, with `trouble`, where
// Consul does not answer.
bool show_ejections(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                    std::ostream& out, std::string& trouble);

}  // namespace fennellane
