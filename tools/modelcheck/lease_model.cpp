#include "lease_model.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <unordered_map>

#include "lease.hpp"

namespace fennellane::lease {
namespace {

Time at(int tick) { return std::chrono::seconds(tick); }
int tick_of(Time t) { return static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(t).count()); }

enum class Kind : std::uint8_t { create, acquire, renew, release, write, call, made, locked, renewed, done };

struct Message {
  Kind kind{};
  int who = 0;
  std::string session;
  Token token = 0;
  bool flag = false;  // held, alive, holds
  int sent = 0;       // of the request that it answers
  int age = 0;        // ticks on the way
  int call_id = 0;
};

struct Session {
  std::string id;
  bool alive = true;
  int expires = 0;
};

struct Snapshot {
  std::string holder;
  Token lock_index = 0;
  std::uint64_t index = 0;
  bool lapsed = false;
};

struct Contender {
  std::shared_ptr<const Lease> lease;  // copied on write
  bool paused = false;
  int resume_at = 0;  // while paused
  std::optional<int> timer;
  int call_id = 0;  // of the call out; 0 none
  int calls_made = 0;
  int call_sent = 0;
  std::optional<Snapshot> read;     // read from Consul, not yet delivered
  std::uint64_t read_index = 0;     // of the newest read
  std::optional<Message> prepared;  // a write whose lease was checked, not yet sent
  int writes = 0, calls = 0;
};

struct World {
  int now = 0;
  std::vector<Contender> contenders;
  std::vector<Session> sessions;
  std::string holder;
  Token lock_index = 0;
  std::uint64_t modify = 1;
  bool lapsed = false;  // the newest holder has not released the lock
  int delay_until = 0;
  std::vector<Message> to_consul, to_contender;
  std::string last_acting;  // the session of the newest check that let a contender act
  int losses = 0, pauses = 0, restarts = 0, crashes = 0;
};

std::string fingerprint(const World& w) {
  std::ostringstream s;
  s << w.now << '|' << w.holder << '|' << w.lock_index << '|' << w.modify << w.lapsed << '|' << w.delay_until
    << '|' << w.last_acting << '|' << w.losses << w.pauses << w.restarts << w.crashes;
  for (const Contender& c : w.contenders) {
    s << "#" << c.lease->fingerprint(at(w.now)) << c.paused << c.resume_at << (c.timer ? *c.timer : -1) << ','
      << c.call_id << ',' << c.call_sent << ',' << c.calls_made << ',' << c.read_index << c.writes << c.calls;
    if (c.read) s << 'r' << c.read->holder << c.read->lock_index << ',' << c.read->index << c.read->lapsed;
    if (c.prepared) s << 'p' << c.prepared->session << c.prepared->token;
  }
  for (const Session& x : w.sessions) s << "$" << x.id << x.alive << x.expires;
  // Messages on the way are a set: the order in which they were sent means nothing, since any may come first.
  for (const auto* q : {&w.to_consul, &w.to_contender}) {
    std::vector<std::string> messages;
    for (const Message& m : *q) {
      std::ostringstream one;
      one << static_cast<int>(m.kind) << ',' << m.who << m.session << ',' << m.token << m.flag << ','
          << m.sent << ',' << m.age << ',' << m.call_id;
      messages.push_back(one.str());
    }
    std::sort(messages.begin(), messages.end());
    for (const std::string& m : messages) s << "m" << m;
    s << '/';
  }
  return s.str();
}

class Explorer {
 public:
  explicit Explorer(const LeaseModelBounds& b) : b_(b) {
    timing_.ttl = at(b.ttl);
    timing_.renew_every = at(b.renew_every);
    timing_.margin = at(b.margin);
    timing_.lock_delay = at(b.lock_delay);
    timing_.call = at(b.call);
    timing_.retry = at(b.retry);
    timing_.spread = Time::zero();
  }

  LeaseModelResult run() {
    World first;
    for (int i = 0; i < b_.contenders; ++i) {
      Contender c;
      c.lease = std::make_shared<const Lease>(timing_);
      first.contenders.push_back(c);
      feed(first, i, AcquireRole{});
    }
    if (b_.walks > 0) return walk(first);
    add(first, "", -1);
    while (!queue_.empty() && result_.broken.empty()) {
      if (seen_.size() > b_.most_states) {
        result_.whole = false;
        // The way to the newest state: where the bound is reached, what grows shows here.
        for (long i = static_cast<long>(parent_.size()) - 1; i > 0; i = parent_[static_cast<std::size_t>(i)])
          result_.trace.push_back(step_[static_cast<std::size_t>(i)]);
        std::reverse(result_.trace.begin(), result_.trace.end());
        break;
      }
      const auto [w, index] = std::move(queue_.front());
      queue_.pop_front();
      successors(w, static_cast<long>(index));
    }
    result_.states = seen_.size();
    return result_;
  }

