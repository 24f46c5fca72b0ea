// A reducer with one host and a clock that tests move, for tests of its effects.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "net_fixture.hpp"
#include "reducer.hpp"

namespace fennellane::test {

using starlinghook::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kNote = 0, kPay = 1;

class ReducerFixture : public testing::Test {
 protected:
  explicit ReducerFixture(int max_open = 50)
      : config(parse_config(config_json({.known = {}, .max_open = max_open}))),
        reducer(config.boot.settings, config.limits, 1, counters) {
    handle(Started{});
    set_hosts({{"s-1", "127.0.0.1:9"}});
  }
  const std::vector<Effect>& handle(const Input& input) {
    effects = reducer.reduce(now, input);
    for (const Effect& e : effects) {
      if (const auto* t = std::get_if<SetTimer>(&e)) timer = t->at;
      if (const auto* c = std::get_if<StartCall>(&e)) call = *c;
    }
    return effects;
  }
  void set_hosts(const std::vector<HostLine>& hosts, bool full = true) {
    handle(ClusterChanged{parse_hosts(list_json(hosts, 1, full), config.boot), false});
  }
  MessageSubmitted make_message(const std::string& id, std::uint32_t message_class = kNote) const {
    MessageSubmitted o;
    o.request = 77;
    o.id = id;
    o.message_class = message_class;
    o.destination = 7;
    o.time_left = seconds(20);
    o.body = std::make_shared<const std::string>("body");
    return o;
  }
  void end_call(Outcome outcome, Time retry_after = Time(0), bool over = false) {
    now += milliseconds(20);
    handle(CallEnded{call.stream, call.attempt, outcome, over, retry_after, false, {}, false, Time(0)});
  }
  void advance(Time span) {  // runs the timers that expire on the way
    const Time until = now + span;
    std::vector<Effect> all;
    while (timer <= until) {
      now = std::max(now, timer);
      timer = Time::max();
      handle(TimerExpired{});
      all.insert(all.end(), effects.begin(), effects.end());
    }
    now = until;
    effects = std::move(all);
  }
  // Replaces the reducer by one that loads its state, as a process that takes over does.
  void hand_over(const Reducer::BodyLookup& body_of) {
    const std::string saved = reducer.save();
    std::destroy_at(&reducer);
    std::construct_at(&reducer, config.boot.settings, config.limits, StreamId{1}, counters);
    reducer.load(config.boot.settings, saved, body_of);
  }
  template <class E>
  std::size_t count() const {
    std::size_t n = 0;
    for (const Effect& e : effects) n += std::holds_alternative<E>(e) ? 1 : 0;
    return n;
  }
  template <class E>
  const E& first_effect() const {
    for (const Effect& e : effects) {
      if (const E* found = std::get_if<E>(&e)) return *found;
    }
    throw std::runtime_error("no such effect");
  }
  template <class E>
  std::size_t index_of() const {
    for (std::size_t i = 0; i < effects.size(); ++i) {
      if (std::holds_alternative<E>(effects[i])) return i;
    }
    return effects.size();
  }

  Config config;
  Counters counters;
  Reducer reducer;
  Time now = seconds(100);
  Time timer = Time::max();
  std::vector<Effect> effects;
  StartCall call;
};

}  // namespace fennellane::test
