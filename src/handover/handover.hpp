// The handover of a relay's work from a running process, the old side, to one that it has started, the new
// side: both sides' decisions, without input, output or clock. See docs/upgrade.md.
//
//   old                                   new
//   offer  ------------------------------>  versions and configuration are looked at
//          <------------------------------  accept | refuse
//   freeze: reads, writes, sends and records nothing
//   state, state_end -------------------->  all is checked and built, and nothing touched
//          <------------------------------  ready
//   fence: the journal's last record of this owner names the next one
//   go ---------------------------------->
//          <------------------------------  taken, before anything else
//   leave                                   serve
//
// Rules that all else rests on:
// - The old side thaws only when the new one is dead for certain (killed and reaped), so never beside it.
// - The new side touches no socket and no journal before `go`, or before the old one is known to be dead.
// - The journal belongs to the generation that its newest fence names. Who is fenced off can't append.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "byte_units.hpp"

namespace fennellane::handover {

using Time = std::chrono::microseconds;  // a point on the caller's clock, or a span
using Generation = std::uint64_t;        // of the journal's owner

// --- What goes over the connection between the two
struct Versions {
  std::uint32_t handover = 2;  // of these messages and of the state
  std::uint32_t journal = 1;   // of the journal's records
  bool operator==(const Versions&) const = default;
};
struct Offer {
  Versions versions;
  Generation generation = 0;  // of the old side
  bool operator==(const Offer&) const = default;
};
struct Accept {
  bool operator==(const Accept&) const = default;
};
struct Refuse {
  std::string reason;  // one line
  bool operator==(const Refuse&) const = default;
};
struct State {
  std::string bytes;  // a part of the whole
  bool operator==(const State&) const = default;
};
struct StateEnd {
  std::uint64_t size = 0;           // of all parts
  std::uint64_t checksum = 0;       // XXH3, 64 bits, of all parts
  std::uint64_t journal_bytes = 0;  // the journal's length while its owner is frozen
  bool operator==(const StateEnd&) const = default;
};
struct Ready {
  bool operator==(const Ready&) const = default;
};
struct TakeOver {
  Generation generation = 0;  // that the fence names
  bool operator==(const TakeOver&) const = default;
};
struct TakeoverConfirmed {
  bool operator==(const TakeoverConfirmed&) const = default;
};
using Message = std::variant<Offer, Accept, Refuse, State, StateEnd, Ready, TakeOver, TakeoverConfirmed>;

// --- Time limits, each for one step
struct Limits {
  Time start_timeout = std::chrono::seconds(10);  // from the start of the new program to its `accept`
  Time state_timeout =
      std::chrono::milliseconds(400);  // from the freeze to `ready`: clients wait for so long
  Time takeover_timeout = std::chrono::milliseconds(200);  // from `go` to `taken`
  std::uint64_t max_state_bytes = 512 * kMiB;              // bytes
};

// --- The old side
struct UpgradeRequested {};
struct PeerStarted {    // the new program was started, or was not
  std::string failure;  // empty = it was
};
struct MessageReceived {
  Message message;
};
struct ChannelFailed {  // bytes came that are no message
  std::string reason;
};
struct PeerExited {};  // the other process has ended, and all that it had sent has been received
struct StateSent {
  std::string failure;  // empty = all of it was
};
struct FenceWritten {  // the record that `WriteFence` asked for was written, or was not
  std::string failure;
};
struct TimerExpired {};
using OldInput = std::variant<UpgradeRequested, PeerStarted, MessageReceived, ChannelFailed, PeerExited,
                              StateSent, FenceWritten, TimerExpired>;

struct StartPeer {};  // answered by Started
struct Send {
  Message message;
};
struct Freeze {};     // nothing is read, written, sent or recorded from here on
struct SendState {};  // State and StateEnd, with the descriptors; answered by StateSent
struct WriteFence {   // answered by Fenced; whoever is not `to` can't append after it
  Generation owner = 0;
};
struct KillPeer {};  // calls off what SendState has begun; answered by PeerDead, once it has been reaped
struct Thaw {};      // calls off the same; serve on, as if nothing had been
struct ExitAfterHandover {};   // the other serves: this process ends, or only watches over it
struct RestartFromJournal {};  // from the journal, as after a crash: nobody serves, and what was done is
                               // known to the journal alone
struct SetTimer {
  Time at{};
};
struct StopTimer {};
struct LogMessage {
  std::string text;
};
using OldEffect = std::variant<StartPeer, Send, Freeze, SendState, WriteFence, KillPeer, Thaw,
                               ExitAfterHandover, RestartFromJournal, SetTimer, StopTimer, LogMessage>;

class OldSide {
 public:
  enum class Step : std::uint8_t {
    idle,        // serves
    starting,    // serves; the new program is being started
    offered,     // serves
    sending,     // frozen; the state is on its way
    awaiting,    // frozen, until `ready`
    fencing,     // frozen; the fence is being written
    going,       // no longer the owner, until `taken`
    killing,     // serves on once the peer is dead, frozen or not
    reclaiming,  // the peer is dead and has done nothing: the fence back is being written
    left         // the other side serves
  };
  OldSide(const Versions& versions, Generation generation, const Limits& limits);

