#include "discovery_lab.hpp"

#include <signal.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

#include "discovery_agent.hpp"
#include "load.hpp"
#include "partner.hpp"
#include "relay_process.hpp"
#include "sample_config.hpp"

namespace fennellane::harness {
namespace {

using standin::DiscoveryAgent;
using standin::DiscoveryFault;
using standin::HostLine;
using standin::Load;
using standin::Partner;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr double kRate = 2000;  // calls a second that the destination takes
constexpr milliseconds kGrace{1050};
constexpr milliseconds kToldAtTheLatest{6000};
constexpr milliseconds kToldAfterSighup{4000};
constexpr milliseconds kNoticeSlack{1500};
constexpr milliseconds kBudget{6000};
constexpr milliseconds kAfterKill{600};  // until the next start

enum class Restart : std::uint8_t { none, sigterm, sigterm_then_kill, kill };

// Times count from when the load begins.
struct DiscoveryCourse {
  DiscoveryFault fault{};
  milliseconds delay{};  // of all answers; then there is no other fault
  milliseconds fault_begins{}, fault_ends{};
  milliseconds drained{}, gone{};
  std::optional<milliseconds> moved;  // to another discovery, by SIGHUP
  int extra_sighups = 0;
  Restart restart{};
  milliseconds restarted{};
};

template <class T, std::size_t size>
T pick(std::mt19937_64& random, const std::array<T, size>& all) {
  return all[random() % size];
}

milliseconds draw_between(std::mt19937_64& random, int least, int most) {
  return milliseconds(least + static_cast<int>(random() % static_cast<std::uint64_t>(most - least + 1)));
}

DiscoveryCourse draw_course(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  DiscoveryCourse course;
  course.fault =
      pick(random, std::array{DiscoveryFault::silent, DiscoveryFault::forgetful, DiscoveryFault::resetting,
                              DiscoveryFault::head_only, DiscoveryFault::half_line, DiscoveryFault::none});
  if (course.fault == DiscoveryFault::none) course.delay = draw_between(random, 100, 2500);
  if (random() % 3 != 0) course.moved = draw_between(random, 800, 2500);
  course.extra_sighups = static_cast<int>(random() % 4);
  course.fault_begins = draw_between(random, 1200, 3500);
  course.fault_ends = course.fault_begins + draw_between(random, 300, 7000);
  course.drained = course.fault_begins + draw_between(random, 0, 6000);
  course.gone = course.drained + draw_between(random, 4000, 6000);
  course.restart = pick(random, std::array{Restart::none, Restart::none, Restart::sigterm,
                                           Restart::sigterm_then_kill, Restart::kill});
  course.restarted = course.fault_ends + draw_between(random, 200, 3000);
  return course;
}

std::string text_of(const DiscoveryCourse& course) {
  constexpr std::array kFaults = {"none",      "silent",      "forgetful", "resetting",
                                  "head only", "half a line", "older"};
  constexpr std::array kRestarts = {"none", "SIGTERM", "SIGTERM then SIGKILL", "SIGKILL"};
  std::ostringstream text;
  text << "fault " << kFaults[static_cast<std::size_t>(course.fault)] << " from "
       << course.fault_begins.count() << " to " << course.fault_ends.count() << ", answers "
       << course.delay.count() << " late, drain at " << course.drained.count() << ", gone at "
       << course.gone.count() << ", moved at " << (course.moved ? course.moved->count() : -1) << ", "
       << course.extra_sighups << " further SIGHUPs, restart "
       << kRestarts[static_cast<std::size_t>(course.restart)] << " at " << course.restarted.count();
  return text.str();
}

class DiscoveryLab {
 public:
  DiscoveryLab(const std::string& program, std::uint64_t seed)
      : course_(draw_course(seed)), relay_(program) {}

  DiscoveryReport run() {
    start();
    play();
    finish();
    return report();
  }

 private:
  // A step of the course, at its time.
  struct Step {
    milliseconds at{};
    std::function<void()> action;
  };

