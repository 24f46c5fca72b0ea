// Measures what docs/admission.md promises, on this machine and over loopback: usual clients beside a crowd
// that only holds places, and a flood of many times what can be delivered. Prints tables in Markdown.
#include <sys/types.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <thread>

#include "figures.hpp"
#include "http_client.hpp"
#include "load.hpp"
#include "partner.hpp"
#include "relay_process.hpp"

namespace fennellane {
namespace {

using namespace standin;
using asio::ip::tcp;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr double kPayWorth = 3;

std::string settings_text(const RelayProcess& relay, const std::vector<std::unique_ptr<Partner>>& partners,
                          std::size_t slots, std::size_t held) {
  std::ostringstream out;
  out << "(listen \"" << relay.address() << "\") (limits (memory-mb 192) (disk-mb 64) (sockets 1024))\n"
      << "(class (name \"note\") (effect \"free\") (aim-ms 2000) (give-up-ms 12000) (late-worth 0.4))\n"
      << "(class (name \"pay\") (effect \"single_shot\") (aim-ms 2000) (give-up-ms 12000) (worth 3) "
         "(late-worth 0.3))\n"
      << "(tenant (name \"north\")) (delivery (slots " << slots << ") (held " << held
      << "))\n(membership \"list\")\n";
  out << host_lines(partners);
  return out.str();
}

double cpu_seconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 3; i < 14; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// Clients that hold places and are of no use, each of which comes again when it has been closed.
class Crowd {
 public:
  enum class Kind { asks_once, dribbles, never_reads, silent };
  static constexpr std::array<std::pair<Kind, int>, 4> kUsual = {
      {{Kind::asks_once, 300}, {Kind::dribbles, 200}, {Kind::never_reads, 100}, {Kind::silent, 500}}};

