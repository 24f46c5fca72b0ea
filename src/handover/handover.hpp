// Protocol of a hot upgrade: a running process (the old side) hands its work over to a process that it has
// started (the new side). Pure state machines for both sides: they perform no I/O and read no clock. See
// docs/upgrade.md.
//
//   old                                   new
//   offer  ------------------------------>  checks versions and configuration
//          <------------------------------  accept | refuse
//   freeze: reads, writes, sends and records nothing
//   state, state_end -------------------->  checks the state and builds from it, without side effects
//          <------------------------------  ready
//   fence: the last journal record of this owner names the next owner
//   take over --------------------------->
//          <------------------------------  takeover confirmed, before anything else
//   exit                                    serve
//
// Invariants:
// - The old side thaws only once the new process is known to be dead (killed and reaped), so the two never
//   serve at the same time.
// - The new side touches no socket and no journal before `TakeOver`, or before the old process is known to be
//   dead.
// - The journal belongs to the generation that its newest fence names. A fenced-off owner cannot append.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "byte_units.hpp"

namespace fennellane::handover {

using Time = std::chrono::microseconds;  // a point on the caller's clock, or a duration
using Generation = std::uint64_t;        // identifies an owner of the journal

// --- Messages between the two processes
struct Versions {
  std::uint32_t handover = 2;  // format of these messages and of the state
  std::uint32_t journal = 1;   // format of the journal's records
  bool operator==(const Versions&) const = default;
};
struct Offer {
  Versions versions;
  Generation generation = 0;  // the old side's
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
  std::string bytes;  // one chunk of the state
  bool operator==(const State&) const = default;
};
struct StateEnd {
  std::uint64_t size = 0;           // of all chunks
  std::uint64_t checksum = 0;       // XXH3, 64 bits, of all chunks
  std::uint64_t journal_bytes = 0;  // length of the journal while its owner is frozen
  bool operator==(const StateEnd&) const = default;
};
struct Ready {
  bool operator==(const Ready&) const = default;
};
struct TakeOver {
  Generation generation = 0;  // the one that the fence names
  bool operator==(const TakeOver&) const = default;
};
struct TakeoverConfirmed {
  bool operator==(const TakeoverConfirmed&) const = default;
};
using Message = std::variant<Offer, Accept, Refuse, State, StateEnd, Ready, TakeOver, TakeoverConfirmed>;

// --- Limits; each timeout is for one step
struct Limits {
  Time start_timeout = std::chrono::seconds(10);        // from the start of the new program to `Accept`
  Time state_timeout = std::chrono::milliseconds(400);  // from the freeze to `Ready`; clients wait meanwhile
  Time takeover_timeout = std::chrono::milliseconds(200);  // from `TakeOver` to `TakeoverConfirmed`
  std::uint64_t max_state_bytes = 512 * kMiB;
};

// --- The old side
struct UpgradeRequested {};
struct PeerStarted {    // the new program was started, or starting it failed
  std::string failure;  // empty: success
};
struct MessageReceived {
  Message message;
};
struct ChannelFailed {  // the channel failed or carried an invalid message; also the request to abort
  std::string reason;
};
struct PeerExited {};  // the other process has exited, and everything it sent has been received
struct StateSent {
  std::string failure;  // empty: the whole state was sent
};
struct FenceWritten {  // result of WriteFence
  std::string failure;
};
struct TimerExpired {};
using OldInput = std::variant<UpgradeRequested, PeerStarted, MessageReceived, ChannelFailed, PeerExited,
                              StateSent, FenceWritten, TimerExpired>;

struct StartPeer {};  // followed by PeerStarted
struct Send {
  Message message;
};
struct Freeze {};     // from here on nothing is read, written, sent or recorded
struct SendState {};  // State and StateEnd, with the descriptors; followed by StateSent
struct WriteFence {   // followed by FenceWritten; afterwards only `owner` can append
  Generation owner = 0;
};
struct KillPeer {};            // cancels SendState; followed by PeerExited once the process has been reaped
struct Thaw {};                // cancels SendState; serving resumes as before the freeze
struct ExitAfterHandover {};   // the new process serves; this one exits
struct RestartFromJournal {};  // as after a crash: no process serves, and only the journal is current
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
    sending,     // frozen; the state is being sent
    awaiting,    // frozen; waits for `Ready`
    fencing,     // frozen; the fence is being written
    going,       // no longer the owner; waits for `TakeoverConfirmed`
    killing,     // the peer was killed; serves again once it is reaped
    reclaiming,  // the peer died without serving; the fence that returns ownership is being written
    left         // the new side serves
  };
  OldSide(const Versions& versions, Generation generation, const Limits& limits);

  std::vector<OldEffect> handle(Time now, const OldInput& input);

  Step step() const { return step_; }
  bool serves() const { return step_ != Step::left && !frozen_; }
  bool busy() const { return step_ != Step::idle; }
  Generation generation() const { return generation_; }
  // Identifies the state apart from the time: two sides with equal fingerprints behave alike.
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

  void abort_upgrade(const std::string& reason);
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
  bool fenced_ = false;          // the newest fence names the peer as owner
  bool peer_took_over_ = false;  // the peer confirmed its takeover, so it may have served
  // While a fence is being written, other events are only noted.
  bool fence_pending_ = false;
  bool peer_exited_ = false;
  std::string pending_abort_reason_;
  Time now_{};
  std::vector<OldEffect> effects_;
};

// --- The new side
struct PreparationFinished {  // result of CheckConfiguration or BuildState
  std::string failure;        // empty: success
};
using NewInput =
    std::variant<MessageReceived, ChannelFailed, PeerExited, PreparationFinished, FenceWritten, TimerExpired>;

struct CheckConfiguration {  // can this program serve with its configuration? followed by PreparationFinished
};
struct BuildState {  // from the whole state, without side effects; followed by PreparationFinished
  StateEnd end;
};
struct StartServing {  // as owner of the journal; side effects are allowed from here on
  Generation generation = 0;
};
struct Exit {  // without any side effect so far
};
// Here WriteFence claims a journal whose owner died while it was frozen, provided that the journal is as long
// as the state says, or longer by one fence; followed by FenceWritten.
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

  void refuse(const std::string& reason);
  void abort_handover(const std::string& reason);
  void start_serving(Generation generation);

  Versions versions_;
  Limits limits_;
  Step step_ = Step::waiting;
  Offer offer_;
  std::uint64_t received_bytes_ = 0;  // of the state
  Time now_{};
  std::vector<NewEffect> effects_;
};

const char* step_name(OldSide::Step step);
const char* step_name(NewSide::Step step);

}  // namespace fennellane::handover
