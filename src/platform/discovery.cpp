#include "discovery.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <utility>

#include "clock.hpp"
#include "seconds_text.hpp"
#include "snapshot.hpp"

namespace fennellane {

void JsonObjectAssembler::clear() { *this = {}; }

void JsonObjectAssembler::add(std::string_view line) {
  text_ += line;
  for (const char c : line) {
    if (std::exchange(escaped_, false)) continue;
    if (in_string_ && c == '\\') {
      escaped_ = true;
    } else if (c == '"') {
      in_string_ = !in_string_;
    } else if (!in_string_) {
      depth_ += c == '{' || c == '[';
      depth_ -= c == '}' || c == ']';
    }
  }
}

namespace {

constexpr unsigned kOk = 200;
constexpr int kLogDecimals = 2;  // of seconds

bool is_blank(std::string_view line) { return line.find_first_not_of(" \r\t") == std::string_view::npos; }

}  // namespace

// One connection with one request.
struct Discovery::Attempt {
  Attempt(AttemptId number, DiscoveryRequest wanted, asio::io_context& io, const Address& address,
          const Limits& limits)
      : id(number), request(wanted), client(io, address, limits, limits.max_discovery_line) {}

  const AttemptId id;
  const DiscoveryRequest request;
  HttpClient client;
  JsonObjectAssembler partial_object;  // the lines of an incomplete object, in a watch
  std::size_t lists_received = 0;
  bool abandoned = false;  // its input is not read any more
};

Discovery::Discovery(asio::io_context& io, const Config& config, const Address& address, Counters& counters,
                     Log& log, OnHostList on_list)
    : io_(io),
      config_(config),
      attempt_timeout_(config.discovery_timing().attempt_timeout),
      counters_(counters),
      log_(log),
      state_log_(log, "discovery", config.limits.discovery_log_interval),
      list_log_(log, "discovery", config.limits.discovery_log_interval),
      error_log_(log, "discovery", config.limits.discovery_log_interval),
      on_list_(std::move(on_list)),
      address_(address),
      plan_(config.discovery_timing(), config.seed),
      plan_timer_(io) {}

void Discovery::start() { execute(plan_.start(steady_now(), have_list_)); }

void Discovery::stop() {
  stopped_ = true;
  plan_timer_.cancel();
  for (const auto& [id, attempt] : attempts_) {
    attempt->abandoned = true;
    attempt->client.close();
  }
}

void Discovery::set_known_version(std::uint64_t version) {
  version_ = version;
  have_list_ = true;
}

void Discovery::redirect(const Address& address) {
  address_ = address;
  version_ = 0;
  have_list_ = false;
  execute(plan_.redirect(steady_now()));
}

std::string Discovery::save() const {
  return write_snapshot([this](SnapshotWriter& archive) { archive(address_, version_, have_list_); });
}
void Discovery::load(std::string_view bytes) {
  read_snapshot(bytes, "the watch", [this](SnapshotReader& archive) {
    Address address;
    std::uint64_t version = 0;
    bool have_list = false;
    archive(address, version, have_list);
    if (address != address_) return;
    version_ = version;
    have_list_ = have_list;
  });
}

// --- Effects of the plan
void Discovery::execute(const DiscoveryPlan::Effects& effects) {
  if (stopped_) return;
  for (const DiscoveryEffect& effect : effects) {
    std::visit([this](const auto& e) { execute(e); }, effect);
  }
  arm_plan_timer();
}

void Discovery::execute(const StartAttempt& start) {
  ++counters_.discovery_connects;
  const auto attempt = std::make_shared<Attempt>(start.id, start.request, io_, address_, config_.limits);
  attempt->client.enable_stray_reporting(counters_.agent_strays, log_);
  attempts_[start.id] = attempt;
  asio::co_spawn(
      io_, [self = shared_from_this(), attempt]() -> asio::awaitable<void> { co_await self->run(attempt); },
      rethrow);
}

void Discovery::execute(const CloseAttempt& close) {
  const auto it = attempts_.find(close.id);
  if (it == attempts_.end()) return;
  it->second->abandoned = true;
  it->second->client.close();
}

void Discovery::execute(const HearingLost& lost) {
  ++counters_.discovery_losses;
  state_log_(steady_now(), "not heard any more after " + seconds_text(lost.heard_for, kLogDecimals) + ": " +
                               std::string(attempt_end_text(lost.reason)));
}

void Discovery::execute(const HearingRegained& regained) {
  state_log_(steady_now(), "heard after " + seconds_text(regained.lost_for, kLogDecimals) + " and " +
                               std::to_string(regained.attempts) + " requests, from version " +
                               std::to_string(version_));
}

void Discovery::arm_plan_timer() {
  const Time at = plan_.next_timer(steady_now());
  if (at == Time::max()) return;
  plan_timer_.expires_at(to_time_point(at));
  plan_timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error && !self->stopped_) self->execute(self->plan_.on_timer(steady_now()));
  });
}

// --- Attempts
asio::awaitable<void> Discovery::run(AttemptPtr attempt) {
  const AttemptEnd end = co_await exchange(attempt);
  attempt->client.close();
  attempts_.erase(attempt->id);
  if (!attempt->abandoned) execute(plan_.on_ended(steady_now(), attempt->id, end));
}

