#include "release_agent.hpp"

#include "consul_json.hpp"
#include "fleet_values.hpp"

namespace fennellane {

release::Sums sums_of(const Counters& c) {
  return {c.taken + c.refused, c.refused, c.delivered + c.deferred + c.undeliverable,
          c.deferred + c.undeliverable, c.late};
}

std::string step_json(const FleetSettings& settings, const release::WriteState& step) {
  Json::Value operations(Json::arrayValue);
  operations.append(fence(role_key(settings, fleet::kDrainRole), step.session));
  operations.append(set_key_as_read(release_key(settings), step.index, state_json(step.state)));
  if (step.clears_reports) operations.append(delete_below(reports_prefix(settings)));
  return json_text(operations);
}

ReleaseAgent::ReleaseAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
                           const Limits& limits, Counters& counters, Log& log, Tell tell)
    : FleetTasks(io, std::move(tell)),
      consul_(consul),
      settings_(settings),
      limits_(limits),
      counters_(counters),
      log_(log),
      reports_(io, consul, limits, limits.body),
      steps_(io, consul, limits, limits.fleet_answer, limits.fleet_value * 2),
      report_due_(io),
      look_due_(io) {
  reports_.report_strays(counters.agent_strays, log);
  steps_.report_strays(counters.agent_strays, log);
}

void ReleaseAgent::start() {
  const auto take = [this](const AgentAnswer& answer, bool) {
    release::StateSeen seen;
    if (answer.status == 200) {
      std::string text;
      if (!read_entry(answer.body, text, seen.index)) return false;
      seen.state = read_state(text);
      if (!seen.state && unreadable_ != text)
        log_("release", "the state in the store can't be read: no release");
      unreadable_ = seen.state ? "" : text;
    }
    tell_later(fleet::ReleaseSeen{std::move(seen)});
    return true;
  };
  std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, release_key(settings_),
                             KeyWatch::What::key, settings_.timing.call, settings_.wait, take)
      ->start();
}

void ReleaseAgent::carry(const release::MoverEffect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}
void ReleaseAgent::carry(const release::CoordinatorEffect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}

// One that is lost is followed by the next: nothing waits for it.
void ReleaseAgent::on(const release::WriteReport& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    co_await reports_.ask("PUT", "/v1/kv/" + reports_prefix(settings_) + e.report.relay,
                          report_json(e.report), settings_.timing.call);
  });
}

void ReleaseAgent::on(const release::SetReportTimer& e) {
  set(report_due_, e.at, [this] {
    return fleet::Input(fleet::MoverHeard{release::ReportDue{sums_of(counters_), ""}});
  });
}

void ReleaseAgent::on(const release::ReadReports&) {
  spawn([this]() -> asio::awaitable<void> {
    const AgentAnswer answer = co_await steps_.ask(
        "GET", "/v1/kv/" + reports_prefix(settings_) + "?recurse&consistent", "", settings_.timing.call);
    release::ReportsRead read;
    read.good = answer.status == 404 || (answer.status == 200 && read_reports(answer.body, read.reports));
    tell_later(fleet::CoordinatorHeard{std::move(read)});
  });
}

void ReleaseAgent::on(const release::WriteState& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    const AgentAnswer answer =
        co_await steps_.ask("PUT", "/v1/txn", step_json(settings_, e), settings_.timing.call);
    tell_later(fleet::CoordinatorHeard{release::StateWritten{written(answer)}});
  });
}

void ReleaseAgent::on(const release::SetLookTimer& e) {
  set(look_due_, e.at, [] { return fleet::Input(fleet::CoordinatorHeard{release::LookDue{}}); });
}

}  // namespace fennellane
