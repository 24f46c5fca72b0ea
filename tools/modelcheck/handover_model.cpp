#include "handover_model.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "handover.hpp"

namespace fennellane::handover {
namespace {

constexpr int kMost = 3;

// What a process believes of a message, and what the journal holds of it.
enum class Belief : char { unknown, held, out, over };
struct Record {
  bool taken = false, out = false, over = false;
};

struct Process {
  bool alive = false;
  bool serving = false;  // of those that have no side of their own: a life that the supervisor began
  Generation generation = 0;
  std::array<Belief, kMost> beliefs{};
  std::array<bool, kMost> socket{};  // holds the connection of the message's call
};

enum Who { kOld, kNew, kFresh, kProcesses };
const char* const kNames[] = {"old", "new", "fresh"};

struct World {
  std::array<Process, kProcesses> process;
  OldSide old_side{Versions{}, 1, Limits{}};
  NewSide new_side{Versions{}, Limits{}};
  bool old_left = false;  // by itself: the supervisor is told, and starts nothing
  std::vector<Message> to_new, to_old;
  std::array<Belief, kMost> snapshot{};  // the state on its way
  bool start_due = false, state_due = false, old_fence_due = false, kill_due = false, timer = false;
  bool check_due = false, new_fence_due = false;
  Generation old_fence_to = 0, new_fence_to = 0;
  bool old_told_dead = false, new_told_dead = false;
  // The journal and the world outside.
  std::array<Record, kMost> journal{};
  Generation owner = 1;
  std::array<bool, kMost> offered{};
  std::array<bool, kMost> call{};     // out at the host, not answered
  std::array<char, kMost> runs{};     // effects at the host
  std::array<char, kMost> answers{};  // final ones
  int upgrades = 0, crashes = 0, failures = 0, timeouts = 0, restarts = 0;

  std::string key() const;
};

std::string World::key() const {
  std::string k;
  const auto bit = [&k](bool b) { k += b ? '1' : '0'; };
  for (const Process& p : process) {
    bit(p.alive);
    bit(p.serving);
    k += static_cast<char>(p.generation);
    for (int m = 0; m < kMost; ++m) {
      k += static_cast<char>('a' + static_cast<char>(p.beliefs[m]));
      bit(p.socket[m]);
    }
  }
  k += old_side.fingerprint() + ";" + new_side.fingerprint() + ";";
  for (const auto* queue : {&to_new, &to_old}) {
    for (const Message& m : *queue) {
      k += static_cast<char>('A' + static_cast<char>(m.index()));
      if (const TakeOver* go = std::get_if<TakeOver>(&m)) k += static_cast<char>(go->generation);
      if (const Offer* offer = std::get_if<Offer>(&m)) k += static_cast<char>(offer->generation);
    }
    k += ';';
  }
  for (const Belief b : snapshot) k += static_cast<char>('a' + static_cast<char>(b));
  for (const bool b : {old_left, start_due, state_due, old_fence_due, kill_due, timer, check_due,
                       new_fence_due, old_told_dead, new_told_dead}) {
    bit(b);
  }
  k += static_cast<char>(old_fence_to);
  k += static_cast<char>(new_fence_to);
  for (int m = 0; m < kMost; ++m) {
    bit(journal[m].taken);
    bit(journal[m].out);
    bit(journal[m].over);
    bit(offered[m]);
    bit(call[m]);
    k += static_cast<char>('0' + runs[m]);
    k += static_cast<char>('0' + answers[m]);
  }
  k += static_cast<char>(owner);
  for (const int n : {upgrades, crashes, failures, timeouts, restarts}) k += static_cast<char>('0' + n);
  return k;
}

class Explorer {
 public:
  explicit Explorer(const ModelBounds& bounds) : bounds_(bounds) {}

