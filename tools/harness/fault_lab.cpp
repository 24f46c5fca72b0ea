#include "fault_lab.hpp"

#include <signal.h>

#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

#include "http_server.hpp"
#include "relay_process.hpp"
#include "sample_config.hpp"

namespace fennellane::harness {
namespace {

namespace fs = std::filesystem;
using standin::happens;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kBudget{5000};  // of each message
constexpr milliseconds kLoad{2600};    // how long messages are handed in
constexpr milliseconds kBeforeFaults{300};
constexpr milliseconds kBeforeEnd{1300};
constexpr milliseconds kKillAfterTerm{3700};  // the platform's earliest
constexpr milliseconds kDown{100};
constexpr int kClients = 5;
constexpr double kRate = 800;  // calls a second that the destination takes
constexpr int kMostHeld = 400;

// What a client saw of a message.
enum class Seen { taken, refused, failed, nothing };

struct Message {
  std::string id, message_class, body;
  Seen seen = Seen::nothing;
  bool in_first_life = true;
};

// A message at a partner.
struct Arrival {
  std::size_t ran = 0;
  bool delivered = false, other_body = false;
  std::string body;
};
using Arrivals = std::map<std::string, Arrival>;  // by id

// A partner's endpoint: some answers are refusals, errors, late or none at all.
class Endpoint {
 public:
  explicit Endpoint(std::uint64_t seed)
      : random_(seed), server_([this](const standin::Request& r) { return take(r); }) {}
  std::string address() const { return server_.address(); }

  Arrivals arrivals() const {
    const std::scoped_lock lock(mutex_);
    return arrivals_;
  }

 private:
  std::string take(const standin::Request& r) {
    unsigned draw = 0, pause_ms = 0;
    {
      const std::scoped_lock lock(mutex_);
      draw = static_cast<unsigned>(random_() % 100);
      pause_ms = static_cast<unsigned>(random_() % 40);
      Arrival& a = arrivals_[r.id];
      a.other_body = a.other_body || (!a.body.empty() && a.body != r.body);
      a.body = r.body;
      a.ran += draw < 8 ? 0 : 1;
      a.delivered = a.delivered || draw >= 12;
    }
    std::this_thread::sleep_for(milliseconds(pause_ms));
    if (draw < 8) return standin::answer("503 Service Unavailable");
    if (draw < 10) return standin::answer("500 Internal Server Error");
    if (draw < 12) return standin::kReset;
    return standin::answer("200 OK");
  }

  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  Arrivals arrivals_;
  standin::Server server_;  // last, since its threads use all the others
};

std::string request_of(const Message& m) {
  return "POST /" + m.message_class + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + m.id +
         "\r\nX-Call-Class: " + m.message_class +
         "\r\nX-Caller: south\r\nX-Budget-Ms: " + std::to_string(kBudget.count()) +
         "\r\nX-Consignee: dest=7\r\nContent-Length: " + std::to_string(m.body.size()) + "\r\n\r\n" + m.body;
}

// A client that keeps its connection for as long as it stays open.
class Client {
 public:
  Client(const standin::RelayProcess& relay, std::uint64_t seed, int number)
      : relay_(relay), random_(seed * 31 + static_cast<std::uint64_t>(number)), number_(number) {}

  void run(const std::atomic<bool>& stop, const std::atomic<int>& life) {
    while (!stop) {
      Message m;
      m.id = "c" + std::to_string(number_) + "-" + std::to_string(messages_.size());
      m.message_class = random_() % 2 == 0 ? "note" : "pay";
      m.body = std::string(1 + random_() % 3000, static_cast<char>('a' + random_() % 26));
      m.in_first_life = life == 1;
      m.seen = hand_in(m);
      messages_.push_back(m);
      std::this_thread::sleep_for(milliseconds(5 + random_() % 30));
    }
  }
  const std::vector<Message>& messages() const { return messages_; }

