#include "fleet_agent.hpp"

#include <algorithm>
#include <utility>

#include "clock.hpp"
#include "consul_json.hpp"

namespace fennellane {

bool read_key(const std::string& body, lease::KeySeen& seen) {
  return with_json(body, [&seen](const Json::Value& v) {
    if (!v.isArray() || v.size() != 1 || !v[0].isObject() || !v[0]["LockIndex"].isUInt64()) return false;
    seen.holder = v[0].get("Session", "").asString();
    seen.lock_index = v[0]["LockIndex"].asUInt64();
    seen.lapsed = seen.holder.empty() && !v[0].get("Value", "").asString().empty();
    return true;
  });
}

bool read_registrations(const std::string& body, std::vector<fleet::Registration>& all) {
  return with_json(body, [&all](const Json::Value& v) {
    if (!v.isArray()) return false;
    for (const Json::Value& each : v) {
      fleet::Registration r;
      r.node = each["Node"]["Node"].asString();
      r.id = each["Service"]["ID"].asString();
      r.service_index = each["Service"]["ModifyIndex"].asUInt64();
      for (const Json::Value& check : each["Checks"]) {
        // Its own check; the node's is another matter.
        if (check["ServiceID"].asString() != r.id || !r.check.empty()) continue;
        r.check = check["CheckID"].asString();
        r.check_index = check["ModifyIndex"].asUInt64();
        r.critical = check["Status"].asString() == "critical";
      }
      all.push_back(std::move(r));
    }
    return true;
  });
}

std::string removal_json(const std::string& key, const fleet::RemoveRegistrations& removal) {
  Json::Value operations(Json::arrayValue);
  operations.append(fence(key, removal.session));
  for (const fleet::Registration& r : removal.which) {
    Json::Value check;
    check["Check"]["Verb"] = "delete-cas";
    check["Check"]["Check"]["Node"] = r.node;
    check["Check"]["Check"]["CheckID"] = r.check;
    check["Check"]["Check"]["ServiceID"] = r.id;
    check["Check"]["Check"]["ModifyIndex"] = Json::UInt64(r.check_index);
    operations.append(check);
    Json::Value service;
    service["Service"]["Verb"] = "delete-cas";
    service["Service"]["Node"] = r.node;
    service["Service"]["Service"]["ID"] = r.id;
    service["Service"]["Service"]["ModifyIndex"] = Json::UInt64(r.service_index);
    operations.append(service);
  }
  return json_text(operations);
}

// The two values, both JSON: the head, and beside the list the list itself.
bool read_shared(const std::string& body, fleet::SharedHead& head, std::string& list) {
  return with_json(body, [&](const Json::Value& v) {
    head = {v["token"].asUInt64(), v["beat"].asUInt64(), v["version"].asUInt64(), v["source"].asString()};
    list = v["list"].asString();
    return v["token"].isUInt64() && v["version"].isUInt64();
  });
}

std::string share_json(const std::string& role, const std::string& list, const std::string& beat,
                       const fleet::Publish& publish) {
  Json::Value operations(Json::arrayValue), head;
  head["token"] = Json::UInt64(publish.head.token);
  head["beat"] = Json::UInt64(publish.head.beat);
  head["version"] = Json::UInt64(publish.head.version);
  head["source"] = publish.head.source;
  operations.append(fence(role, publish.session));
  operations.append(set_key(beat, json_text(head)));
  if (publish.text) {
    head["list"] = *publish.text;
    operations.append(set_key(list, json_text(head)));
  }
  return json_text(operations);
}

FleetAgent::FleetAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
                       const std::string& relay, const Limits& limits, Counters& counters, Log& log,
                       Tell tell)
    : FleetTasks(io, std::move(tell)),
      consul_(consul),
      settings_(settings),
      relay_(relay),
      limits_(limits),
      counters_(counters),
      log_(log),
      work_(io, consul_, limits, limits.fleet_answer),
      work_due_(io),
      shares_(io, consul_, limits, limits.body, limits.fleet_list * 3 / 2),
      lists_(io, consul_, limits, limits.fleet_list * 2),
      refresh_due_(io) {
  for (const std::string& role : settings_.roles)
    roles_.push_back(std::make_unique<Role>(io, consul_, limits, role, role_key(settings_, role)));
  for (const auto& role : roles_) role->calls.report_strays(counters.agent_strays, log);
  for (AgentCall* call : {&work_, &shares_, &lists_}) call->report_strays(counters.agent_strays, log);
  if (settings_.drain)
    drain_ = std::make_shared<DrainAgent>(io, consul_, settings_, limits, counters, log, tell_);
  if (settings_.release)
    release_ = std::make_shared<ReleaseAgent>(io, consul_, settings_, limits, counters, log, tell_);
  if (settings_.ejection)
    ejection_ = std::make_shared<EjectionAgent>(io, consul_, settings_, limits, counters, log, tell_);
}

