// The shared list: one relay watches the platform's discovery on behalf of all, and the others take the list
// from Consul's store as long as it is fresh. Decisions only, without input, output or clock. See
// docs/ownership.md.
//
// The holder of the role writes two keys in one fenced transaction: the list, and a small beat that names its
// version. It beats only while its own watch of discovery is alive; so a beat that grows says that the list
// is as discovery has it. Who hears no new beat for `stale` watches discovery itself, as if there were no
// role: at the worst each relay is where it would be without this.
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
  Time heartbeat = std::chrono::seconds(2);            // between two beats, as between discovery's own
  Time stale_after = std::chrono::milliseconds(4500);  // without a new beat
  Time discovery_timeout =
      std::chrono::seconds(15);  // a holder that cannot hear discovery for so long gives the role up
  Time fallback_spread = std::chrono::seconds(2);  // those who go back to discovery do so over this span
  bool operator==(const RefreshSettings&) const = default;
};

// What stands beside the list, and alone in the beat.
struct SharedHead {
  Token token = 0;  // of the holder that wrote it
  std::uint64_t heartbeat = 0, version = 0;
  std::string source;  // discovery's address: versions of another are not comparable
  bool operator==(const SharedHead&) const = default;
};

// --- Inputs
struct DiscoveredList {  // its own watch of discovery has told something; the whole list as it stands then,
                         // as text
  std::uint64_t version = 0;
  std::string text;
};
struct RefreshStarted {  // the list comes from the platform; also when discovery has moved
  std::string source;
  std::optional<DiscoveredList> known;  // the list that it begins with, of an earlier life
  bool discovery_moved = false;         // discovery is elsewhere now, and its versions are of its own
};
struct RefreshPaused {};           // it comes from elsewhere now
struct DiscoveryAnswered {};       // this relay's own watch of discovery is alive
struct HeartbeatRead {             // from the blocking read of the beat
  std::optional<SharedHead> head;  // none: there is no such key
  bool index_reset = false;        // Consul's index went backwards
};
struct SharedListRead {  // the answer to ReadList
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
struct StartDiscoveryWatch {  // watch discovery, from this version on where one is known
  std::optional<std::uint64_t> from_version;
};
struct StopDiscoveryWatch {};
struct ReadSharedList {};
struct Publish {
  std::string session;
  SharedHead head;
  std::optional<std::string> text;  // none: only the beat
};
struct ApplyList {
  std::string text;
  bool cached = false;  // maybe old
};
struct SetRefreshTimer {  // replaces the one before
  Time at{};
};
struct StepDown {};  // the role is of no use here
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
  // The role: `lease` holds and may act, or no more.
  Effects activate(Time now, Token token, const std::string& session);
  Effects deactivate(Time now);

  bool follows_shared_list() const { return running_ && !watching_discovery_; }

 private:
  void on(Time now, const RefreshStarted& begin, Effects& out);
  void on(Time now, const RefreshPaused&, Effects& out);
  void on(Time now, const DiscoveryAnswered&, Effects& out);
  void on(Time now, const DiscoveredList& list, Effects& out);
  void on(Time now, const HeartbeatRead& seen, Effects& out);
  void on(Time now, const SharedListRead& seen, Effects& out);
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
  // Its own watch.
  bool watching_discovery_ = false;
  std::optional<Time> discovery_answered_at_;  // since it began
  std::optional<std::uint64_t> version_;       // of the list that this relay holds, own or shared
  std::string text_;                           // that whole list, where there is a version
  // What is shared.
  Token highest_token_ = 0;  // the highest seen: a lower one is an old holder's
  std::optional<SharedHead> newest_head_;
  bool heartbeat_advanced_ = false;  // a beat has been followed by a newer one
  Time fallback_at_{};               // without news until then, its own watch begins
  bool reading_list_ = false;
  bool applied_as_cached_ = false;  // the list was handed on as maybe old
  // As the holder.
  std::optional<Token> token_;
  std::string session_;
  Time discovery_ok_at_{};  // as the holder: when it last heard discovery, or began
  std::uint64_t heartbeat_count_ = 0;
  Time next_heartbeat_at_{};
  bool publishing_ = false;
  bool unpublished_ = false;  // a list that has not been taken yet
};

}  // namespace fennellane::fleet
