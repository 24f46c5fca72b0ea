#include "budget_model.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "slot.hpp"

namespace fennellane::drain {
namespace {

Time at(int ticks) { return std::chrono::seconds(ticks); }
int ticks_of(Time t) { return static_cast<int>(t / std::chrono::seconds(1)); }

struct Session {
  bool alive = true;
  int ends = 0;
  std::uint64_t since = 0;
};

struct Relay {
  std::string name, zone;
  std::unique_ptr<Slot> slot;
  int life = 0;  // answers to an earlier one are heard by nobody
  int paused_until = 0;
  std::optional<int> timer;
  int call = 0;  // the call that is out; 0: none
  int call_sent = 0;
  int calls = 0;
  bool watches = false, holds_read = false;
  std::uint64_t seen_index = 0;  // of the newest read
  BudgetSeen read;               // that is on its way
  int out_until = -1;            // out by plan
  bool late = false;             // it was paused while it was out, and is back when it wakes
  bool wants = false;
};

struct Message {
  int relay = 0, life = 0, call = 0;
  int arrives = 0;
  bool lost = false;
  bool answer = false;
  Effect effect;  // of a request
  Input input;    // of an answer
};

class Walk {
 public:
  Walk(const BudgetModelBounds& b, std::uint64_t seed, BudgetModelResult& result)
      : b_(b), random_(seed), result_(result) {
    for (int i = 0; i < b.relays; ++i) {
      Relay r;
      r.name = "r" + std::to_string(i);
      r.zone = std::string(1, static_cast<char>('a' + i % b.zones));
      relays_.push_back(std::move(r));
      begin(relays_.back());
    }
  }

  std::string run() {
    for (now_ = 0; now_ < b_.ticks; ++now_) {
      lapse();
      const int acts = draw(1, 6);
      for (int i = 0; i < acts && broken_.empty(); ++i) step();
      if (!broken_.empty()) return broken_ + ", at " + std::to_string(now_) + " s";
    }
    // From here on nothing fails, and nobody else asks.
    calm_ = true;
    for (Message& m : mail_) m.lost = false;
    for (const int end = now_ + 20 * b_.ttl; now_ < end; ++now_) {
      lapse();
      for (int i = 0; i < 12 * b_.relays && broken_.empty(); ++i) step();
      if (!broken_.empty()) return broken_ + ", at " + std::to_string(now_) + " s";
      if (std::none_of(relays_.begin(), relays_.end(), [](const Relay& r) { return r.wants; })) return "";
    }
    return "a relay that asks gets no slot";
  }

 private:
  int draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  bool spend(int& used, int bound, int one_in) {
    if (calm_ || used >= bound || draw(1, one_in) != 1) return false;
    ++used;
    return true;
  }

  void begin(Relay& r) {
    SlotSettings s;
    s.relay = r.name;
    s.zone = r.zone;
    s.cap = {b_.most, b_.per_zone, 0};
    s.ttl = at(b_.ttl);
    s.renew_every = at(b_.renew_every);
    s.margin = at(b_.margin);
    s.max_outage = at(b_.out);
    s.call = at(b_.call);
    s.retry = at(b_.retry);
    r.slot = std::make_unique<Slot>(s);
    ++r.life;
    r.timer.reset();
    r.call = 0;
    r.watches = r.holds_read = r.wants = r.late = false;
    r.out_until = -1;
  }

  void feed(Relay& r, const Input& input) {
    for (const Effect& e : r.slot->handle(at(now_), input)) carry(r, e);
    check();
  }