  ModelResult run() {
    // Every mix of messages that are not there yet, held, and out.
    int mixes = 1;
    for (int m = 0; m < bounds_.messages; ++m) mixes *= 3;
    for (int mix = 0; mix < mixes; ++mix) {
      World w;
      w.process[kOld].alive = true;
      w.process[kOld].generation = 1;
      for (int m = 0, rest = mix; m < bounds_.messages; ++m, rest /= 3) {
        if (rest % 3 == 0) continue;
        w.offered[m] = w.journal[m].taken = true;
        w.process[kOld].beliefs[m] = Belief::held;
        if (rest % 3 == 1) continue;
        w.process[kOld].beliefs[m] = Belief::out;
        w.process[kOld].socket[m] = w.call[m] = w.journal[m].out = true;
        w.runs[m] = 1;
      }
      add(w, 0, "start with mix " + std::to_string(mix));
    }
    for (std::size_t i = 0; i < worlds_.size() && result_.broken.empty(); ++i) {
      if (worlds_.size() > bounds_.most_states) {
        result_.whole = false;
        break;
      }
      from_ = i;
      moves_ = 0;
      step(*worlds_[i]);
      // Where nothing else can happen any more, a time limit does run out.
      if (moves_ == 0 && worlds_[i]->timer) {
        move("old's time runs out at last", *worlds_[i], [&](World& x) {
          x.timer = false;
          tell_old(x, TimerExpired{});
        });
      }
      if (moves_ == 0) at_end(*worlds_[i]);
      worlds_[i].reset();  // its key is enough from here on
    }
    result_.states = worlds_.size();
    return result_;
  }

 private:
  struct Origin {
    std::size_t from;
    std::string what;
  };

  void add(const World& w, std::size_t from, const std::string& what) {
    ++result_.transitions;
    if (!result_.broken.empty()) return;
    const auto [it, fresh] = seen_.emplace(w.key(), worlds_.size());
    if (fresh) {
      worlds_.push_back(std::make_unique<World>(w));
      origins_.push_back({from, what});
    }
    check(w, it->second);
  }

  void broken(const std::string& rule, std::size_t at) {
    if (!result_.broken.empty()) return;
    result_.broken = rule;
    for (std::size_t i = at;; i = origins_[i].from) {
      result_.trace.push_back(origins_[i].what);
      if (origins_[i].what.starts_with("start")) break;
    }
    std::reverse(result_.trace.begin(), result_.trace.end());
  }

  void check(const World& w, std::size_t at) {
    if (w.runs[0] > 1) broken("a message that may not be repeated has run twice", at);
    for (int m = 0; m < bounds_.messages; ++m) {
      if (w.answers[m] > 1) broken("a message has two final answers", at);
    }
    int owners = 0;
    for (int p = 0; p < kProcesses; ++p) owners += serves(w, p) && may_append(w, p) ? 1 : 0;
    if (owners > 1) broken("the journal has two owners", at);
    if (serves(w, kOld) && serves(w, kNew)) broken("the old and the new process serve side by side", at);
  }

  void at_end(const World& w) {
    ++result_.ends;
    bool anyone = false;
    for (int p = 0; p < kProcesses; ++p) anyone = anyone || (serves(w, p) && may_append(w, p));
    // Where the supervisor has no restart left and everyone has crashed, nothing can be asked.
    if (!anyone && w.restarts < bounds_.restarts) return broken("nobody serves and nobody will", from_);
    if (!anyone) return;
    for (int m = 0; m < bounds_.messages; ++m) {
      if (w.answers[m] != 1) broken("a message has no final answer", from_);
    }
  }

  // --- What is so
  static bool serves(const World& w, int p) {
    if (!w.process[p].alive) return false;
    if (p == kOld && !w.process[kOld].serving) return w.old_side.serves();
    if (p == kNew) return w.new_side.serves();
    return w.process[p].serving;
  }
  bool may_append(const World& w, int p) const {
    return !bounds_.fence || w.process[p].generation == w.owner;
  }