 private:
  // Random walks from the start to the horizon, each step drawn among all that may happen: a sample of the
  // interleavings where all of them are too many.
  LeaseModelResult walk(const World& first) {
    walking_ = true;
    std::mt19937_64 random(b_.seed);
    for (std::size_t n = 0; n < b_.walks && result_.broken.empty(); ++n) {
      World w = first;
      walked_.clear();
      while (result_.broken.empty()) {
        options_.clear();
        successors(w, -1);
        if (options_.empty()) break;
        auto& [next, step] =
            options_[std::uniform_int_distribution<std::size_t>(0, options_.size() - 1)(random)];
        walked_.push_back(step);
        w = std::move(next);
        ++result_.states;
      }
    }
    return result_;
  }

  void add(const World& w, const std::string& step, long parent) {
    ++result_.transitions;
    if (!result_.broken.empty()) return;
    if (walking_) {
      options_.emplace_back(w, step);
      return;
    }
    // A hash of 64 bits stands for the state: two states taken for one are unlikely below billions.
    auto [it, fresh] = seen_.emplace(std::hash<std::string>{}(fingerprint(w)), parent_.size());
    if (!fresh) return;
    parent_.push_back(parent);
    step_.push_back(step);
    queue_.emplace_back(w, it->second);
  }

  void fail(const std::string& rule, const std::string& step, long parent) {
    if (!result_.broken.empty()) return;
    result_.broken = rule;
    if (walking_) {
      result_.trace = walked_;
      result_.trace.push_back(step);
      return;
    }
    std::vector<std::string> trace{step};
    for (long i = parent; i > 0; i = parent_[static_cast<std::size_t>(i)])
      trace.push_back(step_[static_cast<std::size_t>(i)]);
    result_.trace.assign(trace.rbegin(), trace.rend());
  }

  // Gives one input to a contender's lease and carries out its effects.
  void feed(World& w, int who, const Input& input) {
    Contender& c = w.contenders[who];
    auto lease = std::make_shared<Lease>(*c.lease);
    const std::vector<Effect> effects = lease->handle(at(w.now), input);
    c.lease = lease;
    for (const Effect& effect : effects) {
      Message m;
      m.who = who;
      m.sent = w.now;
      if (const auto* e = std::get_if<AcquireLock>(&effect)) {
        m.kind = Kind::acquire;
        m.session = e->session;
      } else if (const auto* e = std::get_if<RenewSession>(&effect)) {
        m.kind = Kind::renew;
        m.session = e->session;
      } else if (const auto* e = std::get_if<ReleaseSession>(&effect)) {
        m.kind = Kind::release;
        m.session = e->session;
        m.flag = e->holds_lock;
      } else if (std::holds_alternative<CreateSession>(effect)) {
        m.kind = Kind::create;
      } else if (const auto* e = std::get_if<SetTimer>(&effect)) {
        c.timer = tick_of(e->at);
        continue;
      } else if (std::holds_alternative<LeaseInactive>(effect)) {
        c.prepared.reset();  // what is under way is called off, where the process runs
        continue;
      } else {
        continue;
      }
      m.call_id = ++c.calls_made;
      c.call_id = m.call_id;
      c.call_sent = w.now;
      w.to_consul.push_back(m);
    }
  }

  void invalidate(World& w, Session& s) {
    s.alive = false;
    if (w.holder == s.id) {
      w.holder.clear();
      w.lapsed = true;
      ++w.modify;
      w.delay_until = w.now + b_.lock_delay;
    }
  }

  // Consul reads one request and answers it.
  void consul_reads(World& w, const Message& m, const std::string& step, long parent) {
    Session* s = nullptr;
    for (Session& x : w.sessions)
      if (x.id == m.session && x.alive) s = &x;
    Message answer;
    answer.who = m.who;
    answer.sent = m.sent;
    answer.call_id = m.call_id;
    switch (m.kind) {
      case Kind::create: {
        w.sessions.push_back(Session{"s" + std::to_string(w.sessions.size() + 1), true, w.now + b_.ttl});
        answer.kind = Kind::made;
        answer.session = w.sessions.back().id;
        break;
      }
      case Kind::acquire:
        answer.kind = Kind::locked;
        if (s && w.holder == s->id) {
          answer.flag = true;
        } else if (s && w.holder.empty() && w.now >= w.delay_until) {
          w.holder = s->id;
          w.lapsed = false;
          ++w.lock_index;
          ++w.modify;
          answer.flag = true;
        }
        break;
      case Kind::renew:
        answer.kind = Kind::renewed;
        answer.flag = s != nullptr;
        if (s) s->expires = w.now + b_.ttl;
        break;
      case Kind::release:
        answer.kind = Kind::done;
        // A release by its holder starts no lock-delay; a session that is destroyed while it holds does.
        if (m.flag && s && w.holder == s->id) {
          w.holder.clear();
          ++w.modify;
        }
        if (s) invalidate(w, *s);
        break;
      case Kind::write: {
        const bool holds = s && w.holder == s->id && w.lock_index == m.token;
        if (!holds && !b_.fence)
          fail("a write was taken from a session that does not hold the lock", step, parent);
        return;  // with the fence, one that does not hold is refused by check-session
      }
      case Kind::call:
        if (w.last_acting != m.session) fail("a call landed after another session had acted", step, parent);
        return;
      default:
        return;
    }
    w.to_contender.push_back(answer);
  }

