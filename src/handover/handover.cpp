#include "handover.hpp"

#include <utility>

namespace fennellane::handover {

const char* name_of(OldSide::Step step) {
  constexpr const char* kNames[] = {"idle",    "starting", "offered", "sending",    "awaiting",
                                    "fencing", "going",    "killing", "reclaiming", "left"};
  return kNames[static_cast<std::size_t>(step)];
}
const char* name_of(NewSide::Step step) {
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

void OldSide::on(const UpgradeAsked&) {
  if (step_ != Step::idle) {
    effects_.push_back(Say{"an upgrade is under way"});
    return;
  }
  step_ = Step::starting;
  effects_.push_back(StartPeer{});
  limit(limits_.start);
}

void OldSide::on(const Started& s) {
  if (step_ != Step::starting) return;
  if (!s.failure.empty()) {
    effects_.push_back(Say{"the new program cannot be started: " + s.failure});
    return thaw();
  }
  step_ = Step::offered;
  effects_.push_back(Send{Offer{versions_, generation_}});
}

void OldSide::on(const Received& r) {
  // Guards against a peer that took over just as its time ran out: it has served, if only for a moment, and
  // nobody but the journal knows what it did.
  if (fenced_ && std::holds_alternative<Taken>(r.message)) {
    if (step_ == Step::going) return leave();
    taken_ = true;
    return;
  }
  if (step_ == Step::killing || step_ == Step::left || step_ == Step::idle) return;
  if (step_ == Step::offered && std::holds_alternative<Accept>(r.message)) {
    step_ = Step::sending;
    frozen_ = true;
    effects_.push_back(Freeze{});
    effects_.push_back(SendState{});
    return limit(limits_.state);
  }
  if (step_ == Step::awaiting && std::holds_alternative<Ready>(r.message)) {
    step_ = Step::fencing;
    effects_.push_back(StopTimer{});
    effects_.push_back(WriteFence{generation_ + 1});
    fence_due_ = true;
    return;
  }
  if (const Refuse* refuse = std::get_if<Refuse>(&r.message))
    return give_up("the new program refuses: " + refuse->why);
  give_up("a message came out of its place");
}

void OldSide::on(const Spoilt& s) {
  if (step_ == Step::idle || step_ == Step::left || step_ == Step::killing) return;
  give_up(s.why);
}

void OldSide::on(const StateSent& s) {
  if (step_ != Step::sending) return;
  if (!s.failure.empty()) return give_up("the state cannot be sent: " + s.failure);
  step_ = Step::awaiting;
}

void OldSide::on(const Fenced& f) {
  if (step_ == Step::reclaiming) {
    // Guards against going on without the journal: a process that can't take it back ends, and the next life
    // reads what is there.
    if (!f.failure.empty()) {
      effects_.push_back(Say{"the journal cannot be taken back: " + f.failure});
      return start_anew();
    }
    fenced_ = false;
    generation_ += 2;
    return thaw();
  }
  if (step_ != Step::fencing) return;
  fence_due_ = false;
  fenced_ = f.failure.empty();
  // What came while the fence was on its way counts now that it is known on which side it left the journal.
  if (std::exchange(peer_dead_, false)) return back_from_the_dead();
  if (!fenced_) return give_up("the fence cannot be written: " + f.failure);
  if (!trouble_.empty()) return give_up(std::exchange(trouble_, {}));
  step_ = Step::going;
  effects_.push_back(Send{Go{generation_ + 1}});
  limit(limits_.taken);
}

// All that the peer had sent before its end has been received, so a `taken` would have been seen.
void OldSide::on(const PeerDead&) {
  effects_.push_back(StopTimer{});
  switch (step_) {
    case Step::idle:
    case Step::left:
    case Step::reclaiming:
      return;
    case Step::fencing:
      peer_dead_ = true;
      return;
    default:
      break;
  }
  if (step_ != Step::killing)
    effects_.push_back(Say{std::string("the new program ended at step ") + name_of(step_)});
  back_from_the_dead();
}

// The peer is dead for certain.
void OldSide::back_from_the_dead() {
  if (taken_) return start_anew();
  if (!fenced_) return thaw();
  step_ = Step::reclaiming;
  effects_.push_back(WriteFence{generation_ + 2});
}

void OldSide::on(const TimeDue&) {
  if (step_ == Step::idle || step_ == Step::left || step_ == Step::killing || step_ == Step::reclaiming)
    return;
  if (step_ == Step::fencing) return;  // it was stopped
  give_up(std::string("the new program is too slow at step ") + name_of(step_));
}

// The peer is killed first, and only its end opens the way back.
void OldSide::give_up(const std::string& why) {
  if (fence_due_) {
    trouble_ = why;
    return;
  }
  effects_.push_back(Say{why + "; the old one serves on"});
  effects_.push_back(StopTimer{});
  effects_.push_back(KillPeer{});
  step_ = Step::killing;
}

void OldSide::thaw() {
  effects_.push_back(StopTimer{});
  step_ = Step::idle;
  if (std::exchange(frozen_, false)) effects_.push_back(Thaw{});
}

void OldSide::start_anew() {
  effects_.push_back(Say{"this process starts anew from the journal, as after a crash"});
  effects_.push_back(StopTimer{});
  step_ = Step::left;
  effects_.push_back(StartAnew{});
}

void OldSide::leave() {
  effects_.push_back(StopTimer{});
  step_ = Step::left;
  effects_.push_back(Leave{});
}

std::string OldSide::fingerprint() const {
  return std::to_string(static_cast<int>(step_)) + "," + std::to_string(generation_) + (frozen_ ? "f" : "") +
         (fenced_ ? "F" : "") + (taken_ ? "t" : "") + (peer_dead_ ? "d" : "") + (fence_due_ ? "w" : "") +
         (trouble_.empty() ? "" : "x");
}

// --- The new side
std::string NewSide::fingerprint() const {
  return std::to_string(static_cast<int>(step_)) + "," + std::to_string(offer_.generation) + "," +
         std::to_string(received_);
}

NewSide::NewSide(const Versions& versions, const Limits& limits) : versions_(versions), limits_(limits) {}

std::vector<NewEffect> NewSide::handle(Time now, const NewInput& input) {
  now_ = now;
  std::visit([this](const auto& i) { on(i); }, input);
  return std::exchange(effects_, {});
}

void NewSide::on(const Received& r) {
  if (step_ == Step::ended || step_ == Step::serving) return;
  if (const Offer* offer = std::get_if<Offer>(&r.message); offer && step_ == Step::waiting) {
    offer_ = *offer;
    // Only what both know goes over. An older or a newer format is no reason to guess.
    if (offer->versions.handover != versions_.handover) {
      return refuse("it knows handover format " + std::to_string(versions_.handover) + ", not " +
                    std::to_string(offer->versions.handover));
    }
    if (offer->versions.journal != versions_.journal) {
      return refuse("it knows journal format " + std::to_string(versions_.journal) + ", not " +
                    std::to_string(offer->versions.journal));
    }
    step_ = Step::checking;
    effects_.push_back(Check{});
    return;
  }
  if (const State* state = std::get_if<State>(&r.message); state && step_ == Step::accepted) {
    received_ += state->bytes.size();
    if (received_ > limits_.most_state) refuse("the state is larger than its bound");
    return;
  }
  if (const StateEnd* end = std::get_if<StateEnd>(&r.message); end && step_ == Step::accepted) {
    if (end->size != received_) return refuse("the state is not whole");
    step_ = Step::building;
    effects_.push_back(Build{*end});
    return;
  }
  if (const Go* go = std::get_if<Go>(&r.message); go && step_ == Step::ready) {
    if (go->generation != offer_.generation + 1) return end("told to go as another generation");
    // Before anything else: its arrival is what the old side may rest on.
    effects_.push_back(Send{Taken{}});
    return serve(go->generation);
  }
  end("a message came out of its place");
}

void NewSide::on(const Checked& c) {
  if (step_ != Step::checking && step_ != Step::building) return;
  if (!c.failure.empty()) return refuse(c.failure);
  const bool built = step_ == Step::building;
  step_ = built ? Step::ready : Step::accepted;
  effects_.push_back(Send{built ? Message(Ready{}) : Message(Accept{})});
}

void NewSide::on(const Spoilt& s) {
  if (step_ == Step::ended || step_ == Step::serving) return;
  end(s.why);
}

// The old side thaws only over this one's corpse: if it is the old one that died, it did so frozen, and the
// state that is here is all there is.
void NewSide::on(const PeerDead&) {
  if (step_ == Step::ended || step_ == Step::serving || step_ == Step::claiming) return;
  if (step_ != Step::ready) return end("the old process ended before its state was here");
  step_ = Step::claiming;
  effects_.push_back(Say{"the old process ended with its state handed over: this one goes on with it"});
  effects_.push_back(WriteFence{offer_.generation + 1});
}

void NewSide::on(const Fenced& f) {
  if (step_ != Step::claiming) return;
  if (!f.failure.empty()) return end("the journal cannot be claimed: " + f.failure);
  serve(offer_.generation + 1);
}

void NewSide::on(const TimeDue&) {}

void NewSide::refuse(const std::string& why) {
  effects_.push_back(Send{Refuse{why}});
  end(why);
}

void NewSide::end(const std::string& why) {
  step_ = Step::ended;
  effects_.push_back(Say{why});
  effects_.push_back(Exit{});
}

void NewSide::serve(Generation generation) {
  step_ = Step::serving;
  effects_.push_back(Serve{generation});
}

}  // namespace fennellane::handover
