#include "relay.hpp"

#include <csignal>
#include <utility>

namespace fennellane {
namespace {

using std::chrono::duration_cast;
using std::chrono::steady_clock;
using std::chrono::system_clock;

Time steady_now() { return duration_cast<Time>(steady_clock::now().time_since_epoch()); }
WallTime wall_now() { return duration_cast<WallTime>(system_clock::now().time_since_epoch()); }

}  // namespace

Relay::Relay(Config config, const std::string& state_folder, std::function<Config()> reread)
    : config_(std::move(config)),
      reread_(std::move(reread)),
      discovery_address_(config_.discovery),
      io_(1),
      log_(config_.name),
      journal_(state_folder, config_.limits.journal_file),
      reducer_(config_.boot.settings, config_.limits, journal_.next_stream(), counters_),
      upstream_(io_, config_, counters_, [this](const CallEnded& ended) { input(ended); }),
      notices_(io_, config_, counters_, log_, [this](StreamId stream) { input(NoticeTaken{stream}); }),
      discovery_(io_, config_, counters_, log_,
                 [this](HostList list) {
                   input(ClusterChanged{std::move(list), false});
                   downstream_.set_ready();  // the journal was replayed before
                 }),
      downstream_(io_, config_, counters_, log_,
                  [this](Offered offer) {
                    offer.journal_has_room = journal_.has_room(offer.id.size(), offer.body->size());
                    input(offer);
                  }),
      timer_(io_),
      stop_timer_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGUSR1) {
  signals_.add(SIGHUP);
}

void Relay::run() {
  std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads must not end the relay
  downstream_.listen();
  await_signal();
  input(Started{});
  if (!config_.known.hosts.empty()) input(ClusterChanged{config_.known, true});
  restore();
  // A list saved by an earlier life may be old, but is a list: during an outage of discovery it is the only
  // one.
  if (!config_.known.hosts.empty()) downstream_.set_ready();
  notices_.start();
  discovery_.start();
  io_.run();
  // Guards against ending a connection whose request has come and has not been answered.
  io_.restart();
  io_.poll();
  print_counters();
}

void Relay::restore() {
  if (journal_.cut_bytes() > 0)
    log_("journal: cut a torn tail of " + std::to_string(journal_.cut_bytes()) + " bytes");
  const WallTime now = wall_now();
  const auto held = journal_.held();  // a copy: replaying writes to it
  for (const auto& [stream, entry] : held) {
    input(Restored{stream, entry, std::max(Time(0), entry.deadline - now),
                   std::max(Time(0), now - entry.out_since), std::max(Time(0), now - entry.doubt_since)});
  }
  if (!held.empty()) log_("journal: " + std::to_string(held.size()) + " messages go on");
}

void Relay::input(const Input& input) {
  for (Effect& effect : reducer_.reduce(steady_now(), input)) {
    std::visit([this](auto& e) { carry(e); }, effect);
  }
}

void Relay::carry(RecordTaken& e) {
  e.entry.deadline = wall_now() + e.time_left;
  journal_.taken(e.stream, std::move(e.entry));
}
void Relay::carry(RecordAttempt& e) { journal_.attempt_started(e.stream, wall_now(), e.zone); }
void Relay::carry(RecordOutcome& e) { journal_.attempt_ended(e.stream, e.may_have_run); }
void Relay::carry(RecordGivenUp& e) { journal_.given_up(e.stream, e.verdict, e.again); }
void Relay::carry(RecordEnded& e) { journal_.ended(e.stream); }
void Relay::carry(Answer& e) { downstream_.answer(e); }
void Relay::carry(StartCall& e) { upstream_.start(std::move(e)); }
void Relay::carry(CancelCall& e) { upstream_.cancel(e); }
void Relay::carry(HoldBack& e) { upstream_.hold_back(e); }
void Relay::carry(CloseIdle& e) { upstream_.close_idle(e.host); }
void Relay::carry(RetireHost& e) { upstream_.retire(e.host); }
void Relay::carry(PostNotice& e) { notices_.post(e); }
void Relay::carry(SetTimer& e) {
  timer_.expires_at(steady_clock::time_point(duration_cast<steady_clock::duration>(e.at)));
  timer_.async_wait([this](asio::error_code error) {
    if (!error) input(TimerDue{});
  });
}
void Relay::carry(Say& e) { log_(e.text); }

void Relay::await_signal() {
  signals_.async_wait([this](asio::error_code error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) {
      print_counters();
    } else if (signal == SIGHUP) {
      reload();
    } else if (!stopping_) {
      stop();
    }
    await_signal();
  });
}

// A new file is taken whole or not at all: one that cannot be used changes nothing. What is held, out or owed
// goes on, and discovery's list stands until the new address has sent one.
void Relay::reload() {
  try {
    const Config wanted = reread_();
    for (const std::string& part : fixed_parts_changed(config_, wanted)) {
      log_("reload: " + part + " has changed and needs a restart; the old one stays");
    }
    ++counters_.reloads;
    if (wanted.discovery.text() == discovery_address_.text()) return log_("reload: discovery has not moved");
    discovery_address_ = wanted.discovery;
    log_("reload: discovery is at " + discovery_address_.text());
    discovery_.redirect(discovery_address_);
    notices_.redirect(discovery_address_);
  } catch (const ConfigError& e) {
    log_(std::string("reload: the old configuration stays: ") + e.what());
  }
}

// Listens, answers and journals on to the end. Clients are sent elsewhere as they are answered, no call
// starts that may outlast the process, and what is still held is for the next life.
void Relay::stop() {
  stopping_ = true;
  const Limits& limits = config_.limits;
  log_("stopping");
  input(StopAsked{steady_now() + limits.stop_total - limits.stop_margin});
  downstream_.send_away();
  stop_timer_.expires_after(limits.stop_idle);
  stop_timer_.async_wait([this, &limits](asio::error_code error) {
    if (error) return;
    downstream_.close_idle();
    stop_timer_.expires_after(limits.stop_total - limits.stop_idle);
    stop_timer_.async_wait([this](asio::error_code e) {
      if (!e) io_.stop();
    });
  });
}

void Relay::print_counters() {
  log_.report(counters_text(
      counters_, {journal_.size(), journal_.records(), journal_.compactions(), journal_.held().size()}));
}

}  // namespace fennellane
