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
#include "written.hpp"

namespace fennellane::fleet {

using lease::Time;
using lease::Token;

struct RefreshSettings {
  Time beat = std::chrono::seconds(2);           // between two beats, as between discovery's own
  Time stale = std::chrono::milliseconds(4500);  // without a new beat
  Time patience =
      std::chrono::seconds(15);           // a holder that cannot hear discovery for so long gives the role up
  Time spread = std::chrono::seconds(2);  // those who go back to discovery do so over this span
  bool operator==(const RefreshSettings&) const = default;
};

// What stands beside the list, and alone in the beat.
struct SharedHead {
  Token token = 0;  // of the holder that wrote it
  std::uint64_t beat = 0, version = 0;
  std::string source;  // discovery's address: versions of another are not comparable
  bool operator==(const SharedHead&) const = default;
};

// --- Inputs
struct OwnList {  // its own watch of discovery has told something; the whole list as it stands then, as text
  std::uint64_t version = 0;
  std::string text;
};
struct RefreshBegin {  // the list comes from the platform; also when discovery has moved
  std::string source;
  std::optional<OwnList> known;  // the list that it begins with, of an earlier life
  bool moved = false;            // discovery is elsewhere now, and its versions are of its own
};
struct RefreshPause {};            // it comes from elsewhere now
struct OwnHeard {};                // this relay's own watch of discovery is alive
struct BeatSeen {                  // from the blocking read of the beat
  std::optional<SharedHead> beat;  // none: there is no such key
  bool afresh = false;             // Consul's index went backwards
};
struct ListSeen {  // the answer to ReadList
  bool good = false;
  SharedHead head;
  std::string text;
};
struct Published {  // the answer to Publish
  Token token = 0;
  using How = lease::Written;
  How how{};
};
struct RefreshDue {};
using RefreshInput =
    std::variant<RefreshBegin, RefreshPause, OwnHeard, OwnList, BeatSeen, ListSeen, Published, RefreshDue>;

// --- Effects
struct StartOwn {  // watch discovery, from this version on where one is known
  std::optional<std::uint64_t> known;
};
struct StopOwn {};
struct ReadList {};
struct Publish {
  std::string session;
  SharedHead head;
  std::optional<std::string> text;  // none: only the beat
};
struct TakeList {
  std::string text;
  bool cached = false;  // maybe old
};
struct SetRefreshTimer {  // replaces the one before
  Time at{};
};
struct StepDown {};  // the role is of no use here
struct RefreshSaid {
  std::string text;
};
using RefreshEffect =
    std::variant<StartOwn, StopOwn, ReadList, Publish, TakeList, SetRefreshTimer, StepDown, RefreshSaid>;

class Refresh {
 public:
  Refresh(const RefreshSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  using Effects = std::vector<RefreshEffect>;
  Effects handle(Time now, const RefreshInput& input);
  // The role: `lease` holds and may act, or no more.
  Effects acts(Time now, Token token, const std::string& session);
  Effects stops(Time now);

  bool follows() const { return running_ && !own_; }

 private:
  void on(Time now, const RefreshBegin& begin, Effects& out);
  void on(Time now, const RefreshPause&, Effects& out);
  void on(Time now, const OwnHeard&, Effects& out);
  void on(Time now, const OwnList& list, Effects& out);
  void on(Time now, const BeatSeen& seen, Effects& out);
  void on(Time now, const ListSeen& seen, Effects& out);
  void on(Time now, const Published& published, Effects& out);
  void on(Time now, const RefreshDue&, Effects& out);
  void start_own(Effects& out);
  void publish(Time now, bool with_list, Effects& out);
  void follow(Effects& out);
  void confirm(Effects& out);
  void news(Time now, Time stale_after);
  void arm(Time now, Effects& out);
  bool alive(Time now) const { return own_ && heard_at_ && now - *heard_at_ < settings_.stale; }
  bool fresh(Time now) const { return news_any_ && now < fallback_at_; }

  const RefreshSettings settings_;
  std::mt19937_64 random_;
  bool running_ = false;
  std::string source_;
  // Its own watch.
  bool own_ = false;
  std::optional<Time> heard_at_;          // since it began
  std::optional<std::uint64_t> version_;  // of the list that this relay holds, own or shared
  std::string text_;                      // that whole list, where there is a version
  // What is shared.
  Token top_ = 0;  // the highest seen: a lower one is an old holder's
  std::optional<SharedHead> beat_;
  bool news_any_ = false;  // a beat has been followed by a newer one
  Time fallback_at_{};     // without news until then, its own watch begins
  bool reading_ = false;
  bool doubted_ = false;  // the list was handed on as maybe old
  // As the holder.
  std::optional<Token> token_;
  std::string session_;
  Time useful_at_{};  // as the holder: when it last heard discovery, or began
  std::uint64_t beats_ = 0;
  Time next_beat_{};
  bool publishing_ = false;
  bool unpublished_ = false;  // a list that has not been taken yet
};

}  // namespace fennellane::fleet
