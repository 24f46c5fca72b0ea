#include "ejection_agent.hpp"

#include <algorithm>
#include <map>

#include "agent_query.hpp"
#include "consul_json.hpp"

namespace fennellane {
namespace {

constexpr ejection::DegradationKind kDegradationKinds[] = {ejection::DegradationKind::failing,
                                                           ejection::DegradationKind::slow_start,
                                                           ejection::DegradationKind::reduced_limit};

std::optional<ejection::DegradationKind> kind_named(const std::string& name) {
  for (const ejection::DegradationKind kind : kDegradationKinds)
    if (name == name_of(kind)) return kind;
  return std::nullopt;
}

std::string reports_target(const FleetSettings& settings) {
  return "/v1/kv/" + degraded_prefix(settings) + "?recurse&consistent";
}

}  // namespace

std::string report_json(const ejection::Report& report) {
  Json::Value out;
  out["relay"] = report.relay;
  out["beat"] = Json::UInt64(report.heartbeat);
  out["ailing"] = Json::Value(Json::arrayValue);
  for (const ejection::DegradedEndpoint& endpoint : report.degraded_endpoints) {
    Json::Value entry;
    entry["host"] = endpoint.host;
    entry["state"] = name_of(endpoint.kind);
    entry["bad"] = endpoint.failure_share;
    entry["kept"] = endpoint.exempt;
    out["ailing"].append(std::move(entry));
  }
  return json_text(out);
}

bool read_reports(const std::string& body, std::vector<ejection::StoredReport>& reports) {
  return with_json(body, [&reports](const Json::Value& json) {
    if (!json.isArray()) return false;
    for (const Json::Value& entry : json) {
      ejection::StoredReport stored;
      stored.index = entry["ModifyIndex"].asUInt64();
      const bool ok = with_json(decoded_value(entry), [&stored](const Json::Value& v) {
        stored.report.relay = v["relay"].asString();
        stored.report.heartbeat = v["beat"].asUInt64();
        for (const Json::Value& endpoint : v["ailing"]) {
          const auto kind = kind_named(endpoint["state"].asString());
          if (!kind) return false;
          stored.report.degraded_endpoints.push_back({endpoint["host"].asString(), *kind,
                                                      std::clamp(endpoint["bad"].asDouble(), 0.0, 1.0),
                                                      endpoint["kept"].asBool()});
        }
        return !stored.report.relay.empty();
      });
      if (ok) reports.push_back(std::move(stored));
    }
    return true;
  });
}

std::string verdict_json(const ejection::Verdict& v) {
  Json::Value out;
  out["token"] = Json::UInt64(v.token);
  out["beat"] = Json::UInt64(v.heartbeat);
  out["all"] = v.all;
  out["closed"] = Json::Value(Json::arrayValue);
  for (const std::uint32_t destination : v.closed) out["closed"].append(destination);
  out["out"] = Json::Value(Json::arrayValue);
  for (const std::string& host : v.out) out["out"].append(host);
  out["failing"] = v.failing;
  out["reduced"] = v.reduced;
  out["drained"] = v.drained;
  out["listed"] = v.listed;
  out["relays"] = v.relays;
  return json_text(out);
}

std::optional<ejection::Verdict> read_verdict(const std::string& text) {
  ejection::Verdict verdict;
  const bool ok = with_json(text, [&verdict](const Json::Value& json) {
    verdict.token = json["token"].asUInt64();
    verdict.heartbeat = json["beat"].asUInt64();
    verdict.all = json["all"].asBool();
    for (const Json::Value& destination : json["closed"]) verdict.closed.push_back(destination.asUInt());
    for (const Json::Value& host : json["out"]) verdict.out.push_back(host.asString());
    // Both are searched by binary search.
    std::sort(verdict.closed.begin(), verdict.closed.end());
    std::sort(verdict.out.begin(), verdict.out.end());
    verdict.failing = json["failing"].asUInt();
    verdict.reduced = json["reduced"].asUInt();
    verdict.drained = json["drained"].asUInt();
    verdict.listed = json["listed"].asUInt();
    verdict.relays = json["relays"].asUInt();
    return json["token"].isUInt64() && json["closed"].isArray() && json["out"].isArray();
  });
  return ok ? std::optional(std::move(verdict)) : std::nullopt;
}

std::string verdict_transaction_json(const FleetSettings& settings, const ejection::WriteVerdict& command) {
  Json::Value operations(Json::arrayValue);
  operations.append(session_check_operation(role_key(settings, fleet::kEjectionRole), command.session));
  operations.append(set_operation(verdict_key(settings), verdict_json(command.verdict)));
  for (const auto& [relay, index] : command.forget)
    operations.append(delete_cas_operation(degraded_prefix(settings) + relay, index));
  return json_text(operations);
}

EjectionAgent::EjectionAgent(asio::io_context& io, const ConsulSettings& consul,
                             const FleetSettings& settings, const Limits& limits, Counters& counters,
                             Log& log, OnInput on_input)
    : FleetAgentBase(io, std::move(on_input)),
      consul_(consul),
      settings_(settings),
      limits_(limits),
      counters_(counters),
      log_(log),
      report_client_(io, consul, limits, limits.max_body_size, limits.max_consul_value),
      arbiter_client_(io, consul, limits, limits.max_fleet_answer, limits.max_consul_value * 2),
      check_timer_(io),
      read_timer_(io) {
  report_client_.report_strays(counters.agent_strays, log);
  arbiter_client_.report_strays(counters.agent_strays, log);
}

void EjectionAgent::start() {
  const auto on_answer = [this](const AgentAnswer& answer, bool index_reset) {
    ejection::VerdictSeen seen{std::nullopt, index_reset};
    if (answer.status == 200) {
      seen.verdict = read_verdict(answer.body);
      if (!seen.verdict) return false;
    }
    post_input(fleet::ReporterInput{std::move(seen)});
    return true;
  };
  std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, verdict_key(settings_),
                             KeyWatch::ReadMode::value, settings_.timing.call, settings_.blocking_wait,
                             on_answer)
      ->start();
  post_input(fleet::ReporterInput{ejection::CheckTimerExpired{}});
}

