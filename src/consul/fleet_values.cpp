#include "fleet_values.hpp"

#include <algorithm>

#include "consul_json.hpp"
#include "names.hpp"

namespace fennellane {
namespace {

constexpr std::size_t kMaxWaves = 100;

Json::Value sums_value(const release::Sums& sums) {
  Json::Value out;
  out["asked"] = Json::UInt64(sums.asked);
  out["refused"] = Json::UInt64(sums.refused);
  out["ends"] = Json::UInt64(sums.ends);
  out["bad"] = Json::UInt64(sums.bad);
  out["late"] = Json::UInt64(sums.late);
  return out;
}

release::Sums sums_of(const Json::Value& in) {
  return {in["asked"].asUInt64(), in["refused"].asUInt64(), in["ends"].asUInt64(), in["bad"].asUInt64(),
          in["late"].asUInt64()};
}

Json::Value names_value(const std::vector<std::string>& names) {
  Json::Value out(Json::arrayValue);
  for (const std::string& name : names) out.append(name);
  return out;
}

std::vector<std::string> names_of(const Json::Value& in) {
  std::vector<std::string> out;
  for (const Json::Value& name : in) out.push_back(name.asString());
  return out;
}

}  // namespace

std::string budget_json(const drain::Budget& budget) {
  Json::Value out;
  out["Limit"]["most"] = budget.cap.max_relays;
  out["Limit"]["per_zone"] = budget.cap.per_zone;
  out["Limit"]["percent"] = budget.cap.percent;
  out["Holders"] = Json::Value(Json::objectValue);
  for (const drain::Holder& h : budget.holders) {
    out["Holders"][h.session]["relay"] = h.relay;
    out["Holders"][h.session]["zone"] = h.zone;
  }
  return json_text(out);
}

std::optional<drain::Budget> read_budget(const std::string& text) {
  drain::Budget budget;
  const bool ok = with_json(text, [&budget](const Json::Value& v) {
    const Json::Value& limit = v["Limit"];
    budget.cap = {limit["most"].asUInt(), limit["per_zone"].asUInt(), limit["percent"].asUInt()};
    for (const std::string& session : v["Holders"].getMemberNames()) {
      const Json::Value& h = v["Holders"][session];
      budget.holders.push_back({session, h["relay"].asString(), h["zone"].asString()});
    }
    return limit.isObject() && budget.cap.percent <= 100;
  });
  return ok ? std::optional(std::move(budget)) : std::nullopt;
}

bool read_semaphore(const std::string& body, const std::string& prefix, drain::BudgetSeen& seen) {
  return with_json(body, [&](const Json::Value& v) {
    if (!v.isArray()) return false;
    for (const Json::Value& entry : v) {
      const std::string key = entry["Key"].asString();
      const std::string name = key.substr(std::min(prefix.size(), key.size()));
      if (name == ".lock") {
        seen.index = entry["ModifyIndex"].asUInt64();
        seen.budget = read_budget(decoded_value(entry));
        if (!seen.budget) return false;  // no slot is acquired from an unreadable budget
      } else if (entry.get("Session", "").asString() == name && !name.empty()) {
        seen.contenders.push_back({name, entry["CreateIndex"].asUInt64()});
      }
    }
    return true;
  });
}

bool read_census(const std::string& body, const std::string& service, drain::Census& census) {
  return with_json(body, [&](const Json::Value& v) {
    if (!v.isArray()) return false;
    for (const Json::Value& entry : v) {
      const Json::Value& registered = entry["Service"];
      const std::string id = registered["ID"].asString();
      std::string relay = registered["Meta"].get("relay", "").asString();
      if (relay.empty()) relay = id.starts_with(service + "-") ? id.substr(service.size() + 1) : id;
      ++census.relays;
      const Json::Value& checks = entry["Checks"];
      const bool down = std::any_of(checks.begin(), checks.end(), [](const Json::Value& check) {
        return check["Status"].asString() == "critical";
      });
      if (down) census.down.push_back({relay, registered["Meta"].get("zone", "").asString()});
    }
    return true;
  });
}

std::string state_json(const release::State& s) {
  Json::Value out;
  out["id"] = s.id;
  out["from"] = s.from;
  out["to"] = s.to;
  out["phase"] = release::name_of(s.phase);
  out["steps"] = names_value(s.steps);
  out["wave"] = s.wave;
  out["waves"] = Json::Value(Json::arrayValue);
  for (const auto& wave : s.waves) out["waves"].append(names_value(wave));
  out["auto_back"] = s.auto_back;
  out["why"] = s.reason;
  out["base"] = sums_value(s.base);
  return json_text(out);
}

std::optional<release::State> read_state(const std::string& text) {
  release::State s;
  const bool ok = with_json(text, [&s](const Json::Value& v) {
    s.id = v["id"].asString();
    s.from = v["from"].asString();
    s.to = v["to"].asString();
    const auto phase = release::phase_named(v["phase"].asString());
    s.steps = names_of(v["steps"]);
    s.wave = v["wave"].asUInt();
    for (const Json::Value& wave : v["waves"]) s.waves.push_back(names_of(wave));
    s.auto_back = v["auto_back"].asBool();
    s.reason = v["why"].asString();
    s.base = sums_of(v["base"]);
    if (phase) s.phase = *phase;
    // Build names are plain file names, so that the relay cannot be made to start a program elsewhere.
    return phase && !s.id.empty() && is_plain_name(s.from) && is_plain_name(s.to) &&
           s.waves.size() <= kMaxWaves && release::steps_problem(s.steps).empty();
  });
  return ok ? std::optional(std::move(s)) : std::nullopt;
}

std::string report_json(const release::Report& r) {
  Json::Value out;
  out["relay"] = r.relay;
  out["zone"] = r.zone;
  out["release"] = r.release;
  out["build"] = r.build;
  out["beat"] = Json::UInt64(r.heartbeat);
  out["trouble"] = r.trouble;
  out["waits"] = r.waits;
  out["sums"] = sums_value(r.sums);
  return json_text(out);
}

bool read_reports(const std::string& body, std::vector<release::Report>& reports) {
  return with_json(body, [&reports](const Json::Value& json) {
    if (!json.isArray()) return false;
    for (const Json::Value& entry : json) {
      release::Report r;
      const bool ok = with_json(decoded_value(entry), [&r](const Json::Value& v) {
        r = {v["relay"].asString(), v["zone"].asString(),    v["release"].asString(), v["build"].asString(),
             v["beat"].asUInt64(),  v["trouble"].asString(), v["waits"].asString(),   sums_of(v["sums"])};
        return !r.relay.empty();
      });
      if (ok) reports.push_back(std::move(r));
    }
    return true;
  });
}

}  // namespace fennellane
