#include "drain_agent.hpp"

#include "consul_json.hpp"
#include "fleet_values.hpp"

namespace fennellane {

DrainAgent::DrainAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
                       const Limits& limits, Counters& counters, Log& log, OnInput on_input)
    : FleetAgentBase(io, std::move(on_input)),
      consul_(consul),
      settings_(settings),
      limits_(limits),
      counters_(counters),
      log_(log),
      client_(io, consul, limits, limits.max_fleet_answer, limits.max_consul_value),
      timer_(io) {
  client_.report_strays(counters.agent_strays, log);
}

void DrainAgent::execute(const drain::Effect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}

void DrainAgent::on(const drain::CreateSession& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    const drain::SlotSettings& slot = settings_.drain->slot;
    const Time sent = steady_now();
    // The contender key is deleted with the session, so that no keys accumulate. No lock-delay is needed,
    // since no other session acquires that key.
    const std::string body = session_json(slot.relay + " slot", "delete", e.ttl, Time(0));
    const std::string id = co_await create_session(client_, body, slot.call);
    if (id.empty()) {
      post_drain_input(drain::CallFailed{});
      co_return;
    }
    const AgentAnswer acquired = co_await client_.request(
        "PUT", "/v1/kv/" + budget_prefix(settings_) + id + "?acquire=" + id, slot.relay, slot.call);
    if (acquired.status == 200 && acquired.body.starts_with("true")) {
      post_drain_input(drain::SessionCreated{id, sent});
    } else {
      co_await destroy_session(client_, id, slot.call);
      post_drain_input(drain::CallFailed{});
    }
  });
}

void DrainAgent::on(const drain::Renew& e) {
  spawn([this, session = e.session]() -> asio::awaitable<void> {
    const Time sent = steady_now();
    const std::optional<bool> alive = co_await renew_session(client_, session, settings_.drain->slot.call);
    if (alive) {
      post_drain_input(drain::RenewAnswer{*alive, sent});
    } else {
      post_drain_input(drain::CallFailed{});
    }
  });
}

void DrainAgent::on(const drain::WatchBudget& e) {
  if (watch_) std::exchange(watch_, nullptr)->stop();
  if (!e.on) return;
  const auto on_answer = [this](const AgentAnswer& answer, bool) {
    drain::BudgetSeen seen;
    if (answer.status == 200 && !read_semaphore(answer.body, budget_prefix(settings_), seen)) return false;
    post_drain_input(std::move(seen));
    return true;
  };
  watch_ = std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, budget_prefix(settings_),
                                      KeyWatch::ReadMode::subtree, settings_.drain->slot.call,
                                      settings_.blocking_wait, on_answer);
  watch_->start();
}

void DrainAgent::on(const drain::ReadCensus&) {
  spawn([this]() -> asio::awaitable<void> {
    const std::string& service = settings_.drain->service;
    const AgentAnswer answer = co_await client_.request(
        "GET", "/v1/health/service/" + service + "?consistent", "", settings_.drain->slot.call);
    drain::CensusRead read;
    read.ok = answer.status == 200 && read_census(answer.body, service, read.census);
    post_drain_input(std::move(read));
  });
}

void DrainAgent::on(const drain::AcquireSlot& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    Json::Value operations(Json::arrayValue);
    operations.append(session_check_operation(budget_prefix(settings_) + e.session, e.session));
    operations.append(cas_operation(budget_key(settings_), e.index, budget_json(e.next)));
    const AgentAnswer answer =
        co_await client_.request("PUT", "/v1/txn", json_text(operations), settings_.drain->slot.call);
    const lease::WriteResult result = transaction_result(answer);
    if (result == lease::WriteResult::unknown) {
      post_drain_input(drain::CallFailed{});
    } else {
      post_drain_input(drain::SlotAnswer{result == lease::WriteResult::accepted});
    }
  });
}

void DrainAgent::on(const drain::DestroySession& e) {
  spawn([this, session = e.session]() -> asio::awaitable<void> {
    const bool ended = co_await destroy_session(client_, session, settings_.drain->slot.call);
    if (ended) {
      post_drain_input(drain::SessionDestroyed{});
    } else {
      post_drain_input(drain::CallFailed{});
    }
  });
}

void DrainAgent::on(const drain::SetTimer& e) {
  set_timer(timer_, e.at, [] { return fleet::Input(fleet::DrainInput{drain::TimerExpired{}}); });
}

}  // namespace fennellane