  std::vector<HostLine> hosts() const {
    return {{"h0", partners_[0].address(), 0, "ready", kRate},
            {"h1", partners_[1].address(), 0, "ready", kRate}};
  }
  HostLine leaving(const std::string& state) const { return {"h0", partners_[0].address(), 0, state, kRate}; }
  HostLine added() const { return {"h2", partners_[2].address(), 0, "ready", kRate}; }

  void configure(const DiscoveryAgent& discovery, std::vector<HostLine> known) {
    standin::ConfigParts parts;
    parts.listen = relay_.address();
    parts.discovery = discovery.address();
    parts.known = std::move(known);
    parts.max_open = 2000;
    parts.discovery_mode = "push";
    relay_.replace_config(standin::config_json(parts));
  }

  void start() {
    current_ = &first_;
    first_.set_delay(course_.delay);
    second_.set_delay(course_.delay);
    configure(first_, hosts());
    relay_.start();
    process_began_ = Clock::now();
    Load::Shape shape;
    shape.rate = 100;
    shape.connections = 4;
    shape.body = 200;
    shape.budget = std::to_string(kBudget.count());
    load_ = std::make_unique<Load>(Address{"127.0.0.1", relay_.port()}, shape);
    begun_ = Clock::now();
  }

  void play() {
    std::vector<Step> steps;
    if (course_.moved) steps.push_back({*course_.moved, [this] { move(); }});
    for (int i = 0; i < course_.extra_sighups; ++i)
      steps.push_back({milliseconds(1000 + 1500 * i), [this] { relay_.signal(SIGHUP); }});
    if (course_.fault != DiscoveryFault::none) {
      steps.push_back({course_.fault_begins, [this] { begin_fault(); }});
      steps.push_back({course_.fault_ends, [this] { end_fault(); }});
    }
    steps.push_back({course_.drained, [this] { drain(); }});
    steps.push_back({course_.gone, [this] { change({leaving("gone")}); }});
    if (course_.restart != Restart::none) steps.push_back({course_.restarted, [this] { restart(); }});
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    for (const Step& step : steps) {
      std::this_thread::sleep_until(begun_ + step.at);
      step.action();
    }
    std::this_thread::sleep_until(begun_ + course_.gone + seconds(4));
  }

  void move() {
    current_ = &second_;
    moved_at_ = Clock::now();
    configure(second_, hosts());
    relay_.signal(SIGHUP);
  }
  void begin_fault() {
    faulty_ = current_;
    fault_began_ = Clock::now();
    faulty_->begin_fault(course_.fault);
  }
  void end_fault() {
    fault_ended_ = Clock::now();
    faulty_->end_fault();
  }
  void change(const std::vector<HostLine>& lines) {
    first_.change(lines);
    second_.change(lines);
  }
  void drain() {
    drained_at_ = Clock::now();
    change({leaving("draining"), added()});
  }

  void restart() {
    const bool known = drained_at_ && *drained_at_ + seconds(1) < Clock::now();
    std::vector<HostLine> list = hosts();
    if (known) list = {leaving("draining"), list[1], added()};
    configure(*current_, list);
    if (course_.restart == Restart::kill) {
      relay_.end(SIGKILL);
    } else if (course_.restart == Restart::sigterm) {
      relay_.end(SIGTERM);
    } else {
      relay_.signal(SIGTERM);
      std::this_thread::sleep_for(milliseconds(3700));
      relay_.end(SIGKILL);
    }
    std::this_thread::sleep_for(kAfterKill);
    relay_.start();
    process_began_ = Clock::now();
  }

  void finish() {
    load_->stop();
    const auto limit = Clock::now() + kBudget + kNoticeSlack;
    while (!all_taken_have_ends() && Clock::now() < limit) std::this_thread::sleep_for(milliseconds(100));
  }