  void carry(Relay& r, const Effect& e) {
    if (const auto* timer = std::get_if<SetTimer>(&e)) {
      r.timer = ticks_of(timer->at + std::chrono::microseconds(999'999));
    } else if (const auto* watch = std::get_if<WatchBudget>(&e)) {
      r.watches = watch->on;
      r.holds_read = false;
      r.seen_index = 0;
    } else if (std::holds_alternative<GoOffline>(e)) {
      ++result_.outings;
      r.out_until = now_ + (b_.lasts ? draw(0, b_.out) : draw(b_.out, 2 * b_.ttl + b_.out));
    } else if (!std::holds_alternative<LogMessage>(e)) {
      r.call = ++r.calls;
      r.call_sent = now_;
      Message m{index_of(r), r.life, r.call, now_ + draw(0, b_.call + 1), spend(losses_, b_.losses, 12),
                false,       e,      {}};
      mail_.push_back(std::move(m));
    }
  }

  int index_of(const Relay& r) const { return static_cast<int>(&r - relays_.data()); }

  // --- The store
  void lapse() {
    for (auto& [id, s] : sessions_)
      if (s.alive && s.ends <= now_) {
        ++result_.lapses;
        s.alive = false;
        ++store_index_;
      }
  }
  int end_from_now() { return now_ + b_.ttl * draw(1, b_.slack); }

  BudgetSeen read() const {
    BudgetSeen seen;
    seen.budget = budget_;
    seen.index = budget_index_;
    for (const auto& [id, s] : sessions_)
      if (s.alive) seen.contenders.push_back({id, s.since});
    return seen;
  }

  std::optional<Input> answer(const Message& m) {
    if (std::holds_alternative<CreateSession>(m.effect)) {
      const std::string id = "s" + std::to_string(sessions_.size());
      sessions_[id] = {true, end_from_now(), ++store_index_};
      return SessionCreated{id, at(0)};  // the send is filled in where it is heard
    }
    if (const auto* renew = std::get_if<Renew>(&m.effect)) {
      Session& s = sessions_.at(renew->session);
      if (s.alive) s.ends = end_from_now();
      return RenewAnswer{s.alive, at(0)};
    }
    if (const auto* take = std::get_if<AcquireSlot>(&m.effect)) {
      const bool good = sessions_.at(take->session).alive && (!b_.cas || take->index == budget_index_);
      if (good) {
        budget_ = take->next;
        budget_index_ = ++store_index_;
      } else {
        ++result_.refusals;
      }
      return SlotAnswer{good};
    }
    if (const auto* end = std::get_if<DestroySession>(&m.effect)) {
      Session& s = sessions_.at(end->session);
      if (s.alive) ++store_index_;
      s.alive = false;
      return SessionDestroyed{};
    }
    return std::nullopt;
  }

  // --- One thing that may happen
  void step() {
    if (spend(restarts_, b_.restarts, 200)) {
      for (auto& [id, s] : sessions_)
        if (s.alive) s.ends = end_from_now();
      for (Message& m : mail_) m.lost = true;
      return;
    }
    if (deliver()) return;
    Relay& r = relays_[static_cast<std::size_t>(draw(0, b_.relays - 1))];
    if (r.paused_until > now_) return;
    if (spend(crashes_, b_.crashes, 80)) return begin(r);
    if (spend(pauses_, b_.pauses, 40)) {
      const int lengths[] = {1, b_.ttl / 2, 3 * b_.ttl};
      r.paused_until = now_ + lengths[draw(0, 2)];
      r.late = r.late || r.out_until >= 0;
      r.out_until = -1;
      return;
    }
    if (std::exchange(r.late, false)) {
      r.wants = false;
      return feed(r, OutageEnded{});
    }
    if (r.call != 0 && now_ >= r.call_sent + b_.call) {
      r.call = 0;
      return feed(r, CallFailed{});
    }
    if (r.out_until >= 0 && r.out_until <= now_) {
      r.out_until = -1;
      r.wants = false;
      return feed(r, OutageEnded{});
    }
    if (r.timer && *r.timer <= now_) {
      r.timer.reset();
      return feed(r, TimerExpired{});
    }
    if (r.watches && !r.holds_read && r.seen_index != store_index_) {
      r.seen_index = store_index_;
      r.read = read();
      r.holds_read = true;
      return;
    }
    if (r.holds_read) {
      r.holds_read = false;
      return feed(r, r.read);
    }
    if (calm_) return;
    if (!r.wants && draw(1, 3) == 1) {
      r.wants = true;
      return feed(r, Ask{Purpose::upgrade});
    }
    if (r.wants && r.slot->step() != Slot::Step::offline && draw(1, 60) == 1) {
      r.wants = false;
      return feed(r, Cancel{Purpose::upgrade});
    }
  }

  // A call or an answer that has come.
  bool deliver() {
    std::vector<std::size_t> due;
    for (std::size_t i = 0; i < mail_.size(); ++i)
      if (mail_[i].arrives <= now_) due.push_back(i);
    if (due.empty()) return false;
    const auto which =
        static_cast<std::ptrdiff_t>(due[static_cast<std::size_t>(draw(0, static_cast<int>(due.size()) - 1))]);
    Message m = std::move(mail_[static_cast<std::size_t>(which)]);
    Relay& r = relays_[static_cast<std::size_t>(m.relay)];
    const bool stands_still = m.answer && r.paused_until > now_;
    if (stands_still) {
      mail_[static_cast<std::size_t>(which)] = std::move(m);
      mail_[static_cast<std::size_t>(which)].arrives = r.paused_until;
      return true;
    }
    mail_.erase(mail_.begin() + which);
    if (m.lost) return true;
    if (!m.answer) {
      if (std::optional<Input> said = answer(m)) {
        m.answer = true;
        m.input = std::move(*said);
        m.arrives = now_ + draw(0, b_.call);
        m.lost = spend(losses_, b_.losses, 12);
        mail_.push_back(std::move(m));
      }
      check();
      return true;
    }
    if (m.life != r.life || m.call != r.call) return true;  // given up on
    r.call = 0;
    if (auto* made = std::get_if<SessionCreated>(&m.input)) made->sent = at(r.call_sent);
    if (auto* renewed = std::get_if<RenewAnswer>(&m.input)) renewed->sent = at(r.call_sent);
    feed(r, m.input);
    return true;
  }

  // --- The rules
  void fail(const std::string& rule) {
    if (broken_.empty()) broken_ = rule;
  }
  void check() {
    std::uint32_t slots = 0, out = 0;
    std::map<std::string, std::uint32_t> slots_of, out_of;
    if (budget_) {
      for (const Holder& h : budget_->holders) {
        if (!sessions_.at(h.session).alive) continue;
        ++slots;
        ++slots_of[h.zone];
      }
    }
    for (const Relay& r : relays_) {
      if (r.out_until < now_) continue;
      ++out;
      ++out_of[r.zone];
    }
    if (slots > b_.most) fail("more slots are held than the cap");
    if (out > b_.most) fail("more relays are out than the cap");
    for (const auto& [zone, count] : slots_of)
      if (count > b_.per_zone) fail("more slots of a zone are held than its cap");
    for (const auto& [zone, count] : out_of)
      if (count > b_.per_zone) fail("more relays of a zone are out than its cap");
  }

  const BudgetModelBounds& b_;
  std::mt19937_64 random_;
  BudgetModelResult& result_;
  int now_ = 0;
  std::vector<Relay> relays_;
  std::map<std::string, Session> sessions_;
  std::optional<Budget> budget_;
  std::uint64_t budget_index_ = 0, store_index_ = 1;
  std::vector<Message> mail_;
  int losses_ = 0, pauses_ = 0, crashes_ = 0, restarts_ = 0;
  bool calm_ = false;  // the end of the walk
  std::string broken_;
};

}  // namespace

BudgetModelResult explore(const BudgetModelBounds& bounds) {
  BudgetModelResult result;
  for (std::uint64_t walk = 0; walk < bounds.walks; ++walk) {
    ++result.walks;
    const std::string broken = Walk(bounds, bounds.seed + walk, result).run();
    if (broken.empty()) continue;
    result.broken = broken + ", walk " + std::to_string(walk);
    break;
  }
  return result;
}

}  // namespace fennellane::drain
