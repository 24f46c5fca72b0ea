#include "fleet_lab.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>
#include <thread>
#include <utility>

#include "ejection_agent.hpp"
#include "load.hpp"

namespace fennellane::harness {
namespace {

using std::chrono::steady_clock;

constexpr const char* kService = "relays";

std::string ms(const char* name, int value) {
  return std::string("(") + name + "-ms " + std::to_string(value) + ") ";
}

standin::StoreRules rules_of(const LabSettings& settings) {
  standin::StoreRules rules;
  rules.least_ttl = milliseconds(100);  // as agents with a low session_ttl_min
  rules.fence = settings.fence;
  rules.cas = settings.cas;
  // Anything between its TTL and twice that.
  rules.ttl_slack = ttl_slack(settings.seed);
  return rules;
}

// Of this process alone: seen with eight labs at once, a message was offered to the port of a relay that was
// down, and another lab's relay, which had got that port, took it on.
std::string own_host() {
  const int pid = ::getpid();
  return "127." + std::to_string(16 + pid / 256 % 200) + "." + std::to_string(pid % 256) + ".1";
}

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed) {}
  int operator()(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }

 private:
  std::mt19937_64 random_;
};

}  // namespace

milliseconds add_budget(LabSettings& settings, std::size_t most, std::size_t per_zone, bool stops) {
  // Of the sessions; the roles' are the lease's own.
  const int ttl = stops ? 11000 : 1800;
  settings.most = most;
  settings.per_zone = per_zone;
  settings.drain = "(drain (zone \"@zone\") (most " + std::to_string(most) + ") (per-zone " +
                   std::to_string(per_zone) + ") " + ms("ttl", ttl) + ms("renew", stops ? 1000 : 300) +
                   ms("margin", 100) + ms("out", stops ? 9000 : 1000) + ms("call", stops ? 500 : 150) +
                   ms("retry", 50) + ") ";
  settings.more += "(upgrade (start-ms 20000) (state-ms 20000) (taken-ms 20000))\n";
  return milliseconds(ttl);
}

void add_ejection(LabSettings& settings, std::size_t failing, std::size_t percent, int slower) {
  settings.role = "ejection";
  settings.destinations = 2;
  settings.time_left_ms = 3000;
  // And the only host of the first destination.
  settings.most_ejected = std::max<std::size_t>(1, percent * (failing + 1) / 100) + 1;
  settings.drain = "(ejection (percent " + std::to_string(percent) + ") (all-percent 100) (voices 2) " +
                   ms("every", 50 * slower) + ms("stale", 375 * slower) + ") ";
  const auto host = [&settings](const std::string& id, const std::string& address) {
    settings.more += "(host (id \"" + id + "\") (address \"" + address + "\") (destination 1) (rate 1000))\n";
  };
  host("well", "@partner");
  for (std::size_t i = 0; i < failing; ++i)
    host("ill" + std::to_string(i), "127.0.0.1:1");  // nobody is there
}

double ttl_slack(std::uint64_t seed) { return 1 + static_cast<double>(seed % 5) / 4; }

std::string text_of(const Fault& f) {
  constexpr const char* kNames[] = {"pause",  "kill",    "end",        "consul_path",    "partner_path",
                                    "outing", "upgrade", "late_write", "consul_restart", "consul_loss"};
  std::string text = std::to_string(f.at.count()) + " ms: " + kNames[static_cast<int>(f.kind)];
  if (f.kind == Fault::Kind::consul_path || f.kind == Fault::Kind::partner_path)
    text += std::string(" ") + name_of(f.path);
  if (f.kind < Fault::Kind::consul_restart)
    text += (f.relay < 0 ? " of the holder" : " of relay " + std::to_string(f.relay)) + " for " +
            std::to_string(f.span.count()) + " ms";
  return text;
}

