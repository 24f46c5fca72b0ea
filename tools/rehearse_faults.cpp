// Plays runs of the fault laboratory: from seeds, with one to three relays, or one for each system call and
// errno that it may fail with.
#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "fault_lab.hpp"

namespace {

using fennellane::harness::FaultPlan;
using fennellane::harness::FaultReport;
using fennellane::harness::RelayPlan;

struct CallErrors {
  const char* call;
  const char* path;  // that the rule is kept to; empty: any
  std::vector<const char*> errors;
};

// As the manual pages list them, but for those that tell of a mistake in the program itself.
const std::vector<CallErrors> kCalls = {
    {"open",
     "/state",
     {"EIO", "ENOSPC", "EMFILE", "ENFILE", "ENOMEM", "EINTR", "EROFS", "EACCES", "ENOENT", "EDQUOT"}},
    {"flock", "/state", {"EIO", "EINTR", "ENOLCK"}},
    {"read", "/state", {"EIO", "EINTR"}},
    {"write", "/state", {"EIO", "ENOSPC", "EDQUOT", "EINTR", "EFBIG"}},
    {"ftruncate", "/state", {"EIO", "EINTR"}},
    {"rename", "/state", {"EIO", "ENOSPC", "EDQUOT", "EROFS"}},
    {"unlink", "/state", {"EIO", "EROFS"}},
    {"fstat", "/state", {"EIO", "ENOMEM"}},
    {"stat", "/state", {"EIO", "ENOMEM"}},
    {"socket", "", {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}},
    {"bind", "", {"EADDRINUSE", "ENOMEM"}},
    {"listen", "", {"EADDRINUSE"}},
    {"accept",
     "",
     {"ECONNABORTED", "EINTR", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EPERM", "ENETDOWN",
      "EHOSTUNREACH"}},
    {"connect",
     "",
     {"EADDRNOTAVAIL", "EAGAIN", "ENETUNREACH", "EINTR", "ENOBUFS", "ECONNREFUSED", "ETIMEDOUT",
      "EHOSTUNREACH"}},
    {"shutdown", "", {"ENOBUFS", "ENOTCONN"}},
    {"getsockopt", "", {"ENOBUFS"}},
    {"setsockopt", "", {"ENOBUFS", "ENOMEM"}},
    {"peek", "", {"EINTR", "EAGAIN", "ENOMEM", "ECONNRESET"}},
    {"recv", "", {"EINTR", "EAGAIN", "ENOMEM", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"}},
    {"send",
     "",
     {"EINTR", "EAGAIN", "ENOBUFS", "ENOMEM", "ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH"}},
    {"epoll_create1", "", {"EMFILE", "ENFILE", "ENOMEM"}},
    {"epoll_ctl", "", {"ENOMEM", "ENOSPC"}},
    {"epoll_wait", "", {"EINTR"}},
    {"timerfd_create", "", {"EMFILE", "ENFILE", "ENOMEM"}},
    {"eventfd", "", {"EMFILE", "ENFILE", "ENOMEM"}},
    {"signalfd", "", {"EMFILE", "ENFILE", "ENOMEM"}},
};

struct Run {
  std::string name;
  FaultPlan plan;
};

// For each call and errno: once, at the first, the fourth and the twentieth call, and for one second.
std::vector<Run> runs_for_each_error() {
  std::vector<Run> runs;
  for (const CallErrors& c : kCalls) {
    for (const char* const error : c.errors) {
      std::string rule = std::string("call=") + c.call + " errno=" + error;
      if (*c.path != 0) rule += std::string(" path=") + c.path;
      for (const char* const when : {" count=1", " count=1 skip=3", " count=1 skip=19", ""}) {
        RelayPlan relay;
        relay.rules = rule + when;
        relay.at_start = true;
        relay.span = std::chrono::milliseconds(1000);
        FaultPlan plan;
        plan.relays = {relay};
        runs.push_back({relay.rules, plan});
      }
    }
  }
  return runs;
}

std::vector<Run> runs_of_seeds(std::uint64_t first, std::uint64_t count) {
  std::vector<Run> runs;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const FaultPlan plan = fennellane::harness::draw_plan(seed);
    runs.push_back({"seed " + std::to_string(seed) + ": " + plan_text(plan), plan});
  }
  return runs;
}

// What is left out of every plan, to tell which fault a finding needs.
struct LeftOut {
  bool copies = false, rules = false;
};

void leave_out(const LeftOut& left_out, FaultPlan& plan) {
  if (left_out.copies) plan.partner_copies = plan.platform_copies = {};
  if (!left_out.rules) return;
  for (RelayPlan& relay : plan.relays) relay.rules.clear();
}

// Returns how many runs were not right.
std::size_t play(const std::vector<Run>& runs, const std::string& program, const std::string& library,
                 std::size_t at_once, bool shows_log) {
  std::atomic<std::size_t> next = 0, wrong = 0, late = 0;
  std::mutex printing;
  FaultReport sum;
  const auto work = [&] {
    for (std::size_t i = next++; i < runs.size(); i = next++) {
      const FaultReport report = fennellane::harness::run_faults(program, library, runs[i].plan);
      const std::scoped_lock lock(printing);
      sum.handed_in += report.handed_in;
      sum.taken += report.taken;
      sum.refused += report.refused;
      sum.unanswered += report.unanswered;
      sum.delivered += report.delivered;
      sum.noticed += report.noticed;
      late += report.late.size();
      if (report.violations.empty() && report.late.empty()) continue;
      std::printf("%s\n", runs[i].name.c_str());
      for (const std::string& end : report.late) std::printf("    late: %s\n", end.c_str());
      if (report.violations.empty()) continue;
      ++wrong;
      for (const std::string& violation : report.violations) std::printf("    %s\n", violation.c_str());
      if (shows_log) std::printf("%s\n", report.log.c_str());
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < at_once; ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  std::printf(
      "%zu runs, %zu not right; %zu messages: %zu taken on, %zu refused, %zu without an answer; %zu "
      "delivered, %zu ended by a notice, %zu ended later than the protocol allows\n",
      runs.size(), wrong.load(), sum.handed_in, sum.taken, sum.refused, sum.unanswered, sum.delivered,
      sum.noticed, late.load());
  return wrong;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"plays relays under load while their system calls fail, and checks what came of it"};
  std::string program, library, only;
  std::uint64_t first = 1, count = 50;
  std::size_t at_once = 4;
  unsigned contested_in_100 = 0;
  bool each = false, shows_log = false;
  LeftOut left_out;
  app.add_option("--program", program, "the relay")->required();
  app.add_option("--library", library, "the fault library")->required();
  app.add_flag("--each", each, "each call and errno in turn, in place of seeds");
  app.add_option("--only", only, "of these, those whose name contains this");
  app.add_option("--first", first, "the first seed");
  app.add_option("--seeds", count, "how many seeds");
  app.add_option("--at-once", at_once, "runs side by side")->check(CLI::Range(1, 16));
  app.add_option("--contested", contested_in_100,
                 "of 100 messages, those whose id another client uses as well")
      ->check(CLI::Range(0, 100));
  app.add_flag("--log", shows_log, "show the log of a run that was not right");
  app.add_flag("--without-copies", left_out.copies, "no answer comes more than once");
  app.add_flag("--without-rules", left_out.rules, "no system call fails");
  CLI11_PARSE(app, argc, argv);
  std::vector<Run> runs = each ? runs_for_each_error() : runs_of_seeds(first, count);
  std::erase_if(runs, [&](const Run& run) { return run.name.find(only) == std::string::npos; });
  for (Run& run : runs) {
    leave_out(left_out, run.plan);
    run.plan.contested_in_100 = contested_in_100;
  }
  return play(runs, program, library, at_once, shows_log) == 0 ? 0 : 1;
}