 private:
  Seen hand_in(const Message& m) {
    asio::error_code error;
    if (!socket_ || !socket_->is_open()) {
      socket_ = std::make_unique<standin::tcp::socket>(relay_.connected(io_));
      timeval limit{5, 0};
      if (!socket_->is_open() ||
          ::setsockopt(socket_->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit) != 0) {
        return close(Seen::nothing);
      }
    }
    asio::write(*socket_, asio::buffer(request_of(m)), error);
    HttpReader reader(HttpReader::Kind::response, 65536, 65536);
    char piece[2048];
    while (!error && !reader.done() && !reader.failed()) {
      const ssize_t n = ::recv(socket_->native_handle(), piece, sizeof piece, 0);
      if (n <= 0) return close(Seen::nothing);
      reader.feed({piece, static_cast<std::size_t>(n)});
    }
    if (error || !reader.done()) return close(Seen::nothing);
    const unsigned status = reader.status();
    if (!reader.keep_alive()) close(Seen::nothing);
    return status == 202 ? Seen::taken : status == 503 ? Seen::refused : Seen::failed;
  }
  Seen close(Seen seen) {
    if (socket_) {
      asio::error_code ignored;
      socket_->close(ignored);
    }
    return seen;
  }

  const standin::RelayProcess& relay_;
  std::mt19937_64 random_;
  const int number_;
  asio::io_context io_;
  std::unique_ptr<standin::tcp::socket> socket_;
  std::vector<Message> messages_;
};

class Lab {
 public:
  Lab(const std::string& program, const std::string& library, const FaultPlan& plan)
      : plan_(plan),
        endpoints_{std::make_unique<Endpoint>(plan.seed), std::make_unique<Endpoint>(plan.seed + 1)},
        platform_({{"h0", endpoints_[0]->address(), 7, "ready", kRate},
                   {"h1", endpoints_[1]->address(), 7, "ready", kRate}}),
        relay_(program),
        switch_(relay_.folder() + "/faults") {
    standin::ConfigParts parts;
    parts.listen = relay_.address();
    parts.discovery = platform_.address();
    parts.max_open = kMostHeld;
    relay_.replace_config(standin::config_json(parts));
    relay_.set_variable("LD_PRELOAD", library);
    relay_.set_variable("ASAN_OPTIONS", "verify_asan_link_order=0");
    relay_.set_variable("FENNELLANE_FAULTS", plan.rules);
    relay_.set_variable("FENNELLANE_FAULT_SWITCH", switch_);
  }

  FaultReport run() {
    try {
      if (plan_.at_start) fault_for_a_while();
      relay_.start();
      serve_two_lives();
    } catch (const std::runtime_error& e) {
      violate(std::string("did not start: ") + e.what());
    }
    for (std::thread& t : background_) t.join();
    check();
    if (!report_.violations.empty()) report_.log = relay_.log();
    return report_;
  }

 private:
  void violate(const std::string& what) { report_.violations.push_back(what); }
  void switch_on() const { std::ofstream(switch_) << "on"; }
  void switch_off() const {
    std::error_code ignored;
    fs::remove(switch_, ignored);
  }
  void fault_for_a_while() {
    switch_on();
    background_.emplace_back([this] {
      std::this_thread::sleep_for(plan_.span);
      switch_off();
    });
  }

  void serve_two_lives() {
    std::vector<std::thread> threads;
    for (int i = 0; i < kClients; ++i) clients_.push_back(std::make_unique<Client>(relay_, plan_.seed, i));
    for (auto& client : clients_) threads.emplace_back([&] { client->run(stop_, life_); });
    for (std::size_t i = 0; i < plan_.idle_clients; ++i) idle_.push_back(relay_.connected(idle_io_));
    std::string failure;
    try {
      std::this_thread::sleep_for(kBeforeFaults);
      if (plan_.under_load) fault_for_a_while();
      std::this_thread::sleep_for(kBeforeEnd - kBeforeFaults);
      end_first_life();
      restart();
      std::this_thread::sleep_for(kLoad - kBeforeEnd);
    } catch (const std::runtime_error& e) {
      failure = e.what();
    }
    stop_ = true;
    for (std::thread& t : threads) t.join();
    if (!failure.empty()) throw std::runtime_error(failure);
    await_all_ends();
    const bool answers = relay_.ask("GET /up HTTP/1.1\r\n\r\n") == 200;
    if (!answers) violate("GET /up is not answered with 200 at the end");
    if (const int code = relay_.end(SIGTERM); code != 0)
      violate("the second life ended with " + std::to_string(code));
  }

