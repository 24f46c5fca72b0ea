// Keeps the cluster's host list up to date: fetches the full list once, then watches for changes.
// DiscoveryPlan decides when it connects and which connections it keeps.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cluster_source.hpp"
#include "config.hpp"
#include "counters.hpp"
#include "discovery_plan.hpp"
#include "http_client.hpp"
#include "log.hpp"
#include "rate_limited_log.hpp"

namespace fennellane {

// Assembles the text of one JSON object line by line; each byte is scanned once.
class JsonObjectAssembler {
 public:
  void clear();
  void add(std::string_view line);
  // Whether all brackets outside strings are closed. Also true for text that is not JSON at all; the parser
  // then rejects it.
  bool is_complete() const { return depth_ <= 0 && !in_string_; }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
  int depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;  // the next character in a string is escaped
};

class Discovery : public ClusterSource, public std::enable_shared_from_this<Discovery> {
 public:
  Discovery(asio::io_context& io, const Config& config, const Address& address, Counters& counters, Log& log,
            OnHostList on_list);
  void start() override;
  void stop() override;
  // The relay already has the full list of this version, from a previous process: the watch starts there and
  // the list is not fetched. Call before `start`.
  void set_known_version(std::uint64_t version);
  // Sets a callback for any input from the watch, including empty lines. Call before `start`.
  void on_activity(std::function<void()> callback) { on_activity_ = std::move(callback); }
  // Switches to a discovery at another address. Its versions are unrelated, so the full list is fetched
  // again; the present list remains valid until then.
  void redirect(const Address& address);
  // Serializes the position of the watch, for handover to another process, which continues there. Ignored if
  // the address differs.
  std::string save() const;
  void load(std::string_view bytes);  // before `start`; throws starlinghook::SnapshotError

 private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  void execute(const DiscoveryPlan::Effects& effects);
  void execute(const StartAttempt& start);
  void execute(const CloseAttempt& close);
  void execute(const HearingLost& lost);
  void execute(const HearingRegained& regained);
  void arm_plan_timer();
  asio::awaitable<void> run(AttemptPtr attempt);
  asio::awaitable<AttemptEnd> exchange(AttemptPtr attempt);
  asio::awaitable<AttemptEnd> read_list(AttemptPtr attempt);
  asio::awaitable<AttemptEnd> read_watch(AttemptPtr attempt);
  bool process_lines(Attempt& attempt, std::string& text);
  bool process_line(Attempt& attempt, std::string_view line);
  bool process_list(Attempt& attempt, std::string_view json);
  void log_list(const HostList& list);
  std::string format_request(DiscoveryRequest request) const;

  asio::io_context& io_;
  const Config& config_;
  const Time attempt_timeout_;
  Counters& counters_;
  Log& log_;
  RateLimitedLog state_log_, list_log_, error_log_;
  OnHostList on_list_;
  std::function<void()> on_activity_;  // may be empty
  Address address_;
  DiscoveryPlan plan_;
  asio::steady_timer plan_timer_;
  std::map<AttemptId, AttemptPtr> attempts_;
  std::uint64_t version_ = 0;
  bool have_list_ = false;
  bool stopped_ = false;
};

}  // namespace fennellane