  void contender_reads(World& w, const Message& m) {
    Contender& c = w.contenders[m.who];
    if (m.call_id != c.call_id) return;  // given up on by its time-out
    c.call_id = 0;
    const Time sent = at(b_.from_answer ? w.now : m.sent);
    switch (m.kind) {
      case Kind::made:
        feed(w, m.who, SessionCreated{m.session, sent});
        break;
      case Kind::locked:
        feed(w, m.who, AcquireAnswered{m.flag, sent});
        break;
      case Kind::renewed:
        feed(w, m.who, RenewAnswered{m.flag, sent});
        break;
      case Kind::done:
        feed(w, m.who, SessionReleased{});
        break;
      default:
        break;
    }
  }

  // What must happen before the clock moves on, where its process runs.
  bool due(const World& w) const {
    for (const Message& m : w.to_consul)
      if (m.age >= 1) return true;
    for (const Message& m : w.to_contender)
      if (m.age >= 1 && !w.contenders[m.who].paused) return true;
    for (const Contender& c : w.contenders) {
      if (c.paused && w.now >= c.resume_at) return true;
      if (c.paused) continue;
      if (c.timer && *c.timer <= w.now) return true;
      if (c.call_id != 0 && w.now >= c.call_sent + b_.call) return true;
    }
    for (const Session& s : w.sessions)
      if (s.alive && w.now >= s.expires + b_.ttl) return true;  // Consul waits up to twice the TTL
    return false;
  }

  void successors(const World& w, long index) {
    const auto next = [&](const std::string& step, auto change) {
      World n = w;
      change(n);
      add(n, step, index);
    };
    for (std::size_t i = 0; i < w.to_consul.size(); ++i) {
      const std::string step = "consul reads " + describe(w.to_consul[i]);
      World n = w;
      const Message m = n.to_consul[i];
      n.to_consul.erase(n.to_consul.begin() + static_cast<long>(i));
      consul_reads(n, m, step, index);
      add(n, step, index);
      if (w.losses < b_.losses && m.kind != Kind::write && m.kind != Kind::call)
        next("lost: " + describe(m), [&](World& x) {
          x.to_consul.erase(x.to_consul.begin() + static_cast<long>(i));
          ++x.losses;
        });
    }
    for (std::size_t i = 0; i < w.to_contender.size(); ++i) {
      const Message& m = w.to_contender[i];
      if (w.contenders[m.who].paused) continue;
      next("c" + std::to_string(m.who) + " reads " + describe(m), [&](World& x) {
        const Message copy = x.to_contender[i];
        x.to_contender.erase(x.to_contender.begin() + static_cast<long>(i));
        contender_reads(x, copy);
      });
      if (w.losses < b_.losses)
        next("lost: " + describe(m), [&](World& x) {
          x.to_contender.erase(x.to_contender.begin() + static_cast<long>(i));
          ++x.losses;
        });
    }
    for (int who = 0; who < static_cast<int>(w.contenders.size()); ++who) {
      const Contender& c = w.contenders[who];
      const std::string name = "c" + std::to_string(who);
      if (c.paused) {
        if (w.now >= c.resume_at)
          next(name + " resumes", [&](World& x) { x.contenders[who].paused = false; });
        continue;
      }
      // A pause of one tick, of half a TTL, or past the TTL, Consul's slack and the lock-delay: shorter than
      // the margin, within the lease, and past any new owner's start.
      if (w.pauses < b_.pauses)
        for (const int length : {1, b_.ttl / 2, 2 * b_.ttl + b_.lock_delay + 1})
          next(name + " is paused for " + std::to_string(length), [&](World& x) {
            x.contenders[who].paused = true;
            x.contenders[who].resume_at = x.now + length;
            ++x.pauses;
          });
      if (c.timer && *c.timer <= w.now)
        next(name + " timer", [&](World& x) {
          x.contenders[who].timer.reset();
          feed(x, who, TimerExpired{});
        });
      if (c.call_id != 0 && w.now >= c.call_sent + b_.call)
        next(name + " call timed out", [&](World& x) {
          x.contenders[who].call_id = 0;
          feed(x, who, CallFailed{});
        });
      // The blocking read: Consul's key as it is now, handed over at some later step.
      if (!c.read && w.modify > c.read_index)
        next(name + " reads the key", [&](World& x) {
          x.contenders[who].read = Snapshot{x.holder, x.lock_index, x.modify, x.lapsed};
          x.contenders[who].read_index = x.modify;
        });
      if (c.read)
        next(name + " hears the key: " + (c.read->holder.empty() ? "free" : c.read->holder), [&](World& x) {
          const Snapshot s = *x.contenders[who].read;
          x.contenders[who].read.reset();
          feed(x, who, KeyRead{s.holder, s.lock_index, s.index, false, s.lapsed});
        });
      const bool acts = c.lease->may_act(at(w.now));
      if (acts && (c.writes < b_.writes || c.calls < b_.calls)) check_lease(w, who, index);
      if (c.prepared)
        next(name + " sends its write", [&](World& x) {
          Contender& y = x.contenders[who];
          x.to_consul.push_back(*y.prepared);
          y.prepared.reset();
        });
    }
    for (int who = 0; w.crashes < b_.crashes && who < static_cast<int>(w.contenders.size()); ++who)
      next("c" + std::to_string(who) + " is killed and starts again", [&](World& x) {
        ++x.crashes;
        Contender fresh;  // what it had sent goes on; its answers find nobody
        fresh.lease = std::make_shared<const Lease>(timing_);
        fresh.calls_made = x.contenders[who].calls_made;
        fresh.writes = x.contenders[who].writes;
        fresh.calls = x.contenders[who].calls;
        x.contenders[who] = fresh;
        feed(x, who, AcquireRole{});
      });
    if (w.restarts < b_.restarts)
      next("consul restarts", [&](World& x) {
        ++x.restarts;
        x.to_consul.clear();  // its connections are reset; what was on them is lost
        x.to_contender.clear();
        for (Session& s : x.sessions)
          if (s.alive) s.expires = x.now + b_.ttl;  // as at a leader's change
      });
    for (std::size_t i = 0; i < w.sessions.size(); ++i)
      if (w.sessions[i].alive && w.now >= w.sessions[i].expires)
        next("consul invalidates " + w.sessions[i].id, [&](World& x) { invalidate(x, x.sessions[i]); });
    if (w.now < b_.ticks && !due(w))
      next("tick " + std::to_string(w.now + 1), [&](World& x) {
        ++x.now;
        for (auto* q : {&x.to_consul, &x.to_contender})
          for (Message& m : *q) m.age = 1;  // only whether a tick has passed matters
      });
  }