void FleetAgent::start() {
  for (std::uint32_t i = 0; i < roles_.size(); ++i) watch_role(i);
  if (has_role(settings_, fleet::kRefreshRole)) watch_beat();
  if (release_) release_->start();
  if (ejection_) ejection_->start();
}

void FleetAgent::carry(const fleet::Effect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}

void FleetAgent::hear(std::uint32_t role, lease::Input input) {
  tell_later(fleet::LeaseHeard{role, std::move(input)});
}

void FleetAgent::on(const fleet::DrainDo& e) {
  if (drain_) drain_->carry(e.effect);
}
void FleetAgent::on(const fleet::MoverDo& e) {
  if (release_) release_->carry(e.effect);
}
void FleetAgent::on(const fleet::CoordinatorDo& e) {
  if (release_) release_->carry(e.effect);
}
void FleetAgent::on(const fleet::ReporterDo& e) {
  if (ejection_) ejection_->carry(e.effect);
}
void FleetAgent::on(const fleet::ArbiterDo& e) {
  if (ejection_) ejection_->carry(e.effect);
}

// --- The lease
void FleetAgent::on(const fleet::LeaseDo& e) {
  std::visit([this, &e](const auto& effect) { carry(e.role, effect); }, e.effect);
}

void FleetAgent::carry(std::uint32_t role, const lease::CreateSession& e) {
  ++counters_.lease_calls;
  spawn([this, role, e]() -> asio::awaitable<void> {
    Role& r = *roles_[role];
    const Time sent = steady_now();
    const std::string body = session_json(relay_ + " " + r.name, "release", e.ttl, e.lock_delay);
    const std::string id = co_await create_session(r.calls, body, settings_.timing.call);
    if (id.empty()) {
      hear(role, lease::CallFailed{});
    } else {
      hear(role, lease::SessionMade{id, sent});
    }
  });
}

void FleetAgent::carry(std::uint32_t role, const lease::Acquire& e) {
  ++counters_.lease_calls;
  spawn([this, role, session = e.session]() -> asio::awaitable<void> {
    Role& r = *roles_[role];
    const Time sent = steady_now();
    const AgentAnswer answer =
        co_await r.calls.ask("PUT", "/v1/kv/" + r.key + "?acquire=" + session, relay_, settings_.timing.call);
    if (answer.status != 200) {
      hear(role, lease::CallFailed{});
    } else {
      hear(role, lease::LockAnswer{answer.body.starts_with("true"), sent});
    }
  });
}

void FleetAgent::carry(std::uint32_t role, const lease::Renew& e) {
  ++counters_.lease_calls;
  spawn([this, role, session = e.session]() -> asio::awaitable<void> {
    const Time sent = steady_now();
    const std::optional<bool> alive =
        co_await renew_session(roles_[role]->calls, session, settings_.timing.call);
    if (alive) {
      hear(role, lease::RenewAnswer{*alive, sent});
    } else {
      hear(role, lease::CallFailed{});
    }
  });
}

void FleetAgent::carry(std::uint32_t role, const lease::Release& e) {
  ++counters_.lease_calls;
  spawn([this, role, e]() -> asio::awaitable<void> {
    Role& r = *roles_[role];
    // Released first: a session that is destroyed while it holds starts the lock-delay.
    // The value it leaves says that this was no lapse.
    if (e.holds)
      co_await r.calls.ask("PUT", "/v1/kv/" + r.key + "?release=" + e.session, "", settings_.timing.call);
    co_await destroy_session(r.calls, e.session, settings_.timing.call);
    hear(role, lease::Done{});
  });
}

