#include "fleet_agent.hpp"

#include <algorithm>
#include <utility>

#include "clock.hpp"
#include "consul_json.hpp"

namespace fennellane {

bool read_key(const std::string& body, lease::KeyRead& read) {
  return with_json(body, [&read](const Json::Value& json) {
    if (!json.isArray() || json.size() != 1 || !json[0].isObject() || !json[0]["LockIndex"].isUInt64())
      return false;
    read.holder = json[0].get("Session", "").asString();
    read.lock_index = json[0]["LockIndex"].asUInt64();
    read.lapsed = read.holder.empty() && !json[0].get("Value", "").asString().empty();
    return true;
  });
}

bool read_registrations(const std::string& body, std::vector<fleet::Registration>& registrations) {
  return with_json(body, [&registrations](const Json::Value& json) {
    if (!json.isArray()) return false;
    for (const Json::Value& entry : json) {
      fleet::Registration r;
      r.node = entry["Node"]["Node"].asString();
      r.id = entry["Service"]["ID"].asString();
      r.service_index = entry["Service"]["ModifyIndex"].asUInt64();
      for (const Json::Value& check : entry["Checks"]) {
        // Only the service's own check; node checks have no ServiceID.
        if (check["ServiceID"].asString() != r.id || !r.check.empty()) continue;
        r.check = check["CheckID"].asString();
        r.check_index = check["ModifyIndex"].asUInt64();
        r.critical = check["Status"].asString() == "critical";
      }
      registrations.push_back(std::move(r));
    }
    return true;
  });
}

std::string removal_transaction_json(const std::string& key, const fleet::RemoveRegistrations& removal) {
  Json::Value operations(Json::arrayValue);
  operations.append(session_check_operation(key, removal.session));
  for (const fleet::Registration& r : removal.registrations) {
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

// Both values are JSON objects with the head; the stored list also contains the list.
bool parse_shared_list(const std::string& body, fleet::SharedHead& head, std::string& list) {
  return with_json(body, [&](const Json::Value& json) {
    head = {json["token"].asUInt64(), json["beat"].asUInt64(), json["version"].asUInt64(),
            json["source"].asString()};
    list = json["list"].asString();
    return json["token"].isUInt64() && json["version"].isUInt64();
  });
}

std::string publish_transaction_json(const std::string& role_key, const std::string& list_key,
                                     const std::string& heartbeat_key, const fleet::Publish& publish) {
  Json::Value operations(Json::arrayValue), head;
  head["token"] = Json::UInt64(publish.head.token);
  head["beat"] = Json::UInt64(publish.head.heartbeat);
  head["version"] = Json::UInt64(publish.head.version);
  head["source"] = publish.head.source;
  operations.append(session_check_operation(role_key, publish.session));
  operations.append(set_operation(heartbeat_key, json_text(head)));
  if (publish.text) {
    head["list"] = *publish.text;
    operations.append(set_operation(list_key, json_text(head)));
  }
  return json_text(operations);
}

FleetAgent::FleetAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
                       const std::string& relay, const Limits& limits, Counters& counters, Log& log,
                       OnInput on_input)
    : FleetAgentBase(io, std::move(on_input)),
      consul_(consul),
      settings_(settings),
      relay_(relay),
      limits_(limits),
      counters_(counters),
      log_(log),
      sweep_client_(io, consul_, limits, limits.max_fleet_answer),
      sweep_timer_(io),
      publish_client_(io, consul_, limits, limits.max_body_size, limits.max_fleet_list * 3 / 2),
      list_client_(io, consul_, limits, limits.max_fleet_list * 2),
      refresh_timer_(io) {
  for (const std::string& role : settings_.roles)
    roles_.push_back(std::make_unique<Role>(io, consul_, limits, role, role_key(settings_, role)));
  for (const auto& role : roles_) role->client.report_strays(counters.agent_strays, log);
  for (AgentClient* client : {&sweep_client_, &publish_client_, &list_client_})
    client->report_strays(counters.agent_strays, log);
  if (settings_.drain)
    drain_ = std::make_shared<DrainAgent>(io, consul_, settings_, limits, counters, log, on_input_);
  if (settings_.release)
    release_ = std::make_shared<ReleaseAgent>(io, consul_, settings_, limits, counters, log, on_input_);
  if (settings_.ejection)
    ejection_ = std::make_shared<EjectionAgent>(io, consul_, settings_, limits, counters, log, on_input_);
}

void FleetAgent::start() {
  for (std::uint32_t i = 0; i < roles_.size(); ++i) watch_role(i);
  if (has_role(settings_, fleet::kRefreshRole)) watch_heartbeat();
  if (release_) release_->start();
  if (ejection_) ejection_->start();
}

void FleetAgent::execute(const fleet::Effect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}

void FleetAgent::post_lease_input(std::uint32_t role, lease::Input input) {
  post_input(fleet::LeaseInput{role, std::move(input)});
}

void FleetAgent::on(const fleet::DrainEffect& e) {
  if (drain_) drain_->execute(e.effect);
}
void FleetAgent::on(const fleet::MoverEffect& e) {
  if (release_) release_->execute(e.effect);
}
void FleetAgent::on(const fleet::CoordinatorEffect& e) {
  if (release_) release_->execute(e.effect);
}
void FleetAgent::on(const fleet::ReporterEffect& e) {
  if (ejection_) ejection_->execute(e.effect);
}
void FleetAgent::on(const fleet::ArbiterEffect& e) {
  if (ejection_) ejection_->execute(e.effect);
}

// --- The lease
void FleetAgent::on(const fleet::LeaseEffect& e) {
  std::visit([this, &e](const auto& effect) { execute(e.role, effect); }, e.effect);
}

void FleetAgent::execute(std::uint32_t role, const lease::CreateSession& e) {
  ++counters_.lease_calls;
  spawn([this, role, e]() -> asio::awaitable<void> {
    Role& r = *roles_[role];
    const Time sent = steady_now();
    const std::string body = session_json(relay_ + " " + r.name, "release", e.ttl, e.lock_delay);
    const std::string id = co_await create_session(r.client, body, settings_.timing.call);
    if (id.empty()) {
      post_lease_input(role, lease::CallFailed{});
    } else {
      post_lease_input(role, lease::SessionCreated{id, sent});
    }
  });
}

void FleetAgent::execute(std::uint32_t role, const lease::AcquireLock& e) {
  ++counters_.lease_calls;
  spawn([this, role, session = e.session]() -> asio::awaitable<void> {
    Role& r = *roles_[role];
    const Time sent = steady_now();
    const AgentAnswer answer = co_await r.client.request("PUT", "/v1/kv/" + r.key + "?acquire=" + session,
                                                         relay_, settings_.timing.call);
    if (answer.status != 200) {
      post_lease_input(role, lease::CallFailed{});
    } else {
      post_lease_input(role, lease::AcquireAnswered{answer.body.starts_with("true"), sent});
    }
  });
}

void FleetAgent::execute(std::uint32_t role, const lease::RenewSession& e) {
  ++counters_.lease_calls;
  spawn([this, role, session = e.session]() -> asio::awaitable<void> {
    const Time sent = steady_now();
    const std::optional<bool> alive =
        co_await renew_session(roles_[role]->client, session, settings_.timing.call);
    if (alive) {
      post_lease_input(role, lease::RenewAnswered{*alive, sent});
    } else {
      post_lease_input(role, lease::CallFailed{});
    }
  });
}

void FleetAgent::execute(std::uint32_t role, const lease::ReleaseSession& e) {
  ++counters_.lease_calls;
  spawn([this, role, e]() -> asio::awaitable<void> {
    Role& r = *roles_[role];
    // Released before the session is destroyed: destroying it while it holds the lock starts the lock-delay.
    // The empty value written by the release tells it from a lapse.
    if (e.holds_lock)
      co_await r.client.request("PUT", "/v1/kv/" + r.key + "?release=" + e.session, "",
                                settings_.timing.call);
    co_await destroy_session(r.client, e.session, settings_.timing.call);
    post_lease_input(role, lease::SessionReleased{});
  });
}

void FleetAgent::execute(std::uint32_t role, const lease::LeaseActive& e) {
  log_("lease", roles_[role]->name + ": acts, token " + std::to_string(e.token));
}
void FleetAgent::execute(std::uint32_t role, const lease::LeaseInactive& e) {
  log_("lease", roles_[role]->name + ": acts no more: " + e.reason);
}
void FleetAgent::execute(std::uint32_t role, const lease::LogMessage& e) {
  log_("lease", roles_[role]->name + ": " + e.text);
}
void FleetAgent::execute(std::uint32_t role, const lease::SetTimer& e) {
  set_timer(roles_[role]->timer, e.at, [role] {
    return fleet::Input(fleet::LeaseInput{role, lease::TimerExpired{}});
  });
}

void FleetAgent::watch_role(std::uint32_t role) {
  const auto on_answer = [this, role](const AgentAnswer& answer, bool index_reset) {
    lease::KeyRead read;
    if (answer.status == 200 && !read_key(answer.body, read)) return false;
    read.modify_index = answer.index;
    read.index_reset = index_reset;
    post_lease_input(role, std::move(read));
    return true;
  };
  std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, roles_[role]->key,
                             KeyWatch::ReadMode::key, settings_.timing.call, settings_.blocking_wait,
                             on_answer)
      ->start();
}

// --- The shared list
void FleetAgent::watch_heartbeat() {
  const auto on_answer = [this](const AgentAnswer& answer, bool index_reset) {
    fleet::HeartbeatRead read{std::nullopt, index_reset};
    if (answer.status == 200) {
      fleet::SharedHead head;
      std::string ignored;
      if (!parse_shared_list(answer.body, head, ignored)) return false;
      read.head = std::move(head);
    }
    post_input(fleet::RefreshRoleInput{std::move(read)});
    return true;
  };
  std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, heartbeat_key(),
                             KeyWatch::ReadMode::value, settings_.timing.call, settings_.blocking_wait,
                             on_answer)
      ->start();
}