std::vector<Fault> draw_faults(std::uint64_t seed, std::size_t count, std::size_t relays,
                               const LabTiming& t) {
  Draw draw(seed);
  std::vector<Fault> faults;
  // From shorter than the margin to past the TTL with its slack and the lock-delay.
  const int spans[] = {t.margin / 2, t.ttl / 2, t.ttl, 2 * t.ttl + t.lock_delay + t.margin};
  int at = 2 * t.spread + 200;
  for (std::size_t i = 0; i < count; ++i) {
    Fault f;
    const int kind = draw(0, 99);
    f.kind = kind < 25   ? Fault::Kind::pause
             : kind < 37 ? Fault::Kind::kill
             : kind < 43 ? Fault::Kind::end
             : kind < 67 ? Fault::Kind::consul_path
             : kind < 78 ? Fault::Kind::partner_path
             : kind < 94 ? Fault::Kind::late_write
                         : Fault::Kind::consul_restart;
    at += draw(0, t.ttl);
    f.at = milliseconds(at);
    f.span = milliseconds(spans[draw(0, 3)] * draw(80, 120) / 100);
    f.relay = draw(0, 2) == 0 ? draw(0, static_cast<int>(relays) - 1) : -1;
    if (f.kind == Fault::Kind::late_write) {
      f.relay = -1;
      // After the next owner has begun, or when nobody holds the role: in the lock-delay.
      f.span = draw(0, 1) == 0 ? milliseconds(spans[3] + 2 * t.spread + t.retry)
                               : milliseconds(static_cast<int>(t.ttl * ttl_slack(seed)) + t.lock_delay / 2);
    }
    f.path = static_cast<PathFault>(draw(1, kPathFaults - 1));
    faults.push_back(f);
  }
  return faults;
}

std::vector<Fault> draw_outings(std::uint64_t seed, std::size_t count, std::size_t relays, milliseconds ttl,
                                bool stops) {
  Draw draw(seed);
  std::vector<Fault> faults;
  int at = 300;
  for (std::size_t i = 0; i < count; ++i) {
    Fault f;
    const int kind = draw(0, 99);
    f.kind = kind < 60   ? (stops && kind < 30 ? Fault::Kind::outing : Fault::Kind::upgrade)
             : kind < 74 ? Fault::Kind::pause
             : kind < 80 ? Fault::Kind::kill
             : kind < 96 ? Fault::Kind::consul_path
                         : Fault::Kind::consul_restart;
    at += draw(0, 3) == 0 ? draw(0, 400) : draw(0, 40);
    f.at = milliseconds(at);
    const int spans[] = {60, static_cast<int>(ttl.count()) / 2, static_cast<int>(ttl.count()) * 5 / 2};
    f.span = milliseconds(spans[draw(0, 2)]);
    f.relay = draw(0, static_cast<int>(relays) - 1);
    f.path = static_cast<PathFault>(draw(1, kPathFaults - 1));
    faults.push_back(f);
  }
  return faults;
}

std::string FleetLab::zone(std::size_t i) const {
  return std::string(1, static_cast<char>('a' + i % settings_.zones));
}

FleetLab::FleetLab(const LabSettings& settings)
    : settings_(settings), consul_(rules_of(settings)), partner_(milliseconds(3)) {
  for (std::size_t i = 0; i < settings_.relays; ++i) {
    auto member = std::make_unique<Member>();
    const std::string own = "127.0.0." + std::to_string(10 + i % 200);
    member->to_consul = std::make_unique<FaultProxy>(loop_, own, own, consul_.address());
    member->to_partner = std::make_unique<FaultProxy>(loop_, own, own, partner_.address());
    member->process = std::make_unique<standin::RelayProcess>(settings_.program, own_host());
    members_.push_back(std::move(member));
    members_.back()->process->replace_settings(settings_text(i));
  }
}

// A stopped process can be killed all the same.
FleetLab::~FleetLab() {
  for (const auto& member : members_) member->process.reset();
}

