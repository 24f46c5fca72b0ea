#include "release_agent.hpp"

#include "consul_json.hpp"
#include "fleet_values.hpp"

namespace fennellane {

release::Sums sums_of(const Counters& c) {
  return {c.accepted + c.refused, c.refused, c.delivered + c.deferred + c.undeliverable,
          c.deferred + c.undeliverable, c.late};
}

std::string state_transaction_json(const FleetSettings& settings, const release::WriteState& command) {
  Json::Value operations(Json::arrayValue);
  operations.append(session_check_operation(role_key(settings, fleet::kDrainRole), command.session));
  operations.append(cas_operation(release_key(settings), command.index, state_json(command.state)));
  if (command.clears_reports) operations.append(delete_tree_operation(reports_prefix(settings)));
  return json_text(operations);
}

ReleaseAgent::ReleaseAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
                           const Limits& limits, Counters& counters, Log& log, OnInput on_input)
    : FleetAgentBase(io, std::move(on_input)),
      consul_(consul),
      settings_(settings),
      limits_(limits),
      counters_(counters),
      log_(log),
      report_client_(io, consul, limits, limits.max_body_size),
      coordinator_client_(io, consul, limits, limits.max_fleet_answer, limits.max_consul_value * 2),
      report_timer_(io),
      check_timer_(io) {
  report_client_.report_strays(counters.agent_strays, log);
  coordinator_client_.report_strays(counters.agent_strays, log);
}

void ReleaseAgent::start() {
  const auto on_answer = [this](const AgentAnswer& answer, bool) {
    release::StateSeen seen;
    if (answer.status == 200) {
      std::string text;
      if (!read_entry(answer.body, text, seen.index)) return false;
      seen.state = read_state(text);
      if (!seen.state && unreadable_state_ != text)
        log_("release", "the stored release state is unreadable: treated as no release");
      unreadable_state_ = seen.state ? "" : text;
    }
    post_input(fleet::ReleaseStateInput{std::move(seen)});
    return true;
  };
  std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, release_key(settings_),
                             KeyWatch::ReadMode::key, settings_.timing.call, settings_.blocking_wait,
                             on_answer)
      ->start();
}

void ReleaseAgent::execute(const release::MoverEffect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}
void ReleaseAgent::execute(const release::CoordinatorEffect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}

// A lost report is superseded by the next one; nothing waits for the answer.
void ReleaseAgent::on(const release::WriteReport& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    co_await report_client_.request("PUT", "/v1/kv/" + reports_prefix(settings_) + e.report.relay,
                                    report_json(e.report), settings_.timing.call);
  });
}

void ReleaseAgent::on(const release::SetReportTimer& e) {
  set_timer(report_timer_, e.at, [this] {
    return fleet::Input(fleet::MoverInput{release::ReportTimerExpired{sums_of(counters_), ""}});
  });
}

void ReleaseAgent::on(const release::ReadReports&) {
  spawn([this]() -> asio::awaitable<void> {
    const AgentAnswer answer = co_await coordinator_client_.request(
        "GET", "/v1/kv/" + reports_prefix(settings_) + "?recurse&consistent", "", settings_.timing.call);
    release::ReportsRead read;
    read.ok = answer.status == 404 || (answer.status == 200 && read_reports(answer.body, read.reports));
    post_input(fleet::CoordinatorInput{std::move(read)});
  });
}

void ReleaseAgent::on(const release::WriteState& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    const AgentAnswer answer = co_await coordinator_client_.request(
        "PUT", "/v1/txn", state_transaction_json(settings_, e), settings_.timing.call);
    post_input(fleet::CoordinatorInput{release::StateWritten{transaction_result(answer)}});
  });
}

void ReleaseAgent::on(const release::SetCheckTimer& e) {
  set_timer(check_timer_, e.at,
            [] { return fleet::Input(fleet::CoordinatorInput{release::CheckTimerExpired{}}); });
}

}  // namespace fennellane