  void end_first_life() {
    if (relay_.gone()) violate("the relay ended by itself under load");
    for (int i = 0; i < plan_.extra_signals; ++i) relay_.signal(SIGHUP);
    if (plan_.end == FaultPlan::End::kill) {
      relay_.end(SIGKILL);
      return;
    }
    relay_.signal(SIGTERM);
    for (int i = 0; i < plan_.extra_signals; ++i) relay_.signal(SIGTERM);
    const bool gone = happens([&] { return relay_.gone(); }, seconds(kKillAfterTerm.count() / 1000 + 1));
    if (!gone && plan_.end == FaultPlan::End::sigterm) violate("SIGTERM did not end the relay in time");
    if (const int code = relay_.end(SIGKILL); gone && code != 0) {
      violate("the first life ended with " + std::to_string(code));
    }
  }

  void restart() {
    std::this_thread::sleep_for(kDown);
    if (plan_.replace_folder) {
      fs::remove_all(relay_.state_folder());
      fs::create_directory(relay_.state_folder());
    }
    if (plan_.clock_step_s != 0)
      relay_.set_variable("FENNELLANE_FAULT_CLOCK_S", std::to_string(plan_.clock_step_s));
    if (plan_.at_restart) fault_for_a_while();
    life_ = 2;
    relay_.start();
  }

  // A message that was taken on has its end a little after its time at the latest.
  void await_all_ends() {
    constexpr milliseconds kLook{200};
    const auto limit = Clock::now() + kBudget + seconds(3);
    while (!all_ended() && Clock::now() < limit) std::this_thread::sleep_for(kLook);
  }
  bool all_ended() const {
    const std::set<std::string> ended = ends();
    return std::all_of(clients_.begin(), clients_.end(), [&](const auto& client) {
      return std::all_of(client->messages().begin(), client->messages().end(), [&](const Message& m) {
        return m.seen != Seen::taken || is_exempt(m) || ended.count(m.id) > 0;
      });
    });
  }
  // What a replaced disk held is handed to others.
  bool is_exempt(const Message& m) const { return plan_.replace_folder && m.in_first_life; }

  // The ids in the platform's notices.
  std::set<std::string> noticed() const {
    std::set<std::string> ids;
    constexpr std::string_view kBegin = "{\"id\":\"";
    for (const standin::Request& r : platform_.requests()) {
      for (std::size_t at = r.body.find(kBegin); at != std::string::npos; at = r.body.find(kBegin, at)) {
        at += kBegin.size();
        ids.insert(r.body.substr(at, r.body.find('"', at) - at));
      }
    }
    return ids;
  }
  std::set<std::string> ends() const {
    std::set<std::string> ids = noticed();
    for (const auto& [id, arrival] : all_arrivals()) {
      if (arrival.delivered) ids.insert(id);
    }
    return ids;
  }

  // As if a message that ran had run again, and others had come back in another form, been refused or been
  // taken on without an end.
  void plant_flaws(std::map<std::string, Message>& known, Arrivals& arrivals) const {
    int planted = 0;
    for (auto& [id, m] : known) {
      const auto it = arrivals.find(id);
      if (m.seen != Seen::taken || m.message_class != "pay" || it == arrivals.end() || it->second.ran == 0)
        continue;
      if (planted == 0) ++it->second.ran;
      if (planted == 1) it->second.body += "?";
      if (planted == 2) m.seen = Seen::refused;
      if (planted++ == 3) break;
    }
    known["without an end"].seen = Seen::taken;
  }

  Arrivals all_arrivals() const {
    Arrivals all;
    for (const auto& endpoint : endpoints_) {
      for (const auto& [id, a] : endpoint->arrivals()) {
        Arrival& sum = all[id];
        sum.other_body = sum.other_body || a.other_body || (!sum.body.empty() && sum.body != a.body);
        sum.body = a.body;
        sum.ran += a.ran;
        sum.delivered = sum.delivered || a.delivered;
      }
    }
    return all;
  }