std::string FleetLab::settings_text(std::size_t i) const {
  const Member& m = *members_[i];
  const LabTiming& t = settings_.timing;
  std::string drain = settings_.drain;
  if (const std::size_t at = drain.find("@zone"); at != std::string::npos) drain.replace(at, 5, zone(i));
  std::string more = settings_.more;
  if (const std::size_t at = more.find("@partner"); at != std::string::npos)
    more.replace(at, 8, m.to_partner->address());
  return "(name \"r" + std::to_string(i) + "\") (listen \"" + m.process->address() + "\")\n" +
         "(limits (sockets 256) (memory-mb 64) (disk-mb 3)) (log (lines 100000))\n"
         "(class (name \"note\") (effect \"free\") (aim-ms 2000) (give-up-ms 20000) (late-worth 0.4))\n"
         "(class (name \"pay\") (effect \"single_shot\") (aim-ms 2000) (give-up-ms 20000) (worth 3))\n"
         "(tenant (name \"north\") (rate 100)) (delivery (connect-ms 300))\n"
         "(membership \"list\") (host (id \"p\") (address \"" +
         m.to_partner->address() + "\") (destination 0) (rate 1000))\n" + "(consul (address \"" +
         m.to_consul->address() + "\"))\n(fleet (prefix \"lab\") (roles \"" + settings_.role + "\") " +
         drain + ms("ttl", t.ttl) + ms("renew", t.renew) + ms("margin", t.margin) +
         ms("lock-delay", t.lock_delay) + ms("call", t.call) + ms("retry", t.retry) + ms("spread", t.spread) +
         ms("wait", t.wait) + "(consul-least-ttl-ms 100) (sweep (service \"" + kService +
         "\") (every-ms 20) (stale-after-ms 0)))\n" + more;
}

void FleetLab::start() {
  std::vector<std::thread> starting;
  for (const auto& member : members_) {
    starting.emplace_back([&member] { member->process->start(); });
    member->up = true;
  }
  for (std::thread& thread : starting) thread.join();
}

std::size_t FleetLab::holder() const {
  using Kind = standin::StoreEvent::Kind;
  std::string name;
  for (const standin::StoreEvent& e : consul_.events()) {
    if (e.key != "lab/role/" + settings_.role) continue;
    if (e.kind == Kind::acquired) name = e.value;
    if (e.kind == Kind::released || e.kind == Kind::lost) name.clear();
  }
  return name.empty() ? members_.size() : static_cast<std::size_t>(std::stoul(name.substr(1)));
}

bool FleetLab::waits_for_holder_other_than(std::size_t relay, std::chrono::seconds limit) const {
  return standin::happens([&] { return holder() != relay && holder() < members_.size(); }, limit);
}

void FleetLab::leave_registration() {
  standin::CatalogueHost host;
  host.node = "gone-" + std::to_string(left_);
  host.id = "relay-" + std::to_string(left_++);
  host.status = "critical";
  consul_.put(kService, host);
}

std::size_t FleetLab::registrations_left() {
  std::size_t left = 0;
  consul_.change(kService, [&left](standin::ConsulAgent::Hosts& hosts) { left = hosts.size(); });
  return left;
}

// One message to a relay that is up; a client that hears no answer has handed in nothing, for all it knows.
void FleetLab::offer() {
  const std::size_t i = offered_ % members_.size();
  if (members_[i]->up) {
    offer_to(i);
  } else {
    ++offered_;
  }
}

bool FleetLab::offer_to(std::size_t i) {
  const std::size_t turn = offered_ / members_.size();
  const bool pay = turn % 2 == 0;
  const std::size_t destination = pay ? 0 : turn / 2 % settings_.destinations;
  const std::string id = "m" + std::to_string(offered_++);
  if (members_[i]->process->ask(
          standin::message_text(id, pay, destination, 200, std::to_string(settings_.time_left_ms))) != 202)
    return false;
  taken_[id] = "r" + std::to_string(i);
  if (pay) pays_.insert(id);
  return true;
}