  // --- Moves
  void move(const std::string& what, World w, const std::function<void(World&)>& change) {
    ++moves_;
    change(w);
    add(w, from_, what);
  }
  // One that may come or not: where nothing but such is left, the world stands still.
  void fault(const std::string& what, World w, const std::function<void(World&)>& change) {
    change(w);
    add(w, from_, what);
  }

  static void die(World& w, int p) {
    w.process[p].alive = false;
    w.process[p].serving = false;
    w.process[p].socket = {};
    if (p == kOld) w.start_due = w.state_due = w.old_fence_due = w.kill_due = w.timer = false;
    if (p == kNew) w.check_due = w.new_fence_due = false;
    reset_calls(w);
  }
  // A call whose connection nobody holds any more is reset.
  static void reset_calls(World& w) {
    for (int m = 0; m < kMost; ++m) {
      bool held = false;
      for (const Process& p : w.process) held = held || p.socket[m];
      if (!held) w.call[m] = false;
    }
  }

  // A life begun from the journal: what was out may have run, and what may not be repeated ends.
  void begin_life(World& w, int p) {
    Process& process = w.process[p];
    process = {};
    process.alive = process.serving = true;
    process.generation = w.owner = w.owner + 3;  // never a number that a handover would use
    reset_calls(w);
    for (int m = 0; m < bounds_.messages; ++m) {
      Record& record = w.journal[m];
      if (!record.taken || record.over) {
        process.beliefs[m] = record.over ? Belief::over : Belief::unknown;
      } else if (record.out && m == 0) {
        record.over = true;
        process.beliefs[m] = Belief::over;
        ++w.answers[m];  // undeliverable
      } else {
        record.out = false;
        process.beliefs[m] = Belief::held;
      }
    }
  }

  // A record is to be appended: who is fenced off ends instead.
  bool append(World& w, int p) {
    if (may_append(w, p)) return true;
    die(w, p);
    return false;
  }

  void step(const World& w) {
    for (int p = 0; p < kProcesses; ++p) {
      if (serves(w, p)) serve(w, p);
      if (w.process[p].alive && w.crashes < bounds_.crashes) {
        fault(std::string(kNames[p]) + " crashes", w, [&](World& x) {
          ++x.crashes;
          die(x, p);
        });
      }
    }
    const Process& old = w.process[kOld];
    const bool anyone_of_old = old.alive;
    if (!anyone_of_old && !w.old_left && !w.process[kFresh].alive && w.restarts < bounds_.restarts) {
      move("the supervisor starts a fresh life", w, [&](World& x) {
        ++x.restarts;
        begin_life(x, kFresh);
      });
    }
    if (w.old_left && !w.process[kNew].alive && !w.process[kFresh].alive && w.restarts < bounds_.restarts) {
      move("the one that watches over the new process tells the supervisor of its end", w, [&](World& x) {
        ++x.restarts;
        begin_life(x, kFresh);
      });
    }
    if (old.alive && !old.serving) steps_of_old(w);
    if (w.process[kNew].alive) steps_of_new(w);
  }

  void serve(const World& w, int p) {
    for (int m = 0; m < bounds_.messages; ++m) {
      const Belief belief = w.process[p].beliefs[m];
      const std::string who = std::string(kNames[p]) + " ", which = " message " + std::to_string(m);
      if (belief == Belief::unknown && !w.offered[m]) {
        move(who + "takes" + which, w, [&](World& x) {
          if (!append(x, p)) return;
          x.offered[m] = x.journal[m].taken = true;
          x.process[p].beliefs[m] = Belief::held;
        });
      }
      if (belief == Belief::held) {
        move(who + "sends" + which, w, [&](World& x) {
          if (!append(x, p)) return;
          x.journal[m].out = true;
          x.process[p].beliefs[m] = Belief::out;
          x.process[p].socket[m] = x.call[m] = true;
          x.runs[m] = static_cast<char>(std::min(x.runs[m] + 1, 3));
        });
      }
      if (belief == Belief::out && w.process[p].socket[m]) {
        move(who + "reads the answer of" + which, w, [&](World& x) {
          if (!append(x, p)) return;
          x.process[p].beliefs[m] = Belief::over;
          x.process[p].socket[m] = x.call[m] = false;
          x.journal[m].over = true;
          ++x.answers[m];
        });
      }
    }
  }

