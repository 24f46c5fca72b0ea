#include "discovery.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <utility>

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

bool is_blank(std::string_view line) { return line.find_first_not_of(" \r\t") == std::string_view::npos; }

}  // namespace

// A pretty-printed object spans several lines. Half an object must not absorb those after it: a heartbeat, or
// a line that starts with an opening brace, cannot be part of it and makes it fail.
bool Discovery::process_line(std::string_view line) {
  const bool inside_object = !partial_object_.text().empty();
  if (is_blank(line)) return !inside_object;
  if (inside_object && line.front() == '{') return false;
  partial_object_.add(line);
  if (!partial_object_.is_complete()) return true;
  const bool ok = process_list(partial_object_.text());
  partial_object_.clear();
  return ok;
}

Discovery::Discovery(asio::io_context& io, const Config& config, const Address& address, Counters& counters,
                     Log& log, OnHostList on_list)
    : io_(io),
      config_(config),
      counters_(counters),
      log_(log),
      on_list_(std::move(on_list)),
      address_(address),
      client_(io, address_, config.limits, config.limits.max_discovery_line),
      retry_timer_(io),
      retry_(config.limits.discovery_backoff_min, config.limits.discovery_backoff_max, config.seed) {
  client_.enable_stray_reporting(counters.agent_strays, log);
}

void Discovery::start() {
  asio::co_spawn(
      io_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->run(); }, rethrow);
}

void Discovery::stop() {
  stopped_ = true;
  client_.close();
  retry_timer_.cancel();
}

void Discovery::set_known_version(std::uint64_t version) {
  version_ = version;
  have_list_ = true;
}

void Discovery::redirect(const Address& address) {
  address_ = address;
  version_ = 0;
  have_list_ = false;
  redirected_ = true;
  retry_.reset();  // the back-off caused by the old address does not apply to the new one
  client_.redirect(address);
  retry_timer_.cancel();
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

std::string Discovery::format_request(const std::string& target) const {
  return "GET " + target + " HTTP/1.1\r\nHost: " + address_.text() + "\r\n\r\n";
}

// A line that is unreadable or out of order is logged and the connection dropped; the next watch delivers its
// content.
bool Discovery::process_list(std::string_view json) {
  try {
    HostList list = parse_hosts(json, config_.boot);
    if (!list.full && !have_list_) throw ConfigError("received changes before a full list");
    // A repeated older line must not undo later ones. Only the first line of a watch may carry an older
    // version, and only as a full list, as from a discovery that was restarted.
    if (list.version < version_ && have_list_ && (lists_received_ > 0 || !list.full)) {
      throw ConfigError("received version " + std::to_string(list.version) + " after version " +
                        std::to_string(version_));
    }
    ++lists_received_;
    version_ = list.version;
    have_list_ = true;
    ++counters_.host_lists;
    if (!stopped_) on_list_(std::move(list), false);
    return true;
  } catch (const ConfigError& e) {
    log_("discovery", e.what());
    return false;
  }
}

asio::awaitable<bool> Discovery::fetch_list() {
  const Limits& limits = config_.limits;
  const bool sent =
      co_await client_.send(format_request("/discovery/hosts"), limits.discovery_answer_timeout);
  if (!sent) co_return false;
  const bool answered =
      co_await client_.read_answer(limits.discovery_answer_timeout, limits.discovery_list_timeout);
  if (!answered) co_return false;
  if (client_.answer().status() != 200) co_return false;
  lists_received_ = 0;
  co_return process_list(client_.answer().take_body());
}

asio::awaitable<bool> Discovery::watch_changes() {
  const Limits& limits = config_.limits;
  const std::string target = "/discovery/hosts?watch=1&after=" + std::to_string(version_);
  const bool sent = co_await client_.send(format_request(target), limits.discovery_answer_timeout);
  if (!sent) co_return false;
  std::string text;
  partial_object_.clear();
  lists_received_ = 0;
  bool received_line = false;
  while (!client_.answer().done()) {
    // The start of the answer is expected at once; the connection is dropped otherwise.
    const bool head_received = client_.answer().head_done();
    const bool ok = co_await client_.read(head_received ? limits.discovery_silence_timeout
                                                        : limits.discovery_answer_timeout);
    if (!ok) co_return received_line;
    if (client_.answer().head_done() && client_.answer().status() != 200) co_return false;
    if (client_.answer().head_done() && on_activity_ && !stopped_) on_activity_();
    text += client_.answer().take_body();
    std::size_t start = 0;
    for (std::size_t end; (end = text.find('\n', start)) != std::string::npos; start = end + 1) {
      const std::string_view line = std::string_view(text).substr(start, end - start);
      if (!process_line(line)) co_return false;
      received_line = received_line || !is_blank(line);
    }
    text.erase(0, start);
    if (text.size() + partial_object_.text().size() > limits.max_discovery_line) co_return false;
  }
  co_return received_line;
}

asio::awaitable<void> Discovery::run() {
  const Limits& limits = config_.limits;
  while (!stopped_) {
    ++counters_.discovery_connects;
    redirected_ = false;
    bool ok = co_await client_.connect(limits.discovery_connect_timeout);
    if (ok && !have_list_) {
      ok = co_await fetch_list();
      if (ok && !client_.open()) ok = co_await client_.connect(limits.discovery_connect_timeout);
    }
    if (ok) ok = co_await watch_changes();
    client_.close();
    if (stopped_) break;
    if (ok) retry_.reset();
    if (redirected_) continue;
    retry_timer_.expires_after(retry_.next_delay());
    asio::error_code ignored;
    co_await retry_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace fennellane