void FleetLab::begin(const Fault& f, std::size_t relay) {
  Member& m = *members_[relay];
  switch (f.kind) {
    case Fault::Kind::pause:
      if (m.up) ::kill(m.stopped = m.process->serving(), SIGSTOP);
      m.disturbed = m.disturbed || m.leaves;
      m.up = false;
      break;
    case Fault::Kind::outing:
      ask_outing(relay);
      break;
    case Fault::Kind::upgrade:
      if (m.up && !m.leaves) m.process->signal(SIGUSR2);
      break;
    case Fault::Kind::kill:
    case Fault::Kind::end:
      if (m.up) m.process->end(f.kind == Fault::Kind::kill ? SIGKILL : SIGTERM);
      m.up = m.leaves = m.disturbed = false;
      break;
    case Fault::Kind::consul_path:
      m.to_consul->set(f.path, milliseconds(settings_.timing.margin));
      break;
    case Fault::Kind::late_write:
      // The look before the write goes out and its answer waits; let in, it finds the way out closed.
      m.to_consul->set(PathFault::hold_down);
      leave_registration();  // so that there is something to write
      std::this_thread::sleep_for(milliseconds(settings_.timing.call / 2));
      m.to_consul->set(PathFault::hold_up);
      break;
    case Fault::Kind::partner_path:
      m.to_partner->set(f.path, milliseconds(settings_.timing.margin));
      break;
    case Fault::Kind::consul_restart:
      consul_.restart(true);
      break;
    case Fault::Kind::consul_loss:
      state_kept_ = false;
      consul_.restart(false);
      break;
  }
}

void FleetLab::end(const Fault& f, std::size_t relay) {
  Member& m = *members_[relay];
  switch (f.kind) {
    case Fault::Kind::pause:
      if (m.stopped > 0) ::kill(m.stopped, SIGCONT);
      m.up = m.stopped > 0 || m.up;
      m.stopped = 0;
      break;
    case Fault::Kind::kill:
    case Fault::Kind::end:
      m.process->start();
      m.up = true;
      break;
    case Fault::Kind::consul_path:
    case Fault::Kind::late_write:
      m.to_consul->set(PathFault::none);
      break;
    case Fault::Kind::partner_path:
      m.to_partner->set(PathFault::none);
      break;
    default:
      break;
  }
}

void FleetLab::ask_outing(std::size_t relay) {
  Member& m = *members_[relay];
  if (!m.up || m.leaves) return;
  m.leaves = true;
  m.process->signal(SIGTERM);
}

// Those that have gone start again, and with that their outage by plan is over. It began when they let go of
// their clients, which is limits.stop_total before they end; a part of that is left out, so that no outage
// counts as longer than it was.
void FleetLab::bring_back() {
  constexpr milliseconds kSurelyOut{2900};
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Member& m = *members_[i];
    if (!m.leaves || !m.process->ended()) continue;
    const auto ended = steady_clock::now();
    m.process->start();
    m.leaves = false;
    if (!std::exchange(m.disturbed, false))
      outages_.push_back({"r" + std::to_string(i), zone(i), ended - kSurelyOut, steady_clock::now()});
  }
}

std::size_t FleetLab::resting() {
  const standin::StoreAnswer answer =
      consul_.ask({"GET", "/v1/kv/lab/ejection/relay/", {{"recurse", ""}}, ""});
  std::vector<ejection::StoredReport> reports;
  if (answer.status == 200) read_reports(answer.body, reports);
  std::map<std::string, std::size_t> relays;
  for (const ejection::StoredReport& read : reports)
    for (const ejection::DegradedEndpoint& a : read.report.degraded_endpoints)
      relays[a.host] += a.kind == ejection::DegradationKind::failing && !a.exempt ? 1 : 0;
  return static_cast<std::size_t>(
      std::count_if(relays.begin(), relays.end(), [](const auto& each) { return each.second >= 2; }));
}