  // --- The old side's world
  void tell_old(World& w, const OldInput& input) {
    for (const OldEffect& effect : w.old_side.handle(Time(0), input)) {
      if (const Send* send = std::get_if<Send>(&effect)) w.to_new.push_back(send->message);
      if (std::holds_alternative<StartPeer>(effect)) w.start_due = true;
      if (std::holds_alternative<SendState>(effect)) w.state_due = true;
      if (const WriteFence* fence = std::get_if<WriteFence>(&effect)) {
        w.old_fence_due = true;
        w.old_fence_to = fence->owner;
      }
      if (std::holds_alternative<KillPeer>(effect)) {
        w.kill_due = true;
        w.state_due = false;
      }
      if (std::holds_alternative<SetTimer>(effect)) w.timer = true;
      if (std::holds_alternative<StopTimer>(effect)) w.timer = false;
      if (std::holds_alternative<Thaw>(effect)) {
        w.process[kOld].generation = w.old_side.generation();
        w.state_due = false;
      }
      if (std::holds_alternative<ExitAfterHandover>(effect)) {
        w.old_left = true;
        die(w, kOld);
      }
      if (std::holds_alternative<RestartFromJournal>(effect)) {
        die(w, kOld);
        begin_life(w, kOld);
      }
    }
  }

  // Written if the journal is still this one's to give: checked and written in one step, under its lock.
  bool fence(World& w, Generation from, Generation to) const {
    if (!bounds_.fence) return true;
    if (w.owner != from && w.owner != to) return false;
    w.owner = to;
    return true;
  }

  void steps_of_old(const World& w) {
    const bool may_fail = w.failures < bounds_.failures;
    if (w.upgrades < bounds_.upgrades && w.old_side.step() == OldSide::Step::idle && !w.process[kNew].alive) {
      fault("an upgrade is asked for", w, [&](World& x) {
        ++x.upgrades;
        x.to_new.clear();
        x.to_old.clear();
        x.new_side = NewSide(Versions{}, Limits{});
        x.old_told_dead = x.new_told_dead = false;
        tell_old(x, UpgradeRequested{});
      });
    }
    if (w.start_due) {
      move("the new program starts", w, [&](World& x) {
        x.start_due = false;
        x.process[kNew] = {};
        x.process[kNew].alive = true;
        tell_old(x, PeerStarted{});
      });
      if (may_fail) {
        fault("the new program does not start", w, [&](World& x) {
          ++x.failures;
          x.start_due = false;
          tell_old(x, PeerStarted{"no such file"});
        });
      }
    }
    if (w.state_due) {
      move("the state goes over", w, [&](World& x) {
        x.state_due = false;
        x.snapshot = x.process[kOld].beliefs;
        x.to_new.push_back(State{"s"});
        x.to_new.push_back(StateEnd{1, 0, 0});
        // The descriptors go along: who has the message has the connection.
        if (x.process[kNew].alive) x.process[kNew].socket = x.process[kOld].socket;
        tell_old(x, StateSent{});
      });
      if (may_fail) {
        fault("the state cannot be sent", w, [&](World& x) {
          ++x.failures;
          x.state_due = false;
          tell_old(x, StateSent{"no descriptors left"});
        });
      }
    }
    if (w.old_fence_due) {
      move("old writes a fence", w, [&](World& x) {
        x.old_fence_due = false;
        const bool written =
            fence(x,
                  x.old_side.step() == OldSide::Step::reclaiming ? x.old_side.generation() + 1
                                                                 : x.old_side.generation(),
                  x.old_fence_to);
        tell_old(x, FenceWritten{written ? "" : "the journal is another's"});
      });
      if (may_fail) {
        fault("old's fence fails", w, [&](World& x) {
          ++x.failures;
          x.old_fence_due = false;
          tell_old(x, FenceWritten{"no space left"});
        });
      }
    }
    if (w.kill_due) {
      move("old kills new", w, [&](World& x) {
        x.kill_due = false;
        if (x.process[kNew].alive) die(x, kNew);
      });
    }
    if (w.timer && w.timeouts < bounds_.timeouts) {
      fault("old's time runs out", w, [&](World& x) {
        ++x.timeouts;
        x.timer = false;
        tell_old(x, TimerExpired{});
      });
    }
    if (!w.to_old.empty()) {
      move("old receives", w, [&](World& x) {
        const Message message = x.to_old.front();
        x.to_old.erase(x.to_old.begin());
        tell_old(x, MessageReceived{message});
      });
    } else if (w.old_side.busy() && !w.process[kNew].alive && !w.old_told_dead && !w.start_due &&
               !w.kill_due) {
      move("old learns that new is dead", w, [&](World& x) {
        x.old_told_dead = true;
        tell_old(x, PeerExited{});
      });
    }
  }

