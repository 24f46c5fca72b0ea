// Measures what docs/upgrade.md promises, on this machine and over loopback: upgrades in a row under load,
// upgrades with a process killed at a random moment, and the time and memory of a handover by what is held.
// Prints tables in Markdown.
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "figures.hpp"
#include "http.hpp"
#include "load.hpp"
#include "partner.hpp"
#include "relay_process.hpp"
#include "run_file.hpp"

namespace fennellane {
namespace {

using namespace standin;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
using Moment = steady_clock::time_point;

constexpr std::size_t kPartners = 8;

struct Setting {
  std::size_t slots = 400, held = 5000;
  double memory_mb = 512, disk_mb = 400;
  std::string give_up = "24000";
};

std::string settings_text(const RelayProcess& relay, const std::vector<std::unique_ptr<Partner>>& partners,
                          const Setting& s) {
  std::ostringstream out;
  out << "(listen \"" << relay.address() << "\") (limits (memory-mb " << s.memory_mb << ") (disk-mb "
      << s.disk_mb << ") (sockets 8000)) (log (lines 10000000))\n"
      << "(class (name \"note\") (effect \"free\") (aim-ms 2000) (give-up-ms " << s.give_up << "))\n"
      << "(class (name \"pay\") (effect \"single_shot\") (aim-ms 2000) (give-up-ms " << s.give_up
      << ") (worth 3))\n"
      << "(tenant (name \"north\")) (delivery (slots " << s.slots << ") (held " << s.held
      << "))\n(membership \"list\") (upgrade)\n";
  out << host_lines(partners);
  return out.str();
}

// Connects anew again and again, as a client does that has just come.
class Prober {
 public:
  explicit Prober(const RelayProcess& relay) : relay_(relay), thread_([this] { run(); }) {}
  ~Prober() { stop(); }
  void stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
  }
  double longest() const { return longest_; }
  std::size_t failed() const { return failed_; }
  std::size_t made() const { return made_; }

