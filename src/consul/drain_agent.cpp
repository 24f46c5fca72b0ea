#include "drain_agent.hpp"

#include "consul_json.hpp"
#include "fleet_values.hpp"

namespace fennellane {

DrainAgent::DrainAgent(asio::io_context& io, const ConsulSettings& consul, const FleetSettings& settings,
                       const Limits& limits, Counters& counters, Log& log, Tell tell)
    : FleetTasks(io, std::move(tell)),
      consul_(consul),
      settings_(settings),
      limits_(limits),
      counters_(counters),
      log_(log),
      calls_(io, consul, limits, limits.fleet_answer, limits.fleet_value),
      due_(io) {
  calls_.report_strays(counters.agent_strays, log);
}

void DrainAgent::carry(const drain::Effect& effect) {
  std::visit([this](const auto& e) { on(e); }, effect);
}

void DrainAgent::on(const drain::MakeSession& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    const drain::SlotSettings& slot = settings_.drain->slot;
    const Time sent = steady_now();
    // Its contender key goes with it, so that nothing is left of those that came and went. It needs no
    // lock-delay: nobody else ever wants that key.
    const std::string body = session_json(slot.relay + " slot", "delete", e.ttl, Time(0));
    const std::string id = co_await create_session(calls_, body, slot.call);
    if (id.empty()) {
      hear(drain::CallFailed{});
      co_return;
    }
    const AgentAnswer contends = co_await calls_.ask(
        "PUT", "/v1/kv/" + budget_prefix(settings_) + id + "?acquire=" + id, slot.relay, slot.call);
    if (contends.status == 200 && contends.body.starts_with("true")) {
      hear(drain::SessionMade{id, sent});
    } else {
      co_await destroy_session(calls_, id, slot.call);
      hear(drain::CallFailed{});
    }
  });
}

void DrainAgent::on(const drain::Renew& e) {
  spawn([this, session = e.session]() -> asio::awaitable<void> {
    const Time sent = steady_now();
    const std::optional<bool> alive = co_await renew_session(calls_, session, settings_.drain->slot.call);
    if (alive) {
      hear(drain::RenewAnswer{*alive, sent});
    } else {
      hear(drain::CallFailed{});
    }
  });
}

void DrainAgent::on(const drain::WatchBudget& e) {
  if (watch_) std::exchange(watch_, nullptr)->stop();
  if (!e.on) return;
  const auto take = [this](const AgentAnswer& answer, bool) {
    drain::BudgetSeen seen;
    if (answer.status == 200 && !read_semaphore(answer.body, budget_prefix(settings_), seen)) return false;
    hear(std::move(seen));
    return true;
  };
  watch_ =
      std::make_shared<KeyWatch>(io_, consul_, limits_, counters_, log_, budget_prefix(settings_),
                                 KeyWatch::What::below, settings_.drain->slot.call, settings_.wait, take);
  watch_->start();
}

void DrainAgent::on(const drain::ReadCensus&) {
  spawn([this]() -> asio::awaitable<void> {
    const std::string& service = settings_.drain->service;
    const AgentAnswer answer = co_await calls_.ask("GET", "/v1/health/service/" + service + "?consistent", "",
                                                   settings_.drain->slot.call);
    drain::CensusRead read;
    read.good = answer.status == 200 && read_census(answer.body, service, read.census);
    hear(std::move(read));
  });
}

void DrainAgent::on(const drain::TakeSlot& e) {
  spawn([this, e]() -> asio::awaitable<void> {
    Json::Value operations(Json::arrayValue);
    operations.append(fence(budget_prefix(settings_) + e.session, e.session));
    operations.append(set_key_as_read(budget_key(settings_), e.index, budget_json(e.next)));
    const AgentAnswer answer =
        co_await calls_.ask("PUT", "/v1/txn", json_text(operations), settings_.drain->slot.call);
    const lease::Written how = written(answer);
    if (how == lease::Written::failed) {
      hear(drain::CallFailed{});
    } else {
      hear(drain::SlotAnswer{how == lease::Written::taken});
    }
  });
}

void DrainAgent::on(const drain::EndSession& e) {
  spawn([this, session = e.session]() -> asio::awaitable<void> {
    const bool ended = co_await destroy_session(calls_, session, settings_.drain->slot.call);
    if (ended) {
      hear(drain::Done{});
    } else {
      hear(drain::CallFailed{});
    }
  });
}

void DrainAgent::on(const drain::SetTimer& e) {
  set(due_, e.at, [] { return fleet::Input(fleet::DrainHeard{drain::TimeDue{}}); });
}

}  // namespace fennellane