  // Rule (1) at the check, then a write prepared or a call sent.
  void check_lease(const World& w, int who, long index) {
    const Contender& c = w.contenders[who];
    const std::string session = c.lease->session();
    const Token token = *c.lease->token();
    const std::string step =
        "c" + std::to_string(who) + " acts with " + session + ", token " + std::to_string(token);
    ++result_.acts;
    if (w.holder != session || w.lock_index != token) {
      fail("a lease let its contender act while Consul held the lock otherwise", step, index);
      return;
    }
    if (c.writes < b_.writes && !c.prepared) {
      World n = w;
      n.last_acting = session;
      ++n.contenders[who].writes;
      n.contenders[who].prepared = Message{Kind::write, who, session, token, false, w.now, 0, 0};
      add(n, step + ": write", index);
    }
    if (c.calls < b_.calls) {
      World n = w;
      n.last_acting = session;
      ++n.contenders[who].calls;
      n.to_consul.push_back(Message{Kind::call, who, session, token, false, w.now, 0, 0});
      add(n, step + ": call", index);
    }
  }

  static std::string describe(const Message& m) {
    static const char* names[] = {"create", "acquire", "renew",  "release", "write",
                                  "call",   "made",    "locked", "renewed", "done"};
    std::string text = std::string(names[static_cast<int>(m.kind)]) + " of c" + std::to_string(m.who);
    if (!m.session.empty()) text += " " + m.session;
    if (m.kind == Kind::locked || m.kind == Kind::renewed) text += m.flag ? " yes" : " no";
    return text;
  }

  const LeaseModelBounds b_;
  Timing timing_;
  LeaseModelResult result_;
  std::unordered_map<std::size_t, std::size_t> seen_;  // by the hash of its fingerprint
  std::vector<long> parent_;                           // by state, for the trace
  std::vector<std::string> step_;
  std::deque<std::pair<World, std::size_t>> queue_;  // what is still to be explored
  bool walking_ = false;
  std::vector<std::pair<World, std::string>> options_;  // of the walk's next step
  std::vector<std::string> walked_;
};

}  // namespace

LeaseModelResult explore(const LeaseModelBounds& bounds) { return Explorer(bounds).run(); }

}  // namespace fennellane::lease