 private:
  void run() {
    while (!stopped_) {
      const Moment start = steady_clock::now();
      if (relay_.ask("GET /up HTTP/1.1\r\n\r\n") != 200) ++failed_;
      ++made_;
      longest_ = std::max(longest_, duration<double, std::milli>(steady_clock::now() - start).count());
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  const RelayProcess& relay_;
  std::atomic<bool> stopped_ = false;
  double longest_ = 0;
  std::size_t failed_ = 0, made_ = 0;
  std::thread thread_;
};

// What became of each message that was taken on, from both ends.
struct Audit {
  std::size_t offered = 0, taken = 0, refused = 0, unanswered = 0;
  std::size_t lost = 0;      // taken, and neither called nor told undelivered
  std::size_t doubled = 0;   // a pay that was called twice
  std::size_t repeated = 0;  // a note that was
  std::size_t undelivered = 0;
  std::size_t late = 0;          // first called later than the aim
  std::size_t late_answers = 0;  // a 202 that took longer than its client waits
};

Audit audit(const Load& load, const std::vector<std::unique_ptr<Partner>>& partners, const std::string& log) {
  struct Called {
    std::size_t count = 0;
    Moment first = Moment::max();
  };
  std::map<std::string, Called> called;
  for (const auto& partner : partners) {
    for (const PartnerCall& call : partner->calls()) {
      Called& c = called[call.id];
      ++c.count;
      c.first = std::min(c.first, call.first_byte);
    }
  }
  std::set<std::string> undelivered;
  constexpr std::string_view kMark = "undelivered: ";
  for (std::size_t at = 0; (at = log.find(kMark, at)) != std::string::npos;) {
    at += kMark.size();
    undelivered.insert(log.substr(at, log.find(':', at) - at));
  }
  Audit a;
  a.undelivered = undelivered.size();
  for (const Answered& answer : load.answers()) {
    ++a.offered;
    a.unanswered += answer.status == 0;
    a.refused += answer.status != 0 && answer.status != 202;
    const Called& c = called[answer.id];
    if (c.count > 1) ++(answer.pay ? a.doubled : a.repeated);
    if (answer.status != 202) continue;
    ++a.taken;
    a.late_answers += answer.ms > kUsualAnswer;
    if (c.count == 0 && undelivered.count(answer.id) == 0) ++a.lost;
    a.late += c.count > 0 && duration<double, std::milli>(c.first - answer.intended).count() > kAim;
  }
  return a;
}

// The pauses that the relay's processes have said, in ms.
std::vector<double> pauses(const std::string& log) {
  std::vector<double> all;
  constexpr std::string_view kMark = "serves after ";
  for (std::size_t at = 0; (at = log.find(kMark, at)) != std::string::npos;) {
    at += kMark.size();
    all.push_back(std::stod(log.substr(at)));
  }
  return all;
}

pid_t serving(const RelayProcess& relay) {
  const auto file = upgrade::read_run_file(relay.state_folder());
  return file ? file->pid : 0;
}

// Upgrades in a row under load. Returns whether nothing was lost, doubled or reset.
bool in_a_row(const std::string& program, double rate, std::size_t connections, int upgrades,
              milliseconds answer) {
  const auto partners = make_partners(kPartners, answer);
  RelayProcess relay(program);
  relay.replace_settings(settings_text(relay, partners, {}));
  relay.start();
  Load load({"127.0.0.1", relay.port()}, {rate, connections, kPartners, 4, 1500, "20000"});
  Prober prober(relay);
  std::this_thread::sleep_for(seconds(1));
  struct Window {
    Moment from, to;
  };
  std::vector<Window> windows;
  int good = 0;
  const Moment begin = steady_clock::now();
  for (int i = 0; i < upgrades; ++i) {
    const pid_t before = serving(relay);
    const Moment from = steady_clock::now();
    relay.signal(SIGUSR2);
    const bool done = happens([&] { return serving(relay) != before; });
    windows.push_back({from, steady_clock::now()});
    good += done;
    std::this_thread::sleep_for(milliseconds(500));
  }
  const double spent = duration<double>(steady_clock::now() - begin).count();
  prober.stop();
  load.stop();
  std::this_thread::sleep_for(seconds(3));
  const Audit a = audit(load, partners, relay.log());
  std::vector<double> in, out;
  double longest_in = 0, longest_out = 0;
  for (const Answered& answer : load.answers()) {
    const bool inside = std::any_of(windows.begin(), windows.end(), [&](const Window& w) {
      return answer.intended +
                     duration_cast<steady_clock::duration>(duration<double, std::milli>(answer.ms)) >=
                 w.from &&
             answer.intended <= w.to;
    });
    (inside ? in : out).push_back(answer.ms);
    double& longest = inside ? longest_in : longest_out;
    longest = std::max(longest, answer.ms);
  }
  const std::vector<double> still = pauses(relay.log());
  std::printf(
      "| %.0f | %zu | %d of %d | %zu | %zu | %zu | %zu | %zu | %zu | %zu | %.1f / %.1f | %.2f / %.2f | %.1f "
      "/ %.1f | %.1f |\n",
      static_cast<double>(a.offered) / (spent + 1), a.taken, good, upgrades, a.lost, a.doubled + a.repeated,
      a.late, a.late_answers, a.refused, load.resets() + load.resent() + prober.failed(), a.undelivered,
      percentile(still, 0.5), percentile(still, 1), percentile(in, 0.99), percentile(out, 0.99), longest_in,
      longest_out, prober.longest());
  std::fflush(stdout);
  return good == upgrades && a.lost + a.doubled + a.repeated + a.late + a.late_answers + load.resets() +
                                     load.resent() + prober.failed() ==
                                 0;
}

void in_a_row_head() {
  std::printf(
      "| messages/s | taken | upgrades | lost | twice | late | 202 after 400 ms | refused | resets | "
      "undelivered | "
      "still, median / most, ms | p99 of 202 in / out of the windows, ms | longest 202 in / out, ms | "
      "longest new connection, ms |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
}

// Each upgrade has one of its processes killed at a random moment; a supervisor starts the relay again where
// it has ended.
bool kills(const std::string& program, double rate, int upgrades, std::uint64_t seed) {
  const auto partners = make_partners(kPartners, milliseconds(50));
  RelayProcess relay(program);
  relay.replace_settings(settings_text(relay, partners, {}));
  relay.start();
  Load load({"127.0.0.1", relay.port()}, {rate, 100, kPartners, 4, 1500, "20000"});
  std::this_thread::sleep_for(milliseconds(500));
  std::mt19937_64 random(seed);
  std::map<std::string, int> ends;
  for (int i = 0; i < upgrades; ++i) {
    const auto before = upgrade::read_run_file(relay.state_folder());
    if (!before) return false;
    const bool kill_new = random() % 2 == 0;
    // As long as an upgrade takes, and a little more.
    const auto wait = std::chrono::microseconds(random() % 15000);
    relay.signal(SIGUSR2);
    std::this_thread::sleep_for(wait);
    const auto now = upgrade::read_run_file(relay.state_folder());
    const pid_t target = kill_new ? (now->next_pid > 0 ? now->next_pid : now->pid) : before->pid;
    ::kill(target, SIGKILL);
    // As a supervisor does that starts it again at once.
    const Moment looked = steady_clock::now();
    while (relay.runs() && steady_clock::now() - looked < milliseconds(250)) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    std::string end;
    if (!relay.runs()) {
      relay.start();
      end = "the supervisor started it again";
    } else if (!happens([&] { return relay.ask("GET /up HTTP/1.1\r\n\r\n") == 200; })) {
      std::printf("nobody serves:\n%s\n", relay.log().c_str());
      return false;
    } else {
      const auto after = upgrade::read_run_file(relay.state_folder());
      end = after->pid == before->pid ? "the old one served on" : "the new one served";
    }
    ++ends[std::string(kill_new ? "new" : "old") + " killed: " + end];
  }
  load.stop();
  std::this_thread::sleep_for(seconds(4));
  const Audit a = audit(load, partners, relay.log());
  std::printf("| killed: what came of it | times |\n| --- | --- |\n");
  for (const auto& [what, times] : ends) std::printf("| %s | %d |\n", what.c_str(), times);
  std::printf(
      "\n| upgrades | offered | taken | lost | pay twice | note again | undelivered | refused | no answer | "
      "late | 202 after 400 ms |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
      "| %d | %zu | %zu | %zu | %zu | %zu | %zu | %zu | %zu | %zu | %zu |\n",
      upgrades, a.offered, a.taken, a.lost, a.doubled, a.repeated, a.undelivered, a.refused, a.unanswered,
      a.late, a.late_answers);
  return a.lost + a.doubled == 0;
}

// From the start of the process to its first 200, with upgrades off and on, taking turns.
void starts(const std::string& program, int times) {
  const auto partners = make_partners(kPartners, milliseconds(1));
  std::vector<double> ms[2];
  RelayProcess relay(program);
  const std::string on = settings_text(relay, partners, {});
  std::string off = on;
  off.erase(off.find("(upgrade)"), std::string("(upgrade)").size());
  for (int i = 0; i < times * 2; ++i) {
    relay.replace_settings(i % 2 == 0 ? off : on);
    const Moment from = steady_clock::now();
    relay.start();
    ms[i % 2].push_back(duration<double, std::milli>(steady_clock::now() - from).count());
    relay.end(SIGKILL);
    // Its port and folder are free once the process that it has started is gone too.
    happens([&] { return relay.ask("GET /up HTTP/1.1\r\n\r\n") == 0; });
  }
  std::printf("| upgrades | starts | median, ms | p90, ms |\n| --- | --- | --- | --- |\n");
  for (int on_now = 0; on_now < 2; ++on_now) {
    std::printf("| %s | %d | %.1f | %.1f |\n", on_now ? "on" : "off", times, percentile(ms[on_now], 0.5),
                percentile(ms[on_now], 0.9));
  }
}

// A handover with so many messages held, none of which a partner answers.
bool held(const std::string& program, std::size_t messages) {
  auto partners = make_partners(kPartners, seconds(3600));
  RelayProcess relay(program);
  Setting s;
  s.slots = 100;
  s.held = 40000;
  s.memory_mb = 2000;
  s.give_up = "3600000";
  relay.replace_settings(settings_text(relay, partners, s));
  relay.start();
  asio::io_context io;
  asio::ip::tcp::socket socket = relay.connected(io);
  std::size_t taken = 0;
  HttpReader reader(HttpReader::Kind::response, 16384, 65536);
  for (std::size_t i = 0; i < messages; ++i) {
    asio::error_code error;
    asio::write(socket,
                asio::buffer(message_text("h" + std::to_string(i), false, i % kPartners, 2000, "3600000")),
                error);
    char piece[4096];
    while (!error && !reader.done()) reader.feed({piece, socket.read_some(asio::buffer(piece), error)});
    taken += reader.status() == 202;
    reader.reset();
    if (error) return false;
  }
  const pid_t old = serving(relay);
  const std::uint64_t old_kb = memory_kb(old, "VmRSS");
  const Moment from = steady_clock::now();
  relay.signal(SIGUSR2);
  std::uint64_t old_most = 0;
  const bool done = happens([&] {
    old_most = std::max(old_most, memory_kb(old, "VmHWM"));
    return serving(relay) != old;
  });
  const double ms = duration<double, std::milli>(steady_clock::now() - from).count();
  happens([&] { return !pauses(relay.log()).empty(); }, seconds(5));
  const std::vector<double> still = pauses(relay.log());
  const pid_t now = serving(relay);
  std::printf("| %zu | %s | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", taken, done ? "yes" : "no", ms,
              still.empty() ? 0 : still.back(), static_cast<double>(old_kb) / 1024,
              static_cast<double>(old_most) / 1024, static_cast<double>(memory_kb(now, "VmHWM")) / 1024,
              static_cast<double>(memory_kb(now, "VmRSS")) / 1024);
  std::fflush(stdout);
  if (!done) std::printf("%s\n", relay.log().c_str());
  return done && taken == messages;
}

}  // namespace
}  // namespace fennellane

int main(int argc, char** argv) {
  CLI::App app{"Measures upgrades under load"};
  app.require_subcommand(1);
  app.fallthrough();
  std::string program = "build/fennellane";
  double rate = 400;
  int upgrades = 20, connections = 100, answer_ms = 100;
  std::uint64_t seed = 20261201;
  app.add_option("--program", program)->capture_default_str();
  app.add_option("--rate", rate, "messages a second")->capture_default_str();
  app.add_option("--connections", connections)->capture_default_str();
  app.add_option("--answer-ms", answer_ms, "of a partner")->capture_default_str();
  app.add_option("--upgrades", upgrades)->capture_default_str();
  app.add_option("--seed", seed)->capture_default_str();
  CLI::App* const row = app.add_subcommand("row", "upgrades in a row");
  CLI::App* const killed = app.add_subcommand("kills", "a process killed in each");
  CLI::App* const size = app.add_subcommand("held", "by what is held");
  std::vector<std::size_t> sizes = {10, 1000, 30000};
  size->add_option("--messages", sizes)->capture_default_str();
  CLI::App* const start = app.add_subcommand("start", "an ordinary start, with upgrades off and on");
  CLI11_PARSE(app, argc, argv);
  if (start->parsed()) fennellane::starts(program, upgrades);
  bool good = true;
  if (row->parsed()) {
    fennellane::in_a_row_head();
    good = fennellane::in_a_row(program, rate, static_cast<std::size_t>(connections), upgrades,
                                std::chrono::milliseconds(answer_ms));
  }
  if (killed->parsed()) good = fennellane::kills(program, rate, upgrades, seed);
  if (size->parsed()) {
    std::printf(
        "| held | taken over | from the signal to the new one's serving, ms | still, ms | old before, MB | "
        "old at most, MB | "
        "new at most, MB | new after, MB |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t messages : sizes) good = fennellane::held(program, messages) && good;
  }
  return good ? 0 : 1;
}