  void check() {
    std::map<std::string, Message> known;
    for (const auto& client : clients_) {
      for (const Message& m : client->messages()) known[m.id] = m;
    }
    Arrivals all = all_arrivals();
    if (plan_.plants_flaws) plant_flaws(known, all);
    std::map<std::string, std::size_t> ran;
    for (const auto& [id, arrivals] : all) {
      const auto it = known.find(id);
      if (it == known.end() || it->second.body != arrivals.body || arrivals.other_body) {
        violate(id + ": reached a partner as no client had sent it");
        continue;
      }
      ran[id] += arrivals.ran;
      if (it->second.seen == Seen::refused) violate(id + ": was refused and reached a partner");
    }
    const std::set<std::string> told = noticed(), ended = ends();
    for (const auto& [id, m] : known) {
      ++report_.handed_in;
      ++(m.seen == Seen::taken     ? report_.taken
         : m.seen == Seen::refused ? report_.refused
                                   : report_.unanswered);
      if (m.seen == Seen::failed) violate(id + ": was answered as malformed");
      if (m.message_class == "pay" && ran[id] > 1)
        violate(id + ": ran " + std::to_string(ran[id]) + " times");
      const bool has_end = ended.count(id) > 0;
      report_.noticed += told.count(id);
      report_.delivered += has_end && told.count(id) == 0 ? 1 : 0;
      if (m.seen == Seen::taken && !is_exempt(m) && !has_end) violate(id + ": has no end");
    }
  }

  const FaultPlan plan_;
  FaultReport report_;
  std::array<std::unique_ptr<Endpoint>, 2> endpoints_;
  standin::Platform platform_;
  standin::RelayProcess relay_;
  const std::string switch_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> life_ = 1;
  std::vector<std::unique_ptr<Client>> clients_;
  asio::io_context idle_io_;
  std::vector<standin::tcp::socket> idle_;
  std::vector<std::thread> background_;
};

template <class T>
T pick(std::mt19937_64& random, const std::vector<T>& all) {
  return all[random() % all.size()];
}

}  // namespace

FaultReport run_faults(const std::string& program, const std::string& library, const FaultPlan& plan) {
  return Lab(program, library, plan).run();
}

FaultPlan draw_plan(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  static const std::vector<std::string> kDisk = {
      "call=write errno=ENOSPC path=/state",
      "call=write errno=EIO path=/state every=3",
      "call=write errno=EIO short=11 path=/state every=2",
      "call=write errno=EIO short=7 path=/state;call=ftruncate errno=EIO path=/state",
      "call=open errno=EIO path=/state",
      "call=rename errno=EIO;call=write errno=ENOSPC path=/state every=2",
      "call=flock errno=EIO path=/state",
      "call=read errno=EIO path=/state",
      "call=fstat errno=EIO path=/state"};
  static const std::vector<std::string> kSockets = {"call=send errno=ENOBUFS every=4",
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
  FaultPlan plan;
  plan.seed = seed;
  plan.rules = pick(random, kDisk) + ";" + pick(random, kSockets);
  plan.at_start = random() % 3 == 0;
  plan.span = milliseconds(200 + random() % 1200);
  plan.end = pick(
      random, std::vector{FaultPlan::End::sigterm, FaultPlan::End::sigterm_then_kill, FaultPlan::End::kill});
  plan.extra_signals = static_cast<int>(random() % 4);
  plan.replace_folder = random() % 4 == 0;
  plan.clock_step_s = pick(random, std::vector<long>{0, 0, 3600, -3600, 7});
  plan.idle_clients = random() % 4 == 0 ? 300 : 0;
  return plan;
}

std::string plan_text(const FaultPlan& plan) {
  const char* const ends[] = {"SIGTERM", "SIGTERM then SIGKILL", "SIGKILL"};
  return "rules \"" + plan.rules + "\" for " + std::to_string(plan.span.count()) + " ms" +
         (plan.at_start ? ", at the start" : "") + (plan.under_load ? ", under load" : "") +
         (plan.at_restart ? ", at the restart" : "") + "; " + ends[static_cast<int>(plan.end)] +
         (plan.replace_folder ? ", folder replaced" : "") + ", clock " + std::to_string(plan.clock_step_s) +
         " s, " + std::to_string(plan.idle_clients) + " idle clients";
}

}  // namespace fennellane::harness
