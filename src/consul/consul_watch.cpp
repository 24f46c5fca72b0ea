#include "consul_watch.hpp"

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include "agent_call.hpp"
#include "clock.hpp"
#include "number.hpp"

namespace fennellane {
namespace {

using std::chrono::steady_clock;
constexpr std::uint64_t kMostMs = 1000ull * 60 * 60 * 24;

}  // namespace

ConsulWatch::ConsulWatch(asio::io_context& io, const ConsulSettings& settings, std::uint32_t service,
                         const NamePositions& names, const Limits& limits, std::uint64_t seed,
                         QueryBudget& budget, Counters& counters, Log& log, OnAnswer on_answer)
    : settings_(settings),
      service_(settings.services[service]),
      limits_(limits),
      budget_(budget),
      counters_(counters),
      log_(log),
      on_answer_(std::move(on_answer)),
      reader_(settings, service, names, {limits.consul_answer, limits.consul_host, limits.consul_hosts}),
      plan_(settings, seed, limits.backoff_least, limits.backoff_most),
      client_(io, settings.agent, limits, limits.consul_answer),
      pause_(io) {
  client_.report_strays(counters.agent_strays, log);
}

void ConsulWatch::stop() {
  stopped_ = true;
  client_.close();
  pause_.cancel();
}

std::string ConsulWatch::request(const WatchQuery& query) const {
  std::string target = "/v1/health/service/" + service_.name + "?index=" + std::to_string(query.index) +
                       "&wait=" + std::to_string(query.wait.count() / 1000) + "ms";
  if (query.consistency == Consistency::stale) target += "&stale";
  if (query.consistency == Consistency::consistent) target += "&consistent";
  if (!settings_.datacenter.empty()) target += "&dc=" + settings_.datacenter;
  if (!service_.tag.empty()) target += "&tag=" + service_.tag;
  return agent_request(settings_, "GET", target);
}

AnswerHead ConsulWatch::head() const {
  const HttpReader& answer = client_.answer();
  AnswerHead head;
  head.status = answer.status();
  const auto number = [&answer](std::string_view name, std::uint64_t most) -> std::uint64_t {
    const auto text = answer.header(name);
    return text ? whole_number(*text, most).value_or(0) : 0;
  };
  head.index = number("x-consul-index", UINT64_MAX);
  const auto leader = answer.header("x-consul-knownleader");
  head.known_leader = !leader || *leader == "true";
  head.last_contact = std::chrono::milliseconds(number("x-consul-lastcontact", kMostMs));
  head.retry_after = std::chrono::seconds(number("retry-after", kMostMs / 1000));
  return head;
}

bool ConsulWatch::fail(std::string why) {
  trouble_ = std::move(why);
  plan_.failed();
  client_.close();
  return false;
}

asio::awaitable<void> ConsulWatch::rest(Time span) {
  if (span <= Time(0) || stopped_) co_return;
  pause_.expires_after(span);
  asio::error_code cut_short;
  co_await pause_.async_wait(asio::redirect_error(asio::use_awaitable, cut_short));
}

asio::awaitable<bool> ConsulWatch::read_body(ServiceAnswer& answer, steady_clock::time_point end) {
  reader_.begin();
  while (true) {
    try {
      reader_.feed(client_.answer().take_body());
      if (client_.answer().done()) {
        answer = reader_.finish();
        break;
      }
    } catch (const AnswerError& e) {
      ++counters_.consul_rejected;
      co_return fail(e.what());
    }
    // Guards against an answer that dribbles: all of it has one span of time.
    const auto left = std::chrono::duration_cast<Time>(end - steady_clock::now());
    if (left <= Time(0)) co_return fail("the answer takes too long");
    const bool good = co_await client_.read(left);
    if (!good) {
      ++counters_.consul_rejected;
      co_return fail("the answer ends early, or takes too long");
    }
  }
  co_return true;
}

asio::awaitable<bool> ConsulWatch::ask() {
  const WatchQuery query = plan_.next();
  ++counters_.consul_queries;
  if (!client_.open()) {
    const bool connected = co_await client_.connect(limits_.agent_answer);
    if (!connected) co_return fail("cannot connect to " + settings_.agent.text());
  }
  const bool sent = co_await client_.send(request(query), limits_.agent_answer);
  if (!sent) co_return fail("the connection has ended");
  // An agent adds up to a 16th to the time it was asked to wait.
  Time silence = limits_.agent_answer;
  if (query.index > 0) silence += query.wait + query.wait / 16;
  bool good = co_await client_.read(silence);
  const auto end = steady_clock::now() + settings_.answer;
  while (good && !client_.answer().head_done()) {
    const auto left = std::chrono::duration_cast<Time>(end - steady_clock::now());
    good = left > Time(0);
    if (good) good = co_await client_.read(left);
  }
  if (!good) co_return fail("no answer that can be read");
  const WatchPlan::Use use = plan_.head(head());
  if (use == WatchPlan::Use::refused || use == WatchPlan::Use::backwards) {
    trouble_ = plan_.trouble();
    client_.close();
    co_return false;
  }
  ServiceAnswer answer;
  const bool whole = co_await read_body(answer, end);
  if (!whole) co_return false;
  answer.leader = use == WatchPlan::Use::read;
  answer.fresh = plan_.fresh();
  ++counters_.consul_answers;
  plan_.taken();
  if (!stopped_ && on_answer_(answer)) plan_.confirm();
  co_return true;
}

// Once for each trouble, and once for its end: an agent that is down for an hour makes no hundred lines.
void ConsulWatch::say_trouble(const std::string& trouble) {
  if (trouble == said_) return;
  if (trouble.empty()) {
    log_("consul", service_.name + ": answers again");
  } else {
    log_("consul", service_.name + ": " + trouble + "; the last good list stays");
  }
  said_ = trouble;
}

asio::awaitable<void> ConsulWatch::run() {
  while (!stopped_) {
    co_await rest(budget_.take(steady_now()) - steady_now());
    if (stopped_) break;
    trouble_.clear();
    const bool good = co_await ask();
    if (stopped_) break;
    if (!good) ++counters_.consul_errors;
    say_trouble(good ? std::string() : trouble_);
    if (good && reader_.complaint() != complained_) {
      complained_ = reader_.complaint();
      if (!complained_.empty()) {
        log_("consul", service_.name + ": " + std::to_string(reader_.unusable()) +
                           " hosts cannot be used, among them " + complained_);
      }
    }
    if (!good) co_await rest(plan_.pause());
  }
  client_.close();
}

}  // namespace fennellane