void FleetAgent::carry(std::uint32_t role, const lease::Act& e) {
  log_("lease", roles_[role]->name + ": acts, token " + std::to_string(e.token));
}
void FleetAgent::carry(std::uint32_t role, const lease::Stop& e) {
  log_("lease", roles_[role]->name + ": acts no more: " + e.why);
}
void FleetAgent::carry(std::uint32_t role, const lease::Say& e) {
  log_("lease", roles_[role]->name + ": " + e.text);
}
void FleetAgent::carry(std::uint32_t role, const lease::SetTimer& e) {
  set(roles_[role]->due, e.at, [role] { return fleet::Input(fleet::LeaseHeard{role, lease::TimeDue{}}); });
}

void FleetAgent::watch_role(std::uint32_t role) {
  const auto take = [this, role](const AgentAnswer& answer, bool afresh) {
    lease::KeySeen seen;
    if (answer.status == 200 && !read_key(answer.body, seen)) return false;
    seen.index = answer.index;
    seen.afresh = afresh;
    hear(role, std::move(seen));
    return true;
  };
  std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, roles_[role]->key, KeyWatch::What::key,
                             settings_.timing.call, settings_.wait, take)
      ->start();
}

// --- The shared list
void FleetAgent::watch_beat() {
  const auto take = [this](const AgentAnswer& answer, bool afresh) {
    fleet::BeatSeen seen{std::nullopt, afresh};
    if (answer.status == 200) {
      fleet::SharedHead head;
      std::string ignored;
      if (!read_shared(answer.body, head, ignored)) return false;
      seen.beat = std::move(head);
    }
    tell_later(fleet::RefreshHeard{std::move(seen)});
    return true;
  };
  std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, beat_key(), KeyWatch::What::value,
                             settings_.timing.call, settings_.wait, take)
      ->start();
}

void FleetAgent::on(const fleet::RefreshDo& e) {
  if (const auto* publish = std::get_if<fleet::Publish>(&e.effect)) return carry(*publish);
  if (std::holds_alternative<fleet::ReadList>(e.effect)) return read_list();
  if (const auto* timer = std::get_if<fleet::SetRefreshTimer>(&e.effect)) {
    return set(refresh_due_, timer->at,
               [] { return fleet::Input(fleet::RefreshHeard{fleet::RefreshDue{}}); });
  }
  if (const auto* said = std::get_if<fleet::RefreshSaid>(&e.effect)) log_("refresh", said->text);
}

void FleetAgent::carry(const fleet::Publish& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    fleet::Published published{e.head.token, lease::Written::failed};
    if (e.text && e.text->size() > limits_.fleet_list) {
      log_("refresh", "the list is too long to be shared: " + std::to_string(e.text->size()) + " bytes");
    } else {
      const std::string body =
          share_json(role_key(settings_, fleet::kRefreshRole), list_key(), beat_key(), e);
      const AgentAnswer answer = co_await shares_.ask("PUT", "/v1/txn", body, settings_.timing.call);
      published.how = written(answer);
    }
    tell_later(fleet::RefreshHeard{published});
  });
}

void FleetAgent::read_list() {
  spawn([this]() -> asio::awaitable<void> {
    fleet::ListSeen seen;
    const AgentAnswer answer =
        co_await lists_.ask("GET", "/v1/kv/" + list_key() + "?raw&consistent", "", settings_.timing.call);
    seen.good = answer.status == 200 && read_shared(answer.body, seen.head, seen.text);
    tell_later(fleet::RefreshHeard{std::move(seen)});
  });
}

// --- The sweep
void FleetAgent::on(const fleet::SetWorkTimer& e) {
  set(work_due_, e.at, [] { return fleet::Input(fleet::WorkDue{}); });
}

void FleetAgent::on(const fleet::ReadRegistrations& e) {
  spawn([this, token = e.token]() -> asio::awaitable<void> {
    const AgentAnswer answer = co_await work_.ask(
        "GET", "/v1/health/service/" + settings_.sweep.service + "?consistent", "", consul_.answer);
    fleet::RegistrationsRead read{token, false, {}};
    read.good = answer.status == 200 && read_registrations(answer.body, read.all);
    if (!read.good) read.all.clear();
    tell_later(std::move(read));
  });
}

void FleetAgent::on(const fleet::RemoveRegistrations& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    const std::string key = role_key(settings_, fleet::kSweepRole);
    const AgentAnswer answer =
        co_await work_.ask("PUT", "/v1/txn", removal_json(key, e), settings_.timing.call);
    tell_later(fleet::RegistrationsRemoved{e.token, written(answer)});
  });
}

}  // namespace fennellane
