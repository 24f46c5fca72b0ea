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
  for (const ejection::DegradationKind state : kDegradationKinds)
    if (name == name_of(state)) return state;
  return std::nullopt;
}

std::string reports_target(const FleetSettings& settings) {
  return "/v1/kv/" + degraded_prefix(settings) + "?recurse&consistent";
}

}  // namespace

std::string report_json(const ejection::Report& r) {
  Json::Value out;
  out["relay"] = r.relay;
  out["beat"] = Json::UInt64(r.heartbeat);
  out["ailing"] = Json::Value(Json::arrayValue);
  for (const ejection::DegradedEndpoint& a : r.degraded_endpoints) {
    Json::Value one;
    one["host"] = a.host;
    one["state"] = name_of(a.kind);
    one["bad"] = a.failure_share;
    one["kept"] = a.exempt;
    out["ailing"].append(std::move(one));
  }
  return json_text(out);
}

bool read_reports(const std::string& body, std::vector<ejection::StoredReport>& reports) {
  return with_json(body, [&reports](const Json::Value& all) {
    if (!all.isArray()) return false;
    for (const Json::Value& entry : all) {
      ejection::StoredReport read;
      read.index = entry["ModifyIndex"].asUInt64();
      const bool good = with_json(decoded_value(entry), [&read](const Json::Value& v) {
        read.report.relay = v["relay"].asString();
        read.report.heartbeat = v["beat"].asUInt64();
        for (const Json::Value& one : v["ailing"]) {
          const auto state = kind_named(one["state"].asString());
          if (!state) return false;
          read.report.degraded_endpoints.push_back({one["host"].asString(), *state,
                                                    std::clamp(one["bad"].asDouble(), 0.0, 1.0),
                                                    one["kept"].asBool()});
        }
        return !read.report.relay.empty();
      });
      if (good) reports.push_back(std::move(read));
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
  ejection::Verdict v;
  const bool good = with_json(text, [&v](const Json::Value& in) {
    v.token = in["token"].asUInt64();
    v.heartbeat = in["beat"].asUInt64();
    v.all = in["all"].asBool();
    for (const Json::Value& destination : in["closed"]) v.closed.push_back(destination.asUInt());
    for (const Json::Value& host : in["out"]) v.out.push_back(host.asString());
    // Guards those who look things up in them.
    std::sort(v.closed.begin(), v.closed.end());
    std::sort(v.out.begin(), v.out.end());
    v.failing = in["failing"].asUInt();
    v.reduced = in["reduced"].asUInt();
    v.drained = in["drained"].asUInt();
    v.listed = in["listed"].asUInt();
    v.relays = in["relays"].asUInt();
    return in["token"].isUInt64() && in["closed"].isArray() && in["out"].isArray();
  });
  return good ? std::optional(std::move(v)) : std::nullopt;
}

std::string verdict_transaction_json(const FleetSettings& settings, const ejection::WriteVerdict& step) {
  Json::Value operations(Json::arrayValue);
  operations.append(session_check_operation(role_key(settings, fleet::kEjectionRole), step.session));
  operations.append(set_operation(verdict_key(settings), verdict_json(step.verdict)));
  for (const auto& [relay, index] : step.forget)
    operations.append(delete_cas_operation(degraded_prefix(settings) + relay, index));
  return json_text(operations);
}

EjectionAgent::EjectionAgent(asio::io_context& io, const ConsulSettings& consul,
                             const FleetSettings& settings, const Limits& limits, Counters& counters,
                             Log& log, OnInput tell)
    : FleetAgentBase(io, std::move(tell)),
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
  const auto take = [this](const AgentAnswer& answer, bool afresh) {
    ejection::VerdictSeen seen{std::nullopt, afresh};
    if (answer.status == 200) {
      seen.verdict = read_verdict(answer.body);
      if (!seen.verdict) return false;
    }
    post_input(fleet::ReporterInput{std::move(seen)});
    return true;
  };
  std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, verdict_key(settings_),
                             KeyWatch::ReadMode::value, settings_.timing.call, settings_.blocking_wait, take)
      ->start();
  post_input(fleet::ReporterInput{ejection::CheckTimerExpired{}});
}

void EjectionAgent::execute(const ejection::ReporterEffect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}
void EjectionAgent::execute(const ejection::ArbiterEffect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}

// One that is lost is followed by the next: nothing waits for it.
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

// --- For operators
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
  for (const ejection::StoredReport& read : reports)
    for (const ejection::DegradedEndpoint& a : read.report.degraded_endpoints)
      ++hosts[a.host][std::string(name_of(a.kind)) + (a.exempt ? " and called" : "")];
  for (const auto& [host, states] : hosts) {
    out << host << ":";
    for (const auto& [state, relays] : states) out << " " << state << " at " << relays;
    out << "\n";
  }
}

}  // namespace

bool show_ejections(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                    std::ostream& out, std::string& trouble) {
  return run_agent_query(
      consul, limits, limits.max_fleet_answer, trouble, [&](AgentClient& call) -> asio::awaitable<void> {
        const std::string of_verdict = "/v1/kv/" + verdict_key(settings) + "?raw&consistent";
        const AgentAnswer verdict = co_await call.request("GET", of_verdict, "", settings.timing.call);
        const std::string of_reports = reports_target(settings);
        const AgentAnswer all = co_await call.request("GET", of_reports, "", settings.timing.call);
        std::vector<ejection::StoredReport> reports;
        for (const AgentAnswer* answer : {&verdict, &all})
          if (answer->status != 200 && answer->status != 404) trouble = no_answer_message(*answer);
        if (trouble.empty() && all.status == 200 && !read_reports(all.body, reports))
          trouble = "the reports can't be read";
        if (!trouble.empty()) co_return;
        print_verdict(verdict.status == 200 ? read_verdict(verdict.body) : std::nullopt, out);
        print_reports(reports, out);
      });
}

}  // namespace fennellane
