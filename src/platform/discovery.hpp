// Keeps the cluster's list: the whole of it once, then a watch, taken up again whenever it ends.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cluster_source.hpp"
#include "config.hpp"
#include "counters.hpp"
#include "http_client.hpp"
#include "log.hpp"
#include "retry_backoff.hpp"

namespace fennellane {

// The text of one JSON object, line by line; each byte is looked at once.
class JsonObjectAssembler {
 public:
  void clear();
  void add(std::string_view line);
  // As many brackets have closed as opened, those in strings aside. True of a text that is no JSON at all,
  // which the parser refuses then.
  bool is_complete() const { return depth_ <= 0 && !in_string_; }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
  int depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;  // the next character, in a string
};

class Discovery : public ClusterSource, public std::enable_shared_from_this<Discovery> {
 public:
  Discovery(asio::io_context& io, const Config& config, const Address& address, Counters& counters, Log& log,
            OnHostList on_list);
  void start() override;
  void stop() override;
  // This relay has the whole list of that version, from an earlier life: the watch begins there, and the list
  // is not asked for. Before `start`.
  void set_known_version(std::uint64_t version);
  // Called whenever the watch has brought something, be it an empty line. Before `start`.
  void on_activity(std::function<void()> heard) { on_activity_ = std::move(heard); }
  // Discovery is at another address now: its versions are of its own, so the whole list is fetched anew. The
  // list that is held stands until then.
  void redirect(const Address& address);
  // Where the watch stands, for another process, which takes it up there. Of another address it is of no use.
  std::string save() const;
  void load(std::string_view bytes);  // before `start`; throws starlinghook::MemoryError

 private:
  asio::awaitable<void> run();
  asio::awaitable<bool> fetch_list();
  asio::awaitable<bool> watch_changes();
  bool process_line(std::string_view line);
  bool process_list(std::string_view json);
  std::string format_request(const std::string& target) const;

  asio::io_context& io_;
  const Config& config_;
  Counters& counters_;
  Log& log_;
  OnHostList on_list_;
  std::function<void()> on_activity_;  // may be none
  Address address_;
  HttpClient client_;
  asio::steady_timer retry_timer_;  // between two connections
  RetryBackoff retry_;
  JsonObjectAssembler partial_object_;  // of a watch, the lines of one that is not whole yet
  std::uint64_t version_ = 0;
  std::size_t lists_received_ = 0;  // of the present watch that were taken
  bool have_list_ = false;
  bool stopped_ = false;
  bool redirected_ = false;  // since the newest connection began
};

}  // namespace fennellane
