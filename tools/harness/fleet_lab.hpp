// Several relays as processes, a Consul, a partner, and a fault proxy on every path between them, played by a
// seeded schedule of faults; all that matters is recorded for the checker. Loopback only, bounded in time,
// and everything it starts it ends.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "consul_agent.hpp"
#include "fault_proxy.hpp"
#include "history.hpp"
#include "partner.hpp"
#include "relay_process.hpp"

namespace fennellane::harness {

using std::chrono::milliseconds;

// The lease's times, all scaled down together, so that a schedule lasts seconds.
struct LabTiming {
  int ttl = 600, renew = 150, margin = 80, lock_delay = 300, call = 150, retry = 50, spread = 100,
      wait = 1000;
};

struct LabSettings {
  std::string program;  // of the relay
  std::size_t relays = 3;
  std::uint64_t seed = 1;
  LabTiming timing;
  bool fence = true;             // false: a planted bug of the store
  bool cas = true;               // false: another
  bool messages = true;          // clients hand in messages meanwhile
  int time_left_ms = 20000;      // of a message
  std::size_t faults = 4;        // of a random schedule
  std::string more;              // settings of every relay; `@partner` stands for its way to the partner
  std::size_t destinations = 1;  // notes go to in turn; `more` has the hosts of all but the first
  std::string role = "sweep";
  // Of the section fleet, where there is a disruption budget; `@zone` stands for the relay's zone.
  std::string drain;
  std::size_t most = 0, per_zone = 0;  // as `drain` has them, for the checker
  std::size_t zones = 2;               // given in turn: a, b, a, b
  std::size_t most_ejected = 0;        // endpoints that a verdict may let rest, for the checker; 0: any
};

struct Fault {
  enum class Kind : std::uint8_t {
    pause,           // SIGSTOP, and SIGCONT after `span`
    kill,            // SIGKILL, and a new life after `span`
    end,             // SIGTERM, likewise
    consul_path,     // `path` between this relay and Consul for `span`
    partner_path,    // `path` between this relay and the partner for `span`
    outing,          // SIGTERM, and a new life once it has gone, with a slot of the budget
    upgrade,         // SIGUSR2
    late_write,      // what it next writes in its role stands still on the way for `span`, and arrives then
    consul_restart,  // its state kept
    consul_loss      // its state lost
  };
  Kind kind{};
  milliseconds at{}, span{};
  int relay = -1;  // -1: the one that holds the role then, or any where nobody does
  PathFault path{};
};
// A disruption budget of so many relays for `settings`, with times scaled down; with `stops` long enough for
// an outing by SIGTERM, which takes 3.2 s, and without for an upgrade. Returns the time that a session lasts.
milliseconds add_budget(LabSettings& settings, std::size_t most, std::size_t per_zone, bool stops);
// A destination 1 of one host that serves and `failing` that do not, and a cap on endpoints out, with its
// role.
// Its times are scaled down 40-fold, but for `slower`.
void add_ejection(LabSettings& settings, std::size_t failing, std::size_t percent, int slower = 1);
std::string text_of(const Fault& fault);
// How many times its TTL a session lasts at this seed's store.
double ttl_slack(std::uint64_t seed);
// Drawn from the seed: pauses and partitions around the TTL, kills, restarts, a third of them at the holder.
std::vector<Fault> draw_faults(std::uint64_t seed, std::size_t count, std::size_t relays,
                               const LabTiming& timing);
// The same for a disruption budget whose sessions last `ttl`: mostly outings and upgrades, most of them close
// together, and faults among them.
std::vector<Fault> draw_outings(std::uint64_t seed, std::size_t count, std::size_t relays, milliseconds ttl,
                                bool stops);

class FleetLab {
 public:
  explicit FleetLab(const LabSettings& settings);
  ~FleetLab();
  FleetLab(const FleetLab&) = delete;
  FleetLab& operator=(const FleetLab&) = delete;

  // Starts all relays at once, plays the faults, heals everything, and waits until the role is owned again
  // and all messages have ended (or for long). May be called once.
  History run(const std::vector<Fault>& faults);
  // After `run`: whether that came about in time.
  bool recovered() const { return recovered_; }

  // For tests that steer it themselves.
  void start();
  std::size_t holder() const;  // by its number; `relays` where nobody holds the role
  bool waits_for_holder_other_than(std::size_t relay,
                                   std::chrono::seconds limit = std::chrono::seconds(30)) const;
  standin::RelayProcess& relay(std::size_t i) { return *members_[i]->process; }
  FaultProxy& to_consul(std::size_t i) { return *members_[i]->to_consul; }
  FaultProxy& to_partner(std::size_t i) { return *members_[i]->to_partner; }
  standin::ConsulAgent& consul() { return consul_; }
  std::size_t size() const { return members_.size(); }
  pid_t serving(std::size_t i) const { return members_[i]->process->serving(); }
  bool offer_to(std::size_t relay);  // one message; whether it was taken on
  // For tests that steer it: outings that were asked for and whose relay has gone come back.
  void ask_outing(std::size_t relay);
  void bring_back();
  // Endpoints that two relays or more rest by now, as the newest reports have it.
  std::size_t resting();
  std::size_t outages() const { return outages_.size(); }  // by plan, that are over
  std::string zone(std::size_t relay) const;
  // A registration that its agent has left behind, for the sweep to remove; a holder that acts has work so.
  void leave_registration();
  std::size_t registrations_left();
  History history();

 private:
  struct Member {
    std::unique_ptr<FaultProxy> to_consul, to_partner;
    std::unique_ptr<standin::RelayProcess> process;
    bool up = false;
    pid_t stopped = 0;       // by SIGSTOP
    bool leaves = false;     // SIGTERM was sent, and it waits or goes
    bool disturbed = false;  // and it was paused or killed meanwhile: it is out without a plan
  };
  std::string settings_text(std::size_t i) const;
  void begin(const Fault& fault, std::size_t relay);
  void end(const Fault& fault, std::size_t relay);
  void offer();
  bool settled();

  const LabSettings settings_;
  standin::ConsulAgent consul_;
  standin::Partner partner_;
  ProxyLoop loop_;
  std::vector<std::unique_ptr<Member>> members_;
  std::map<std::string, std::string> taken_;
  std::set<std::string> pays_;
  std::size_t offered_ = 0, left_ = 0;
  std::vector<Outage> outages_;
  bool state_kept_ = true;
  bool recovered_ = false;
};

}  // namespace fennellane::harness