asio::awaitable<AttemptEnd> Discovery::exchange(AttemptPtr attempt) {
  if (attempt->abandoned) co_return AttemptEnd::closed;
  const bool connected = co_await attempt->client.connect(attempt_timeout_);
  if (!connected || attempt->abandoned) co_return AttemptEnd::not_connected;
  const bool sent = co_await attempt->client.send(format_request(attempt->request), attempt_timeout_);
  if (!sent) co_return AttemptEnd::closed;
  if (attempt->request == DiscoveryRequest::watch) co_return co_await read_watch(attempt);
  co_return co_await read_list(attempt);
}

std::string Discovery::format_request(DiscoveryRequest request) const {
  const std::string target = request == DiscoveryRequest::full_list
                                 ? "/discovery/hosts"
                                 : "/discovery/hosts?watch=1&after=" + std::to_string(version_);
  return "GET " + target + " HTTP/1.1\r\nHost: " + address_.text() + "\r\n\r\n";
}

asio::awaitable<AttemptEnd> Discovery::read_list(AttemptPtr attempt) {
  HttpClient& client = attempt->client;
  while (!client.answer().done()) {
    const bool ok = co_await client.read(attempt_timeout_);
    if (!ok || attempt->abandoned) co_return AttemptEnd::closed;
    if (!client.answer().head_done()) continue;
    if (client.answer().status() != kOk) co_return AttemptEnd::rejected;
    execute(plan_.on_input(steady_now(), attempt->id));
  }
  const bool usable = process_list(*attempt, client.answer().take_body());
  co_return usable ? AttemptEnd::complete : AttemptEnd::unusable;
}

asio::awaitable<AttemptEnd> Discovery::read_watch(AttemptPtr attempt) {
  HttpClient& client = attempt->client;
  std::string text;
  while (!client.answer().done()) {
    const bool ok = co_await client.read(attempt_timeout_);
    if (!ok || attempt->abandoned) co_return AttemptEnd::closed;
    if (!client.answer().head_done()) continue;
    if (client.answer().status() != kOk) co_return AttemptEnd::rejected;
    execute(plan_.on_input(steady_now(), attempt->id));
    if (on_activity_ && !stopped_) on_activity_();
    text += client.answer().take_body();
    const bool usable = process_lines(*attempt, text);
    if (attempt->abandoned) co_return AttemptEnd::closed;
    if (!usable) co_return AttemptEnd::unusable;
    const bool inside_line = !text.empty() || !attempt->partial_object.text().empty();
    if (inside_line) execute(plan_.on_input(steady_now(), attempt->id));
  }
  co_return AttemptEnd::closed;
}

// Processes the complete lines of the text and leaves the rest of it.
bool Discovery::process_lines(Attempt& attempt, std::string& text) {
  std::size_t start = 0;
  for (std::size_t end; (end = text.find('\n', start)) != std::string::npos; start = end + 1) {
    if (!process_line(attempt, std::string_view(text).substr(start, end - start))) return false;
    if (attempt.abandoned) return true;
    if (attempt.partial_object.text().empty()) execute(plan_.on_line(steady_now(), attempt.id));
  }
  text.erase(0, start);
  return text.size() + attempt.partial_object.text().size() <= config_.limits.max_discovery_line;
}

// A pretty-printed object spans several lines. Half an object must not absorb those after it: a heartbeat, or
// a line that starts with an opening brace, cannot be part of it and makes it fail.
bool Discovery::process_line(Attempt& attempt, std::string_view line) {
  JsonObjectAssembler& object = attempt.partial_object;
  const bool inside_object = !object.text().empty();
  if (is_blank(line)) return !inside_object;
  if (inside_object && line.front() == '{') return false;
  object.add(line);
  if (!object.is_complete()) return true;
  const bool ok = process_list(attempt, object.text());
  object.clear();
  return ok;
}

// A line that is unreadable or out of order is logged and the connection dropped; the next watch delivers its
// content.
bool Discovery::process_list(Attempt& attempt, std::string_view json) {
  try {
    HostList list = parse_hosts(json, config_.boot);
    if (!list.full && !have_list_) throw ConfigError("received changes before a full list");
    // A repeated older line must not undo later ones. Only the first line of a watch may carry an older
    // version, and only as a full list, as from a discovery that was restarted.
    if (list.version < version_ && have_list_ && (attempt.lists_received > 0 || !list.full)) {
      throw ConfigError("received version " + std::to_string(list.version) + " after version " +
                        std::to_string(version_));
    }
    ++attempt.lists_received;
    version_ = list.version;
    have_list_ = true;
    ++counters_.host_lists;
    log_list(list);
    if (!stopped_) on_list_(std::move(list), false);
    return true;
  } catch (const ConfigError& e) {
    error_log_(steady_now(), e.what());
    return false;
  }
}

void Discovery::log_list(const HostList& list) {
  const auto count = [&list](starlinghook::Condition condition) {
    return std::to_string(
        std::count_if(list.hosts.begin(), list.hosts.end(),
                      [condition](const HostEntry& host) { return host.condition == condition; }));
  };
  list_log_(steady_now(), std::string(list.full ? "list" : "changes") + " of version " +
                              std::to_string(list.version) + ": " + count(starlinghook::Condition::ready) +
                              " ready, " + count(starlinghook::Condition::draining) + " draining, " +
                              count(starlinghook::Condition::gone) + " gone");
}

}  // namespace fennellane