void FleetAgent::on(const fleet::RefreshRoleEffect& e) {
  if (const auto* publish = std::get_if<fleet::Publish>(&e.effect)) return execute(*publish);
  if (std::holds_alternative<fleet::ReadSharedList>(e.effect)) return read_shared_list();
  if (const auto* timer = std::get_if<fleet::SetRefreshTimer>(&e.effect)) {
    return set_timer(refresh_timer_, timer->at,
                     [] { return fleet::Input(fleet::RefreshRoleInput{fleet::RefreshTimerExpired{}}); });
  }
  if (const auto* message = std::get_if<fleet::RefreshLogMessage>(&e.effect)) log_("refresh", message->text);
}

void FleetAgent::execute(const fleet::Publish& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    fleet::Published published{e.head.token, lease::WriteResult::unknown};
    if (e.text && e.text->size() > limits_.max_fleet_list) {
      log_("refresh", "the list is too long to publish: " + std::to_string(e.text->size()) + " bytes");
    } else {
      const std::string body =
          publish_transaction_json(role_key(settings_, fleet::kRefreshRole), list_key(), heartbeat_key(), e);
      const AgentAnswer answer =
          co_await publish_client_.request("PUT", "/v1/txn", body, settings_.timing.call);
      published.result = transaction_result(answer);
    }
    post_input(fleet::RefreshRoleInput{published});
  });
}