bool FleetLab::settled() {
  bring_back();
  if (std::any_of(members_.begin(), members_.end(), [](const auto& m) { return m->leaves; })) return false;
  if (!settings_.drain.empty()) {
    // Nothing of the budget but its lock key: no slot is held and nobody waits for one.
    const standin::StoreAnswer left = consul_.ask({"GET", "/v1/kv/lab/budget/", {{"recurse", ""}}, ""});
    if (left.status == 200 && left.body.find("\"Session\"") != std::string::npos) return false;
  }
  if (holder() >= members_.size()) return false;
  if (settings_.most_ejected > 0 && resting() > settings_.most_ejected) return false;
  if (settings_.role == "sweep" && registrations_left() > 0) return false;
  return std::all_of(members_.begin(), members_.end(),
                     [](const auto& m) { return m->process->counter("journal.held") == 0; });
}

History FleetLab::run(const std::vector<Fault>& faults) {
  start();
  const auto began = steady_clock::now();
  struct Standing {
    Fault fault;
    std::size_t relay = 0;
    steady_clock::time_point until;
  };
  std::vector<Standing> standing;
  std::vector<bool> busy(members_.size(), false);  // one fault a relay at a time
  std::size_t next = 0;
  steady_clock::time_point last_offer{}, last_left{};
  while (next < faults.size() || !standing.empty()) {
    const auto now = steady_clock::now();
    std::erase_if(standing, [&](const Standing& s) {
      if (s.until > now) return false;
      end(s.fault, s.relay);
      busy[s.relay] = false;
      return true;
    });
    if (next < faults.size() && began + faults[next].at <= now) {
      const Fault& f = faults[next++];
      std::size_t relay = f.relay >= 0 ? static_cast<std::size_t>(f.relay) : holder();
      if (relay >= members_.size()) relay = next % members_.size();
      const bool of_a_relay = f.kind < Fault::Kind::consul_restart;
      if (!of_a_relay) {
        begin(f, relay);
      } else if (!busy[relay]) {
        begin(f, relay);
        if (f.kind == Fault::Kind::outing || f.kind == Fault::Kind::upgrade) continue;
        busy[relay] = true;
        standing.push_back({f, relay, steady_clock::now() + f.span});
      }
    }
    if (settings_.messages && now - last_offer > milliseconds(15)) {
      offer();
      last_offer = now;
    }
    bring_back();
    if (now - last_left > milliseconds(40)) {
      if (settings_.role == "sweep") leave_registration();
      last_left = now;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  recovered_ = standin::happens([this] { return settled(); }, std::chrono::seconds(40));
  return history();
}

History FleetLab::history() {
  History h;
  h.store = consul_.events();
  for (const standin::PartnerCall& call : partner_.calls())
    h.calls.push_back({call.id, call.from, call.first_byte});
  h.taken = taken_;
  h.pays = pays_;
  h.lock_delay = milliseconds(settings_.timing.lock_delay);
  h.state_kept = state_kept_;
  h.outages = outages_;
  h.most = settings_.most;
  h.per_zone = settings_.per_zone;
  h.most_ejected = settings_.most_ejected;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const std::string name = "r" + std::to_string(i);
    const Member& m = *members_[i];
    if (m.up && !m.leaves && m.process->pid() > 0 && m.process->gone()) {
      const std::string said = m.process->log();
      h.ended = name + ", whose log ends with:\n" +
                said.substr(said.size() - std::min<std::size_t>(said.size(), 2000));
    }
    h.held += m.process->counter("journal.held");
    std::istringstream log(members_[i]->process->log());
    for (std::string line; std::getline(log, line);) {
      const std::string told = name + ": undelivered: ",
                        acts = name + ": lease: " + settings_.role + ": acts, token ";
      if (line.starts_with(told))
        h.undelivered.insert(line.substr(told.size(), line.rfind(':') - told.size()));
      if (line.starts_with(acts))
        h.claims.push_back({name, settings_.role, true, std::stoull(line.substr(acts.size()))});
    }
  }
  return h;
}

}  // namespace fennellane::harness