void EjectionAgent::execute(const ejection::ReporterEffect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}
void EjectionAgent::execute(const ejection::ArbiterEffect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}

// A lost report is superseded by the next one; nothing waits for the answer.
void EjectionAgent::on(const ejection::WriteReport& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    const std::string target = "/v1/kv/" + degraded_prefix(settings_) + e.report.relay;
    const std::string body = report_json(e.report);
    co_await report_client_.request("PUT", target, body, settings_.timing.call);
  });
}

void EjectionAgent::on(const ejection::SetCheckTimer& e) {
  set_timer(check_timer_, e.at,
            [] { return fleet::Input(fleet::ReporterInput{ejection::CheckTimerExpired{}}); });
}

void EjectionAgent::on(const ejection::SetReadTimer& e) {
  set_timer(read_timer_, e.at,
            [] { return fleet::Input(fleet::ArbiterInput{ejection::ReadTimerExpired{}}); });
}

void EjectionAgent::on(const ejection::ReadReports&) {
  spawn([this]() -> asio::awaitable<void> {
    const std::string target = reports_target(settings_);
    const AgentAnswer answer = co_await arbiter_client_.request("GET", target, "", settings_.timing.call);
    ejection::ReportsRead read;
    read.ok = answer.status == 404 || (answer.status == 200 && read_reports(answer.body, read.reports));
    post_input(fleet::ArbiterInput{std::move(read)});
  });
}

void EjectionAgent::on(const ejection::WriteVerdict& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    const std::string body = verdict_transaction_json(settings_, e);
    const AgentAnswer answer =
        co_await arbiter_client_.request("PUT", "/v1/txn", body, settings_.timing.call);
    post_input(fleet::ArbiterInput{ejection::VerdictWritten{transaction_result(answer)}});
  });
}

// --- The operator's command
namespace {

void print_verdict(const std::optional<ejection::Verdict>& verdict, std::ostream& out) {
  if (!verdict) {
    out << "no verdict\n";
    return;
  }
  const ejection::Verdict& v = *verdict;
  out << "verdict " << v.token << "." << v.heartbeat << ": " << v.failing << " fail, " << v.reduced
      << " cold or lowered, " << v.drained << " drain, of " << v.listed << " endpoints; " << v.relays
      << " relays report\n";
  out << (v.all ? "the cap on all is reached" : v.closed.empty() ? "there is room" : "cap reached at");
  for (const std::uint32_t destination : v.closed)
    if (!v.all) out << " " << destination;
  out << "\n";
  for (const std::string& host : v.out) out << "may rest: " << host << "\n";
}

void print_reports(const std::vector<ejection::StoredReport>& reports, std::ostream& out) {
  std::map<std::string, std::map<std::string, int>> hosts;
  for (const ejection::StoredReport& stored : reports)
    for (const ejection::DegradedEndpoint& endpoint : stored.report.degraded_endpoints)
      ++hosts[endpoint.host][std::string(name_of(endpoint.kind)) + (endpoint.exempt ? " and called" : "")];
  for (const auto& [host, states] : hosts) {
    out << host << ":";
    for (const auto& [state, relays] : states) out << " " << state << " at " << relays;
    out << "\n";
  }
}

}  // namespace

bool show_ejections(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                    std::ostream& out, std::string& error) {
  return run_agent_query(
      consul, limits, limits.max_fleet_answer, error, [&](AgentClient& client) -> asio::awaitable<void> {
        const std::string verdict_target = "/v1/kv/" + verdict_key(settings) + "?raw&consistent";
        const AgentAnswer verdict = co_await client.request("GET", verdict_target, "", settings.timing.call);
        const std::string all_reports_target = reports_target(settings);
        const AgentAnswer all_reports =
            co_await client.request("GET", all_reports_target, "", settings.timing.call);
        std::vector<ejection::StoredReport> reports;
        for (const AgentAnswer* answer : {&verdict, &all_reports})
          if (answer->status != 200 && answer->status != 404) error = no_answer_message(*answer);
        if (error.empty() && all_reports.status == 200 && !read_reports(all_reports.body, reports))
          error = "the reports can't be read";
        if (!error.empty()) co_return;
        print_verdict(verdict.status == 200 ? read_verdict(verdict.body) : std::nullopt, out);
        print_reports(reports, out);
      });
}

}  // namespace fennellane
