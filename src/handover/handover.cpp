#include "handover.hpp"

#include <utility>

namespace fennellane::handover {

const char* step_name(OldSide::Step step) {
  constexpr const char* kNames[] = {"idle",    "starting", "offered", "sending",    "awaiting",
                                    "fencing", "going",    "killing", "reclaiming", "left"};
  return kNames[static_cast<std::size_t>(step)];
}
const char* step_name(NewSide::Step step) {
  constexpr const char* kNames[] = {"waiting", "checking", "accepted", "building",
                                    "ready",   "claiming", "serving",  "ended"};
  return kNames[static_cast<std::size_t>(step)];
}

// --- The old side
OldSide::OldSide(const Versions& versions, Generation generation, const Limits& limits)
    : versions_(versions), limits_(limits), generation_(generation) {}

std::vector<OldEffect> OldSide::handle(Time now, const OldInput& input) {
  now_ = now;
  std::visit([this](const auto& i) { on(i); }, input);
  return std::exchange(effects_, {});
}

void OldSide::on(const UpgradeRequested&) {
  if (step_ != Step::idle) {
    effects_.push_back(LogMessage{"an upgrade is under way"});
    return;
  }
  step_ = Step::starting;
  effects_.push_back(StartPeer{});
  set_timer(limits_.start_timeout);
}

void OldSide::on(const PeerStarted& s) {
  if (step_ != Step::starting) return;
  if (!s.failure.empty()) {
    effects_.push_back(LogMessage{"the new program cannot be started: " + s.failure});
    return thaw();
  }
  step_ = Step::offered;
  effects_.push_back(Send{Offer{versions_, generation_}});
}

void OldSide::on(const MessageReceived& r) {
  // A peer may take over just as its timeout expires. It has then served, however briefly, and only the
  // journal knows what it did.
  if (fenced_ && std::holds_alternative<TakeoverConfirmed>(r.message)) {
    if (step_ == Step::going) return exit_after_handover();
    peer_took_over_ = true;
    return;
  }
  if (step_ == Step::killing || step_ == Step::left || step_ == Step::idle) return;
  if (step_ == Step::offered && std::holds_alternative<Accept>(r.message)) {
    step_ = Step::sending;
    frozen_ = true;
    effects_.push_back(Freeze{});
    effects_.push_back(SendState{});
    return set_timer(limits_.state_timeout);
  }
  if (step_ == Step::awaiting && std::holds_alternative<Ready>(r.message)) {
    step_ = Step::fencing;
    effects_.push_back(StopTimer{});
    effects_.push_back(WriteFence{generation_ + 1});
    fence_pending_ = true;
    return;
  }
  if (const Refuse* refuse = std::get_if<Refuse>(&r.message))
    return abort_upgrade("the new program refuses: " + refuse->reason);
  abort_upgrade("a message came out of its place");
}

void OldSide::on(const ChannelFailed& c) {
  if (step_ == Step::idle || step_ == Step::left || step_ == Step::killing) return;
  abort_upgrade(c.reason);
}

void OldSide::on(const StateSent& s) {
  if (step_ != Step::sending) return;
  if (!s.failure.empty()) return abort_upgrade("the state cannot be sent: " + s.failure);
  step_ = Step::awaiting;
}

void OldSide::on(const FenceWritten& f) {
  if (step_ == Step::reclaiming) {
    // Without the journal this process must not serve. If it cannot reclaim it, it restarts and reads what
    // the journal holds.
    if (!f.failure.empty()) {
      effects_.push_back(LogMessage{"the journal cannot be reclaimed: " + f.failure});
      return restart_from_journal();
    }
    fenced_ = false;
    generation_ += 2;
    return thaw();
  }
  if (step_ != Step::fencing) return;
  fence_pending_ = false;
  fenced_ = f.failure.empty();
  // Events that arrived while the fence was being written are handled now that the journal's owner is known.
  if (std::exchange(peer_exited_, false)) return recover_after_peer_exit();
  if (!fenced_) return abort_upgrade("the fence cannot be written: " + f.failure);
  if (!pending_abort_reason_.empty()) return abort_upgrade(std::exchange(pending_abort_reason_, {}));
  step_ = Step::going;
  effects_.push_back(Send{TakeOver{generation_ + 1}});
  set_timer(limits_.takeover_timeout);
}

// Everything the peer sent before it exited has been received, so a TakeoverConfirmed would have been seen.
void OldSide::on(const PeerExited&) {
  effects_.push_back(StopTimer{});
  switch (step_) {
    case Step::idle:
    case Step::left:
    case Step::reclaiming:
      return;
    case Step::fencing:
      peer_exited_ = true;
      return;
    default:
      break;
  }
  if (step_ != Step::killing)
    effects_.push_back(LogMessage{std::string("the new program ended at step ") + step_name(step_)});
  recover_after_peer_exit();
}

// The peer has been reaped.
void OldSide::recover_after_peer_exit() {
  if (peer_took_over_) return restart_from_journal();
  if (!fenced_) return thaw();
  step_ = Step::reclaiming;
  effects_.push_back(WriteFence{generation_ + 2});
}

void OldSide::on(const TimerExpired&) {
  if (step_ == Step::idle || step_ == Step::left || step_ == Step::killing || step_ == Step::reclaiming)
    return;
  if (step_ == Step::fencing) return;  // the timer was stopped
  abort_upgrade(std::string("the new program is too slow at step ") + step_name(step_));
}

// Kills the peer; serving resumes only after it has been reaped.
void OldSide::abort_upgrade(const std::string& reason) {
  if (fence_pending_) {
    pending_abort_reason_ = reason;
    return;
  }
  effects_.push_back(LogMessage{reason + "; the old one serves on"});
  effects_.push_back(StopTimer{});
  effects_.push_back(KillPeer{});
  step_ = Step::killing;
}

void OldSide::thaw() {
  effects_.push_back(StopTimer{});
  step_ = Step::idle;
  if (std::exchange(frozen_, false)) effects_.push_back(Thaw{});
}

void OldSide::restart_from_journal() {
  effects_.push_back(LogMessage{"this process restarts from the journal, as after a crash"});
  effects_.push_back(StopTimer{});
  step_ = Step::left;
  effects_.push_back(RestartFromJournal{});
}

void OldSide::exit_after_handover() {
  effects_.push_back(StopTimer{});
  step_ = Step::left;
  effects_.push_back(ExitAfterHandover{});
}

std::string OldSide::fingerprint() const {
  return std::to_string(static_cast<int>(step_)) + "," + std::to_string(generation_) + (frozen_ ? "f" : "") +
         (fenced_ ? "F" : "") + (peer_took_over_ ? "t" : "") + (peer_exited_ ? "d" : "") +
         (fence_pending_ ? "w" : "") + (pending_abort_reason_.empty() ? "" : "x");
}

// --- The new side
std::string NewSide::fingerprint() const {
  return std::to_string(static_cast<int>(step_)) + "," + std::to_string(offer_.generation) + "," +
         std::to_string(received_bytes_);
}

NewSide::NewSide(const Versions& versions, const Limits& limits) : versions_(versions), limits_(limits) {}

std::vector<NewEffect> NewSide::handle(Time now, const NewInput& input) {
  now_ = now;
  std::visit([this](const auto& i) { on(i); }, input);
  return std::exchange(effects_, {});
}

void NewSide::on(const MessageReceived& r) {
  if (step_ == Step::ended || step_ == Step::serving) return;
  if (const Offer* offer = std::get_if<Offer>(&r.message); offer && step_ == Step::waiting) {
    offer_ = *offer;
    // Formats must match exactly; neither an older nor a newer one is converted.
    if (offer->versions.handover != versions_.handover) {
      return refuse("it knows handover format " + std::to_string(versions_.handover) + ", not " +
                    std::to_string(offer->versions.handover));
    }
    if (offer->versions.journal != versions_.journal) {
      return refuse("it knows journal format " + std::to_string(versions_.journal) + ", not " +
                    std::to_string(offer->versions.journal));
    }
    step_ = Step::checking;
    effects_.push_back(CheckConfiguration{});
    return;
  }
  if (const State* state = std::get_if<State>(&r.message); state && step_ == Step::accepted) {
    received_bytes_ += state->bytes.size();
    if (received_bytes_ > limits_.max_state_bytes) refuse("the state is larger than its bound");
    return;
  }
  if (const StateEnd* end = std::get_if<StateEnd>(&r.message); end && step_ == Step::accepted) {
    if (end->size != received_bytes_) return refuse("the state is not whole");
    step_ = Step::building;
    effects_.push_back(BuildState{*end});
    return;
  }
  if (const TakeOver* take_over = std::get_if<TakeOver>(&r.message); take_over && step_ == Step::ready) {
    if (take_over->generation != offer_.generation + 1)
      return abort_handover("the old process names an unexpected generation");
    // Before anything else: once this arrives, the old side exits.
    effects_.push_back(Send{TakeoverConfirmed{}});
    return start_serving(take_over->generation);
  }
  abort_handover("unexpected message");
}

void NewSide::on(const PreparationFinished& p) {
  if (step_ != Step::checking && step_ != Step::building) return;
  if (!p.failure.empty()) return refuse(p.failure);
  const bool built = step_ == Step::building;
  step_ = built ? Step::ready : Step::accepted;
  effects_.push_back(Send{built ? Message(Ready{}) : Message(Accept{})});
}

void NewSide::on(const ChannelFailed& c) {
  if (step_ == Step::ended || step_ == Step::serving) return;
  abort_handover(c.reason);
}

// The old side thaws only after this process has been reaped. So if the old process exits first, it was still
// frozen, and the state received here is current.
void NewSide::on(const PeerExited&) {
  if (step_ == Step::ended || step_ == Step::serving || step_ == Step::claiming) return;
  if (step_ != Step::ready) return abort_handover("the old process ended before its state was complete");
  step_ = Step::claiming;
  effects_.push_back(LogMessage{"the old process ended after sending its state: this one continues with it"});
  effects_.push_back(WriteFence{offer_.generation + 1});
}

void NewSide::on(const FenceWritten& f) {
  if (step_ != Step::claiming) return;
  if (!f.failure.empty()) return abort_handover("the journal cannot be claimed: " + f.failure);
  start_serving(offer_.generation + 1);
}

void NewSide::on(const TimerExpired&) {}

void NewSide::refuse(const std::string& reason) {
  effects_.push_back(Send{Refuse{reason}});
  abort_handover(reason);
}

void NewSide::abort_handover(const std::string& reason) {
  step_ = Step::ended;
  effects_.push_back(LogMessage{reason});
  effects_.push_back(Exit{});
}

void NewSide::start_serving(Generation generation) {
  step_ = Step::serving;
  effects_.push_back(StartServing{generation});
}

}  // namespace fennellane::handover