  std::map<std::string, std::size_t> calls_by_id() const {
    std::map<std::string, std::size_t> calls;
    for (const Partner& partner : partners_) {
      for (const standin::PartnerCall& call : partner.calls()) ++calls[call.id];
    }
    return calls;
  }
  bool has_notice(const std::string& id) const {
    const std::string text = "\"" + id + "\"";
    return first_.noticed(text) || second_.noticed(text);
  }
  bool all_taken_have_ends() const {
    const auto calls = calls_by_id();
    return std::all_of(load_->answers().begin(), load_->answers().end(),
                       [&](const standin::Answered& answer) {
                         return answer.status != 202 || calls.count(answer.id) > 0 || has_notice(answer.id);
                       });
  }

  // When the drain counts as told to the relay at the latest.
  Clock::time_point drain_told_at() const {
    Clock::time_point told = *drained_at_;
    const bool current_failed = faulty_ == current_ && course_.fault != DiscoveryFault::none;
    if (current_failed && *drained_at_ >= fault_began_ && *drained_at_ < fault_ended_) told = fault_ended_;
    // A watch that has fallen silent for good.
    const bool breaks_watches =
        course_.fault != DiscoveryFault::silent && course_.fault != DiscoveryFault::resetting;
    if (current_failed && breaks_watches && *drained_at_ >= fault_began_)
      told = std::max(told, fault_began_ + kToldAtTheLatest);
    if (current_failed && breaks_watches && told > fault_began_) told = std::max(told, fault_ended_);
    if (course_.delay > milliseconds(0)) told = std::max(*drained_at_, process_began_) + kToldAtTheLatest;
    if (moved_at_) told = std::max(told, *moved_at_ + kToldAfterSighup);
    // A process that began after the change has its grace from then on.
    return std::max(told, process_began_);
  }

  void check_drain(DiscoveryReport& report) const {
    const Clock::time_point told = drain_told_at();
    for (const standin::PartnerCall& call : partners_[0].calls()) {
      const auto after = std::chrono::duration_cast<milliseconds>(call.first_byte - told);
      if (after <= kGrace) continue;
      const auto at = std::chrono::duration_cast<milliseconds>(call.first_byte - begun_);
      report.violations.push_back("drain: " + call.id + " was sent at " + std::to_string(at.count()) + ", " +
                                  std::to_string(after.count()) + " ms after the drain counts as told");
    }
  }

  void check_messages(DiscoveryReport& report) const {
    const auto calls = calls_by_id();
    for (const standin::Answered& answer : load_->answers()) {
      const auto found = calls.find(answer.id);
      const std::size_t count = found == calls.end() ? 0 : found->second;
      if (answer.pay && count > 1)
        report.violations.push_back("twice: " + answer.id + " ran " + std::to_string(count) + " times");
      if (answer.status != 202) continue;
      ++report.taken;
      report.delivered += count > 0 ? 1 : 0;
      if (count == 0 && !has_notice(answer.id)) report.violations.push_back("lost: " + answer.id);
    }
  }

  DiscoveryReport report() const {
    DiscoveryReport report;
    report.course = text_of(course_);
    check_drain(report);
    check_messages(report);
    report.requests = first_.requests() + second_.requests();
    if (!report.violations.empty()) report.log = relay_.log();
    return report;
  }

  const DiscoveryCourse course_;
  std::array<Partner, 3> partners_{Partner(milliseconds(5)), Partner(milliseconds(5)),
                                   Partner(milliseconds(5))};
  DiscoveryAgent first_{hosts()}, second_{hosts()};
  standin::RelayProcess relay_;
  std::unique_ptr<Load> load_;
  DiscoveryAgent* current_ = nullptr;
  DiscoveryAgent* faulty_ = nullptr;
  Clock::time_point begun_, process_began_, fault_began_, fault_ended_;
  std::optional<Clock::time_point> moved_at_, drained_at_;
};

}  // namespace

DiscoveryReport run_discovery_faults(const std::string& program, std::uint64_t seed) {
  return DiscoveryLab(program, seed).run();
}

}  // namespace fennellane::harness