void FleetAgent::read_shared_list() {
  spawn([this]() -> asio::awaitable<void> {
    fleet::SharedListRead read;
    const AgentAnswer answer = co_await list_client_.request(
        "GET", "/v1/kv/" + list_key() + "?raw&consistent", "", settings_.timing.call);
    read.ok = answer.status == 200 && parse_shared_list(answer.body, read.head, read.text);
    post_input(fleet::RefreshRoleInput{std::move(read)});
  });
}

// --- The sweep
void FleetAgent::on(const fleet::SetSweepTimer& e) {
  set_timer(sweep_timer_, e.at, [] { return fleet::Input(fleet::SweepTimerExpired{}); });
}

void FleetAgent::on(const fleet::ReadRegistrations& e) {
  spawn([this, token = e.token]() -> asio::awaitable<void> {
    const AgentAnswer answer = co_await sweep_client_.request(
        "GET", "/v1/health/service/" + settings_.sweep.service + "?consistent", "", consul_.answer_timeout);
    fleet::RegistrationsRead read{token, false, {}};
    read.ok = answer.status == 200 && read_registrations(answer.body, read.registrations);
    if (!read.ok) read.registrations.clear();
    post_input(std::move(read));
  });
}

void FleetAgent::on(const fleet::RemoveRegistrations& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    const std::string key = role_key(settings_, fleet::kSweepRole);
    const AgentAnswer answer = co_await sweep_client_.request(
        "PUT", "/v1/txn", removal_transaction_json(key, e), settings_.timing.call);
    post_input(fleet::RegistrationsRemoved{e.token, transaction_result(answer)});
  });
}

}  // namespace fennellane