  explicit Crowd(const RelayProcess& relay) : to_(asio::ip::make_address("127.0.0.1"), relay.port()) {
    for (const auto& [kind, count] : kUsual) {
      for (int i = 0; i < count; ++i) asio::co_spawn(io_, member(kind, i), rethrow);
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Crowd() {
    io_.stop();
    thread_.join();
  }
  std::uint64_t connections() const { return connections_; }

 private:
  asio::awaitable<void> pause(milliseconds span) {
    asio::steady_timer timer(io_, span);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  asio::awaitable<void> member(Kind kind, int number) {
    co_await pause(milliseconds(number * 3));
    for (std::uint64_t round = 0;; ++round) {
      tcp::socket socket(io_);
      asio::error_code error;
      co_await socket.async_connect(to_, asio::redirect_error(asio::use_awaitable, error));
      if (!error) {
        ++connections_;
        co_await stay(socket, kind, "c" + std::to_string(number) + "-" + std::to_string(round));
      }
      // One that asked once and was closed has no reason to hurry; the others come at once.
      co_await pause(kind == Kind::asks_once ? milliseconds(5000) : milliseconds(50));
    }
  }
  // Until the relay ends the connection.
  asio::awaitable<void> stay(tcp::socket& socket, Kind kind, std::string id) {
    const std::string text = message_text(id, false, 0, 100, "12000");
    asio::error_code error;
    char piece[4096];
    if (kind == Kind::asks_once) {
      co_await asio::async_write(socket, asio::buffer(text),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    if (kind == Kind::never_reads) {
      static const std::string ups = [] {
        std::string all;
        for (int i = 0; i < 200; ++i) all += "GET /up HTTP/1.1\r\nHost: relay\r\n\r\n";
        return all;
      }();
      while (!error) {
        co_await asio::async_write(socket, asio::buffer(ups),
                                   asio::redirect_error(asio::use_awaitable, error));
      }
      co_return;
    }
    if (kind == Kind::dribbles) {
      for (std::size_t i = 0; !error; i = (i + 1) % (text.size() - 1)) {
        co_await asio::async_write(socket, asio::buffer(text.data() + i, 1),
                                   asio::redirect_error(asio::use_awaitable, error));
        co_await pause(milliseconds(100));
      }
      co_return;
    }
    while (!error) {
      co_await socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    }
  }

  const tcp::endpoint to_;
  asio::io_context io_{1};
  std::atomic<std::uint64_t> connections_ = 0;
  std::thread thread_;
};

struct Served {
  std::size_t offered = 0, in_time = 0, refused = 0, none = 0;
  std::vector<double> ms;
};
Served served(const Load& load) {
  Served s;
  for (const Answered& answer : load.answers()) {
    ++s.offered;
    s.in_time += answer.status == 202 && answer.ms <= kUsualAnswer;
    s.refused += answer.status == 503;
    s.none += answer.status == 0;
    s.ms.push_back(answer.ms);
  }
  return s;
}

void crowd_run(const std::string& program, bool with_crowd, seconds span) {
  const auto partners = make_partners(4, milliseconds(30));
  RelayProcess relay(program);
  relay.replace_settings(settings_text(relay, partners, 64, 1000));
  relay.start();
  std::optional<Crowd> crowd;
  if (with_crowd) crowd.emplace(relay);
  std::this_thread::sleep_for(seconds(2));
  const double before = cpu_seconds(relay.pid());
  Load load({"127.0.0.1", relay.port()}, {130, 16, 4, 4, 1500, "12000"});
  std::this_thread::sleep_for(span);
  load.stop();
  const double cpu = cpu_seconds(relay.pid()) - before;
  const Served s = served(load);
  std::printf("| %s | %zu | %.2f%% | %.2f | %.2f | %.1f | %zu | %zu | %llu | %.2f |\n",
              with_crowd ? "with the crowd" : "usual clients alone", s.offered,
              100.0 * static_cast<double>(s.in_time) / static_cast<double>(s.offered), percentile(s.ms, 0.5),
              percentile(s.ms, 0.99), percentile(s.ms, 1), load.resent(), load.resets(),
              static_cast<unsigned long long>(crowd ? crowd->connections() : 0),
              cpu / static_cast<double>(span.count()));
  std::fflush(stdout);
}

// What was delivered within its class's aim, by worth a second. A call's first byte counts, counted from when
// its message was to be sent.
double worth_in_time(const Load& load, const std::vector<std::unique_ptr<Partner>>& partners) {
  std::map<std::string, steady_clock::time_point> called;
  for (const auto& partner : partners) {
    for (const PartnerCall& call : partner->calls()) called.emplace(call.id, call.first_byte);
  }
  double worth = 0;
  for (const Answered& answer : load.answers()) {
    const auto it = called.find(answer.id);
    if (it == called.end()) continue;
    if (duration<double, std::milli>(it->second - answer.intended).count() > kAim) continue;
    worth += answer.pay ? kPayWorth : 1;
  }
  return worth;
}

void flood_run(const std::string& program, double times, seconds span) {
  constexpr std::size_t kSlots = 24, kHeld = 600, kPartners = 4;
  constexpr milliseconds kAnswer{100};
  const double capacity = kSlots / (static_cast<double>(kAnswer.count()) / 1000);  // messages a second
  const auto partners = make_partners(kPartners, kAnswer);
  RelayProcess relay(program);
  relay.replace_settings(settings_text(relay, partners, kSlots, kHeld));
  relay.start();
  const double before = cpu_seconds(relay.pid());
  const auto connections = static_cast<std::size_t>(std::clamp(times * 8, 16.0, 160.0));
  Load load({"127.0.0.1", relay.port()}, {capacity * times * 0.95, connections, kPartners, 4, 300, "12000"});
  std::this_thread::sleep_for(span);
  load.stop();
  const double cpu = cpu_seconds(relay.pid()) - before;
  std::this_thread::sleep_for(seconds(3));
  const Served s = served(load);
  std::vector<double> late;
  for (const Answered& answer : load.answers()) late.push_back(answer.late_ms);
  const auto seconds_run = static_cast<double>(span.count());
  std::printf("| %.0f | %.0f | %.0f | %.0f | %.2f | %.1f | %.2f | %.0f | %.0f | %.1f |\n", times,
              static_cast<double>(s.offered) / seconds_run, worth_in_time(load, partners) / seconds_run,
              static_cast<double>(s.refused) / seconds_run, percentile(s.ms, 0.5), percentile(s.ms, 0.99),
              cpu / seconds_run, 1e6 * cpu / static_cast<double>(s.offered),
              static_cast<double>(relay.counter("deferred") + relay.counter("undeliverable")) / seconds_run,
              percentile(late, 0.99));
  std::fflush(stdout);
}

}  // namespace
}  // namespace fennellane

int main(int argc, char** argv) {
  CLI::App app{"Measures a relay under pressure, over loopback."};
  std::string program = "build/fennellane";
  int span = 20, rounds = 3;
  app.add_option("--program", program, "the relay")->capture_default_str();
  app.add_option("--seconds", span, "of each run")->check(CLI::Range(2, 600))->capture_default_str();
  app.add_option("--rounds", rounds, "of the crowd, alone and with it by turns")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::printf("%u processors\n\n", std::thread::hardware_concurrency());
  std::printf(
      "| run | messages | 202 within 400 ms | p50, ms | p99 | most | resent | without an answer | "
      "connections of the crowd | CPU, s a second |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (int i = 0; i < rounds; ++i) {
    fennellane::crowd_run(program, false, std::chrono::seconds(span));
    fennellane::crowd_run(program, true, std::chrono::seconds(span));
  }
  std::printf(
      "\n| times what can be delivered | offered a second | worth in time a second | 503 a second | p50 of "
      "the answer, ms | p99 | CPU, s a second | CPU, us a message offered | given up a second | the load's "
      "own p99 lateness, ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const double times : {1.0, 2.0, 5.0, 20.0}) {
    fennellane::flood_run(program, times, std::chrono::seconds(span));
  }
  return 0;
}
