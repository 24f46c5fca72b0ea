#include "fault_plan.hpp"

#include <array>
#include <random>

namespace fennellane::harness {
namespace {

using std::chrono::milliseconds;

const std::vector<std::string> kDiskRules = {
    "call=write errno=ENOSPC path=/state",
    "call=write errno=EIO path=/state every=3",
    "call=write errno=EIO short=11 path=/state every=2",
    "call=write errno=EIO short=7 path=/state;call=ftruncate errno=EIO path=/state",
    "call=open errno=EIO path=/state",
    "call=rename errno=EIO;call=write errno=ENOSPC path=/state every=2",
    "call=flock errno=EIO path=/state",
    "call=read errno=EIO path=/state",
    "call=fstat errno=EIO path=/state"};

const std::vector<std::string> kSocketRules = {"call=send errno=ENOBUFS every=4",
                                               "call=send short=13 errno=EAGAIN every=2",
                                               "call=recv errno=EINTR every=3",
                                               "call=recv errno=ENOMEM every=5",
                                               "call=connect errno=EADDRNOTAVAIL every=2",
                                               "call=connect errno=ENETUNREACH",
                                               "call=socket errno=EMFILE every=2",
                                               "call=accept errno=ECONNABORTED every=3",
                                               "call=accept errno=EMFILE every=2",
                                               "call=epoll_wait errno=EINTR every=3",
                                               "call=setsockopt errno=ENOBUFS every=2",
                                               "call=getsockopt errno=ENOBUFS every=3",
                                               "call=shutdown errno=ENOBUFS every=2",
                                               "call=bind errno=EADDRINUSE"};

constexpr std::size_t kMostRelays = 3;
constexpr std::size_t kCrowd = 300;  // idle clients

template <class T>
T pick(std::mt19937_64& random, const std::vector<T>& all) {
  return all[random() % all.size()];
}

RelayPlan draw_relay(std::mt19937_64& random) {
  RelayPlan plan;
  plan.rules = pick(random, kDiskRules) + ";" + pick(random, kSocketRules);
  plan.at_start = random() % 3 == 0;
  plan.span = milliseconds(200 + random() % 1200);
  plan.end = pick(random, std::vector{LifeEnd::sigterm, LifeEnd::sigterm_then_kill, LifeEnd::kill});
  plan.extra_signals = static_cast<int>(random() % 4);
  plan.replace_folder = random() % 4 == 0;
  plan.clock_step_s = pick(random, std::vector<long>{0, 0, 3600, -3600, 7});
  plan.idle_clients = random() % 4 == 0 ? kCrowd : 0;
  return plan;
}

CopyPlan draw_copies(std::mt19937_64& random) {
  CopyPlan plan;
  plan.in_100 = pick(random, std::vector<unsigned>{0, 2, 10, 30});
  plan.after = milliseconds(pick(random, std::vector{0, 4, 20, 150, 600}));
  plan.contrary = random() % 3 == 0;
  return plan;
}

std::string copies_text(const CopyPlan& plan) {
  return std::to_string(plan.in_100) + " in 100 answers written once more" +
         (plan.contrary ? ", as the opposite," : "") + " after " + std::to_string(plan.after.count()) + " ms";
}

std::string relay_text(const RelayPlan& plan) {
  constexpr std::array kEnds = {"SIGTERM", "SIGTERM then SIGKILL", "SIGKILL"};
  return "rules \"" + plan.rules + "\" for " + std::to_string(plan.span.count()) + " ms" +
         (plan.at_start ? ", at the start" : "") + (plan.under_load ? ", under load" : "") +
         (plan.at_restart ? ", at the restart" : "") + "; " + kEnds[static_cast<std::size_t>(plan.end)] +
         (plan.replace_folder ? ", folder replaced" : "") + ", clock " + std::to_string(plan.clock_step_s) +
         " s, " + std::to_string(plan.idle_clients) + " idle clients";
}

}  // namespace

FaultPlan draw_plan(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  FaultPlan plan;
  plan.seed = seed;
  plan.relays = {draw_relay(random)};
  plan.partner_copies = draw_copies(random);
  plan.platform_copies = draw_copies(random);
  plan.notices_refused_in_100 = pick(random, std::vector<unsigned>{0, 0, 20, 50});
  const std::size_t relays = 1 + random() % kMostRelays;
  while (plan.relays.size() < relays) plan.relays.push_back(draw_relay(random));
  plan.relay_gap = milliseconds(pick(random, std::vector{0, 40, 400}));
  return plan;
}

std::string plan_text(const FaultPlan& plan) {
  std::string text;
  for (const RelayPlan& relay : plan.relays) text += relay_text(relay) + "; ";
  return text + "one relay " + std::to_string(plan.relay_gap.count()) +
         " ms behind the other; partners: " + copies_text(plan.partner_copies) +
         "; platform: " + copies_text(plan.platform_copies) + ", " +
         std::to_string(plan.notices_refused_in_100) + " in 100 batches of notices refused; " +
         std::to_string(plan.contested_in_100) + " in 100 ids contested";
}

}  // namespace fennellane::harness