  // --- The new side's world
  void tell_new(World& w, const NewInput& input) {
    for (const NewEffect& effect : w.new_side.handle(Time(0), input)) {
      if (const Send* send = std::get_if<Send>(&effect)) w.to_old.push_back(send->message);
      if (std::holds_alternative<CheckConfiguration>(effect) || std::holds_alternative<BuildState>(effect))
        w.check_due = true;
      if (const WriteFence* fence = std::get_if<WriteFence>(&effect)) {
        w.new_fence_due = true;
        w.new_fence_to = fence->owner;
      }
      if (const StartServing* serve = std::get_if<StartServing>(&effect)) {
        w.process[kNew].generation = serve->generation;
        w.process[kNew].beliefs = w.snapshot;
      }
      if (std::holds_alternative<Exit>(effect)) die(w, kNew);
    }
  }

  void steps_of_new(const World& w) {
    const bool may_fail = w.failures < bounds_.failures;
    if (w.check_due) {
      move("new has checked", w, [&](World& x) {
        x.check_due = false;
        tell_new(x, PreparationFinished{});
      });
      if (may_fail) {
        fault("new's check fails", w, [&](World& x) {
          ++x.failures;
          x.check_due = false;
          tell_new(x, PreparationFinished{"the configuration is bad"});
        });
      }
    }
    if (w.new_fence_due) {
      move("new writes a fence", w, [&](World& x) {
        x.new_fence_due = false;
        const bool written = fence(x, x.new_fence_to - 1, x.new_fence_to);
        tell_new(x, FenceWritten{written ? "" : "the journal is another's"});
      });
    }
    if (!w.to_new.empty()) {
      move("new receives", w, [&](World& x) {
        const Message message = x.to_new.front();
        x.to_new.erase(x.to_new.begin());
        tell_new(x, MessageReceived{message});
      });
    } else if ((!w.process[kOld].alive || w.process[kOld].serving) && !w.new_told_dead &&
               !w.new_side.serves()) {
      move("new learns that old is dead", w, [&](World& x) {
        x.new_told_dead = true;
        tell_new(x, PeerExited{});
      });
    }
  }

  const ModelBounds bounds_;
  ModelResult result_;
  std::unordered_map<std::string, std::size_t> seen_;
  std::deque<std::unique_ptr<World>> worlds_;
  std::deque<Origin> origins_;
  std::size_t from_ = 0;
  std::size_t moves_ = 0;
};

}  // namespace

ModelResult explore(const ModelBounds& bounds) { return Explorer(bounds).run(); }

}  // namespace fennellane::handover