  std::vector<OldEffect> handle(Time now, const OldInput& input);

  Step step() const { return step_; }
  bool serves() const { return step_ != Step::left && !frozen_; }
  bool busy() const { return step_ != Step::idle; }
  Generation generation() const { return generation_; }
  // All that its next decision rests on but the time: two sides with one fingerprint act alike.
  std::string fingerprint() const;

 private:
  void on(const UpgradeRequested&);
  void on(const PeerStarted&);
  void on(const MessageReceived&);
  void on(const ChannelFailed&);
  void on(const PeerExited&);
  void on(const StateSent&);
  void on(const FenceWritten&);
  void on(const TimerExpired&);

  void abort_upgrade(const std::string& why);
  void thaw();
  void exit_after_handover();
  void restart_from_journal();
  void recover_after_peer_exit();
  void set_timer(Time span) { effects_.push_back(SetTimer{now_ + span}); }

  Versions versions_;
  Limits limits_;
  Generation generation_;
  Step step_ = Step::idle;
  bool frozen_ = false;
  bool fenced_ = false;          // the newest fence names the peer
  bool peer_took_over_ = false;  // and it has served
  // While a fence is being written, nothing else is decided.
  bool fence_pending_ = false;
  bool peer_exited_ = false;
  std::string pending_abort_reason_;
  Time now_{};
  std::vector<OldEffect> effects_;
};

// --- The new side
struct PreparationFinished {  // what `Check` or `Build` asked for
  std::string failure;        // empty = all is well
};
using NewInput =
    std::variant<MessageReceived, ChannelFailed, PeerExited, PreparationFinished, FenceWritten, TimerExpired>;

struct CheckConfiguration {  // can this program take it over: versions are fine, its configuration has to be;
                             // answered by
                             // Checked
};
struct BuildState {  // from the whole state, touching nothing; answered by Checked
  StateEnd end;
};
struct StartServing {  // owner of the journal; everything may be touched from here on
  Generation generation = 0;
};
struct Exit {  // with nothing touched
};
// Claims a journal whose owner has died while it was frozen, if it is as long as the state says or has one
// fence more: WriteFence, answered by Fenced.
using NewEffect = std::variant<Send, CheckConfiguration, BuildState, WriteFence, StartServing, Exit, SetTimer,
                               StopTimer, LogMessage>;

class NewSide {
 public:
  enum class Step : std::uint8_t { waiting, checking, accepted, building, ready, claiming, serving, ended };
  NewSide(const Versions& versions, const Limits& limits);

  std::vector<NewEffect> handle(Time now, const NewInput& input);

  Step step() const { return step_; }
  bool serves() const { return step_ == Step::serving; }
  std::string fingerprint() const;

 private:
  void on(const MessageReceived&);
  void on(const ChannelFailed&);
  void on(const PeerExited&);
  void on(const PreparationFinished&);
  void on(const FenceWritten&);
  void on(const TimerExpired&);

  void refuse(const std::string& why);
  void abort_handover(const std::string& why);
  void start_serving(Generation generation);

  Versions versions_;
  Limits limits_;
  Step step_ = Step::waiting;
  Offer offer_;
  std::uint64_t received_bytes_ = 0;  // bytes of state
  Time now_{};
  std::vector<NewEffect> effects_;
};

const char* step_name(OldSide::Step step);
const char* step_name(NewSide::Step step);

}  // namespace fennellane::handover
