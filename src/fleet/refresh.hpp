// The shared host list: one relay watches the platform's discovery on behalf of the fleet, and the others
// read the list from Consul's KV store as long as it is fresh. Pure state machine: performs no I/O and reads
// no clock. See docs/ownership.md.
//
// The holder of the role writes two keys in one fenced transaction: the list, and a small heartbeat with the
// list's version. It writes heartbeats only while its own watch of discovery is alive, so an advancing
// heartbeat means that the list is current. A relay that sees no new heartbeat for `stale_after` watches
// discovery directly: in the worst case every relay behaves as if there were no shared list.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "lease.hpp"
#include "write_result.hpp"

namespace fennellane::fleet {

using lease::Time;
using lease::Token;

struct RefreshSettings {
  Time heartbeat = std::chrono::seconds(2);            // the interval of discovery's own heartbeats
  Time stale_after = std::chrono::milliseconds(4500);  // since the newest heartbeat
  Time discovery_timeout = std::chrono::seconds(15);   // a holder without an answer then gives the role up
  Time fallback_spread = std::chrono::seconds(2);      // falling back to discovery is spread over this time
  bool operator==(const RefreshSettings&) const = default;
};

// Header of the stored list, and the entire value of the heartbeat key.
struct SharedHead {
  Token token = 0;  // of the holder that wrote it
  std::uint64_t heartbeat = 0, version = 0;
  std::string source;  // discovery's address: versions of different sources are not comparable
  bool operator==(const SharedHead&) const = default;
};

// --- Inputs
struct DiscoveredList {  // a change from this relay's own watch of discovery; the full list as text
  std::uint64_t version = 0;
  std::string text;
};
struct RefreshStarted {  // the list comes from the platform; also after discovery's address changed
  std::string source;
  std::optional<DiscoveredList> known;  // the list known from the previous process
  bool discovery_moved = false;         // another address, whose versions are not comparable
};
struct RefreshPaused {};           // the list comes from another source now
struct DiscoveryAnswered {};       // this relay's own watch of discovery is alive
struct HeartbeatRead {             // result of the blocking read of the heartbeat
  std::optional<SharedHead> head;  // none: the key does not exist
  bool index_reset = false;        // Consul's index has decreased
};
struct SharedListRead {  // the answer to ReadSharedList
  bool ok = false;
  SharedHead head;
  std::string text;
};
struct Published {  // the answer to Publish
  Token token = 0;
  using Result = lease::WriteResult;
  Result result{};
};
struct RefreshTimerExpired {};
using RefreshInput = std::variant<RefreshStarted, RefreshPaused, DiscoveryAnswered, DiscoveredList,
                                  HeartbeatRead, SharedListRead, Published, RefreshTimerExpired>;

// --- Effects
struct StartDiscoveryWatch {  // watch discovery, from the known version on if there is one
  std::optional<std::uint64_t> from_version;
};
struct StopDiscoveryWatch {};
struct ReadSharedList {};
struct Publish {
  std::string session;
  SharedHead head;
  std::optional<std::string> text;  // none: only the heartbeat
};
struct ApplyList {
  std::string text;
  bool cached = false;  // possibly outdated
};
struct SetRefreshTimer {  // replaces the previous timer
  Time at{};
};
struct StepDown {};  // resign the role: this relay cannot fulfil it
struct RefreshLogMessage {
  std::string text;
};
using RefreshEffect = std::variant<StartDiscoveryWatch, StopDiscoveryWatch, ReadSharedList, Publish,
                                   ApplyList, SetRefreshTimer, StepDown, RefreshLogMessage>;

class Refresh {
 public:
  Refresh(const RefreshSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  using Effects = std::vector<RefreshEffect>;
  Effects handle(Time now, const RefreshInput& input);
  // The lease of the role has become active or inactive.
  Effects activate(Time now, Token token, const std::string& session);
  Effects deactivate(Time now);

  bool follows_shared_list() const { return running_ && !watching_discovery_; }

 private:
  void on(Time now, const RefreshStarted& started, Effects& out);
  void on(Time now, const RefreshPaused&, Effects& out);
  void on(Time now, const DiscoveryAnswered&, Effects& out);
  void on(Time now, const DiscoveredList& list, Effects& out);
  void on(Time now, const HeartbeatRead& read, Effects& out);
  void on(Time now, const SharedListRead& read, Effects& out);
  void on(Time now, const Published& published, Effects& out);
  void on(Time now, const RefreshTimerExpired&, Effects& out);
  void start_discovery_watch(Effects& out);
  void publish(Time now, bool with_list, Effects& out);
  void follow_shared_list(Effects& out);
  void confirm_list(Effects& out);
  void postpone_fallback(Time now, Time stale_after);
  void set_timer(Time now, Effects& out);
  bool discovery_alive(Time now) const {
    return watching_discovery_ && discovery_answered_at_ &&
           now - *discovery_answered_at_ < settings_.stale_after;
  }
  bool shared_list_fresh(Time now) const { return heartbeat_advanced_ && now < fallback_at_; }

  const RefreshSettings settings_;
  std::mt19937_64 random_;
  bool running_ = false;
  std::string source_;
  // The own watch of discovery.
  bool watching_discovery_ = false;
  std::optional<Time> discovery_answered_at_;  // since the watch was started
  std::optional<std::uint64_t> version_;       // of the list in use, own or shared
  std::string text_;                           // the full list, if there is a version
  // State of the shared list.
  Token highest_token_ = 0;  // a lower one belongs to a former holder
  std::optional<SharedHead> newest_head_;
  bool heartbeat_advanced_ = false;  // a heartbeat newer than the first one was seen
  Time fallback_at_{};               // the own watch starts then unless a new heartbeat is seen
  bool reading_list_ = false;
  bool applied_as_cached_ = false;  // the list in use may be outdated
  // As the holder.
  std::optional<Token> token_;
  std::string session_;
  Time discovery_ok_at_{};  // when discovery last answered, or when the lease became active
  std::uint64_t heartbeat_count_ = 0;
  Time next_heartbeat_at_{};
  bool publishing_ = false;
  bool unpublished_ = false;  // the list in use is not known to be stored
};

}  // namespace fennellane::fleet
