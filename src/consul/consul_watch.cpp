#include "consul_watch.hpp"

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include "agent_client.hpp"
#include "clock.hpp"
#include "number.hpp"

namespace fennellane {
namespace {

using std::chrono::steady_clock;
constexpr std::uint64_t kMaxMilliseconds = 1000ull * 60 * 60 * 24;

}  // namespace

ConsulWatch::ConsulWatch(asio::io_context& io, const ConsulSettings& settings, std::uint32_t service,
                         const NamePositions& names, const Limits& limits, std::uint64_t seed,
                         QueryRateLimiter& rate_limiter, Counters& counters, Log& log, OnAnswer on_answer)
    : settings_(settings),
      service_(settings.services[service]),
      limits_(limits),
      rate_limiter_(rate_limiter),
      counters_(counters),
      log_(log),
      on_answer_(std::move(on_answer)),
      reader_(settings, service, names,
              {limits.max_consul_answer, limits.max_consul_host, limits.max_consul_hosts}),
      plan_(settings, seed, limits.backoff_min, limits.backoff_max),
      client_(io, settings.agent, limits, limits.max_consul_answer),
      sleep_timer_(io) {
  client_.enable_stray_reporting(counters.agent_strays, log);
}

void ConsulWatch::stop() {
  stopped_ = true;
  client_.close();
  sleep_timer_.cancel();
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
  const auto number = [&answer](std::string_view name, std::uint64_t max) -> std::uint64_t {
    const auto text = answer.header(name);
    return text ? parse_unsigned(*text, max).value_or(0) : 0;
  };
  head.index = number("x-consul-index", UINT64_MAX);
  const auto leader = answer.header("x-consul-knownleader");
  head.known_leader = !leader || *leader == "true";
  head.last_contact = std::chrono::milliseconds(number("x-consul-lastcontact", kMaxMilliseconds));
  head.retry_after = std::chrono::seconds(number("retry-after", kMaxMilliseconds / 1000));
  return head;
}

bool ConsulWatch::fail(std::string reason) {
  error_ = std::move(reason);
  plan_.on_failure();
  client_.close();
  return false;
}

asio::awaitable<void> ConsulWatch::sleep_for(Time span) {
  if (span <= Time(0) || stopped_) co_return;
  sleep_timer_.expires_after(span);
  asio::error_code cut_short;
  co_await sleep_timer_.async_wait(asio::redirect_error(asio::use_awaitable, cut_short));
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
    // One time limit for the whole answer, against a server that sends it byte by byte.
    const auto remaining = std::chrono::duration_cast<Time>(end - steady_clock::now());
    if (remaining <= Time(0)) co_return fail("the answer took too long");
    const bool ok = co_await client_.read(remaining);
    if (!ok) {
      ++counters_.consul_rejected;
      co_return fail("the answer is truncated, unreadable or took too long");
    }
  }
  co_return true;
}

asio::awaitable<bool> ConsulWatch::run_query() {
  const WatchQuery query = plan_.next_query();
  ++counters_.consul_queries;
  if (!client_.open()) {
    const bool connected = co_await client_.connect(limits_.agent_read_timeout);
    if (!connected) co_return fail("cannot connect to " + settings_.agent.text());
  }
  const bool sent = co_await client_.send(request(query), limits_.agent_read_timeout);
  if (!sent) co_return fail("the connection was closed");
  // An agent adds up to 1/16 to the requested wait.
  Time silence = limits_.agent_read_timeout;
  if (query.index > 0) silence += query.wait + query.wait / 16;
  bool ok = co_await client_.read(silence);
  const auto end = steady_clock::now() + settings_.answer_timeout;
  while (ok && !client_.answer().head_done()) {
    const auto remaining = std::chrono::duration_cast<Time>(end - steady_clock::now());
    ok = remaining > Time(0);
    if (ok) ok = co_await client_.read(remaining);
  }
  if (!ok) co_return fail("no valid answer");
  const WatchPlan::AnswerUse use = plan_.on_head(head());
  if (use == WatchPlan::AnswerUse::rejected || use == WatchPlan::AnswerUse::index_decreased) {
    error_ = plan_.error();
    client_.close();
    co_return false;
  }
  ServiceAnswer answer;
  const bool complete = co_await read_body(answer, end);
  if (!complete) co_return false;
  answer.leader_in_contact = use == WatchPlan::AnswerUse::usable;
  answer.from_leader = plan_.from_leader();
  ++counters_.consul_answers;
  plan_.on_answer_read();
  if (!stopped_ && on_answer_(answer)) plan_.query_again();
  co_return true;
}

// Logs an error when it changes and once when it ends, so that a long outage of the agent does not flood the
// log.
void ConsulWatch::log_error_change(const std::string& error) {
  if (error == logged_error_) return;
  if (error.empty()) {
    log_("consul", service_.name + ": answering again");
  } else {
    log_("consul", service_.name + ": " + error + "; keeping the last valid list");
  }
  logged_error_ = error;
}

asio::awaitable<void> ConsulWatch::run() {
  while (!stopped_) {
    co_await sleep_for(rate_limiter_.reserve(steady_now()) - steady_now());
    if (stopped_) break;
    error_.clear();
    const bool ok = co_await run_query();
    if (stopped_) break;
    if (!ok) ++counters_.consul_errors;
    log_error_change(ok ? std::string() : error_);
    if (ok && reader_.first_problem() != logged_problem_) {
      logged_problem_ = reader_.first_problem();
      if (!logged_problem_.empty()) {
        log_("consul", service_.name + ": " + std::to_string(reader_.unusable()) +
                           " unusable hosts, among them " + logged_problem_);
      }
    }
    if (!ok) co_await sleep_for(plan_.pause());
  }
  client_.close();
}

}  // namespace fennellane
