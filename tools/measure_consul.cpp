// Measures what docs/consul.md promises, on this machine and over loopback: how soon a drain told by Consul
// holds, what one change costs in catalogues of several sizes, and a minute without Consul. Prints tables in
// Markdown.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

#include "answer_reader.hpp"
#include "config.hpp"
#include "consul_agent.hpp"
#include "figures.hpp"
#include "http.hpp"
#include "membership.hpp"
#include "partner.hpp"
#include "reducer.hpp"
#include "relay_process.hpp"
#include "schema_check.hpp"
#include "schemas.hpp"

namespace fennellane {
namespace {

using namespace standin;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

std::string settings_text(const RelayProcess& relay, const std::string& agent, const std::string& more) {
  return "(listen \"" + relay.address() +
         "\") (limits (memory-mb 192) (disk-mb 64))\n"
         "(class (name \"note\") (effect \"free\") (aim-ms 2500) (give-up-ms 24000))\n"
         "(class (name \"pay\") (effect \"single_shot\") (aim-ms 2000) (give-up-ms 16000) (worth 3))\n"
         "(tenant (name \"north\")) (delivery (slots 200) (held 2000))\n(membership \"consul\")\n"
         "(consul (address \"" +
         agent + "\") (service (name \"partner\"))\n" + more + ")\n";
}

CatalogueHost host_of(std::size_t number, std::uint16_t port, std::size_t destination) {
  CatalogueHost host;
  host.id = "p" + std::to_string(number);
  host.node = "node-" + std::to_string(number / 8);
  host.port = port;
  host.meta = {{"destination", std::to_string(destination)}, {"rate", "400"}};
  return host;
}

// Offers messages at a steady pace on one connection, each counted from when it was meant to be sent.
class Load {
 public:
  Load(const RelayProcess& relay, double per_second, std::size_t destinations, unsigned seed,
       const std::string& prefix)
      : relay_(relay),
        gap_(1.0 / per_second),
        destinations_(destinations),
        random_(seed),
        prefix_(prefix),
        thread_([this] { run(); }) {}
  ~Load() { stop(); }
  void stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }
  std::map<std::string, steady_clock::time_point> taken;  // by id, when it was meant to be sent
  std::size_t refused = 0;

 private:
  void run() {
    asio::io_context io;
    auto socket = relay_.connected(io);
    asio::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    HttpReader reader(HttpReader::Kind::response, 65536, 65536);
    const auto begin = steady_clock::now();
    for (std::size_t n = 0; !stop_; ++n) {
      const auto due = begin + std::chrono::duration_cast<steady_clock::duration>(
                                   duration<double>(gap_ * static_cast<double>(n)));
      std::this_thread::sleep_until(due);
      const std::string id = prefix_ + std::to_string(n), kind = n % 12 < 7 ? "note" : "pay";
      const std::string text = "POST /" + kind + " HTTP/1.1\r\nX-Call-Id: " + id +
                               "\r\nX-Call-Class: " + kind +
                               "\r\nX-Caller: north\r\nX-Budget-Ms: 16000\r\nX-Consignee: dest=" +
                               std::to_string(random_() % destinations_) + "\r\nContent-Length: 200\r\n\r\n" +
                               std::string(200, 'x');
      asio::write(socket, asio::buffer(text), error);
      reader.reset();
      char piece[1024];
      while (!error && !reader.done()) {
        const std::size_t got = socket.read_some(asio::buffer(piece), error);
        if (!error) reader.feed({piece, got});
      }
      if (!error && reader.status() == 202) {
        taken[id] = due;
      } else {
        ++refused;
      }
      if (error || !reader.keep_alive()) socket = relay_.connected(io);
      error.clear();
    }
  }
  const RelayProcess& relay_;
  const double gap_;
  const std::size_t destinations_;
  std::mt19937 random_;
  const std::string prefix_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

// --- 1. Flips
void flips(const std::string& program, int for_seconds) {
  constexpr std::size_t kHosts = 40, kDestinations = 20;
  ConsulAgent agent;
  std::vector<std::unique_ptr<Partner>> partners;
  agent.change("partner", [&](ConsulAgent::Hosts& hosts) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      partners.push_back(std::make_unique<Partner>(milliseconds(20)));
      const CatalogueHost host = host_of(i, partners[i]->port(), i % kDestinations);
      hosts[host.id] = host;
    }
  });
  RelayProcess relay(program);
  // Damping is off: a return that waits would spare the relay flips.
  relay.replace_settings(settings_text(relay, agent.address(), "(damping (suppress 1000) (reuse 1))"));
  relay.start();
  Load load(relay, 300, kDestinations, 5, "f");
  struct Flip {
    std::size_t host;
    std::uint64_t index;
    bool down;
    steady_clock::time_point at;
  };
  std::vector<Flip> done;
  std::mt19937 random(11);
  std::vector<int> down(kHosts, 0);
  const auto end = steady_clock::now() + seconds(for_seconds);
  while (steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(20 + random() % 60));  // each host every 2 s, in the mean
    const std::size_t i = random() % kHosts;
    const std::uint16_t port = partners[i]->port();
    const unsigned how = random() % 3;
    const bool goes = down[i] == 0;
    const std::uint64_t index = agent.change("partner", [&](ConsulAgent::Hosts& hosts) {
      CatalogueHost host = host_of(i, port, i % kDestinations);
      if (goes && how == 0) host.status = "critical";
      if (goes && how == 1) host.maintenance = true;
      hosts[host.id] = host;
      if (goes && how == 2) hosts.erase(host.id);
    });
    down[i] = goes ? 1 : 0;
    done.push_back({i, index, goes, steady_clock::now()});
  }
  load.stop();
  happens([&] { return relay.counter("journal.held") == 0; });
  // A drain is told with the first answer that is at least as new. A call counts as late if it came after
  // that, and before the host was told to be back.
  const std::vector<Served> served = agent.served();
  const auto told = [&](std::uint64_t index) {
    for (const Served& s : served) {
      if (s.index >= index) return s.last_byte;
    }
    return steady_clock::time_point::max();
  };
  std::vector<std::vector<PartnerCall>> calls;
  for (const auto& partner : partners) calls.push_back(partner->calls());
  std::vector<double> late, behind;
  std::size_t downs = 0, unseen = 0, late_calls = 0;
  for (std::size_t f = 0; f < done.size(); ++f) {
    if (!done[f].down) continue;
    auto back = steady_clock::time_point::max();
    for (std::size_t g = f + 1; g < done.size(); ++g) {
      if (done[g].host == done[f].host) {
        back = told(done[g].index);
        break;
      }
    }
    const auto from = told(done[f].index);
    if (from == back) {  // over before an answer had it
      ++unseen;
      continue;
    }
    ++downs;
    double last = 0;
    for (const PartnerCall& call : calls[done[f].host]) {
      if (call.first_byte <= from || call.first_byte >= back) continue;
      last = std::max(last, duration<double, std::milli>(call.first_byte - from).count());
      ++late_calls;
    }
    late.push_back(last);
    behind.push_back(duration<double, std::milli>(from - done[f].at).count());
  }
  std::size_t total = 0;
  for (const auto& c : calls) total += c.size();
  std::printf("\n| flips | drains | calls | late calls | p50 ms | p99 ms | max ms |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  std::printf("| %zu | %zu | %zu | %zu | %.2f | %.2f | %.2f |\n", done.size(), downs, total, late_calls,
              percentile(late, 0.5), percentile(late, 0.99), percentile(late, 1));
  std::printf(
      "\nDrains that were over before an answer had them: %zu. From the change in the agent to the answer's "
      "last "
      "byte: p50 %.2f ms, p99 %.2f ms. Taken %zu, refused %zu; delivered %llu, undeliverable %llu.\n",
      unseen, percentile(behind, 0.5), percentile(behind, 0.99), load.taken.size(), load.refused,
      static_cast<unsigned long long>(relay.counter("delivered")),
      static_cast<unsigned long long>(relay.counter("undeliverable")));
}

// --- 2. Sizes
double cpu_ms(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string word;
  double ticks = 0;
  for (int i = 3; i <= 15 && rest >> word; ++i) {
    if (i >= 14) ticks += std::stod(word);
  }
  return ticks * 1000.0 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void sizes(const std::string& program) {
  std::printf(
      "\n| hosts | answer KB | read, as before, us | read, one changed, us | the change itself, us | reducer "
      "and "
      "module, us | relay, CPU ms a change | relay, RSS KB |\n| --- | --- | --- | --- | --- | --- | --- | "
      "--- |\n");
  for (const std::size_t count : {1u, 100u, 1000u, 10000u}) {
    // In this process: the reader, the membership and the reducer alone.
    ConsulSettings settings;
    settings.services.resize(1);
    settings.services[0].name = "partner";
    settings.membership.damping.suppress = 1e9;
    const NamePositions names;
    AnswerReader reader(settings, 0, names, AnswerLimits{});
    Membership membership(settings.membership);
    starlinghook::Settings module;
    module.classes.resize(1);
    module.slots = 100;
    module.max_held = 100;
    module.max_attempts = 12;
    module.drain_grace = seconds(1);
    Limits limits;
    limits.max_held = limits.max_held_and_unnoticed = 100;
    Counters counters;
    Reducer reducer(module, limits, 1, counters);
    std::vector<std::string> elements;
    for (std::size_t i = 0; i < count; ++i) {
      elements.push_back(element_json("partner", host_of(i, 1000, i / 4)));
    }
    Time now = seconds(10);
    const auto pass = [&](double& read_us, double& reduce_us) {
      std::string text = "[";
      for (const std::string& e : elements) text += (text.size() > 1 ? "," : "") + e;
      text += "]";
      const auto begin = steady_clock::now();
      reader.begin();
      for (std::size_t at = 0; at < text.size(); at += 8192) {
        reader.feed(std::string_view(text).substr(at, 8192));
      }
      MembershipChange change = membership.apply(now, reader.finish());
      const auto middle = steady_clock::now();
      now += milliseconds(10);
      if (change.list) reducer.reduce(now, ClusterChanged{std::move(*change.list), false});
      read_us = duration<double, std::micro>(middle - begin).count();
      reduce_us = duration<double, std::micro>(steady_clock::now() - middle).count();
      return text.size();
    };
    double read = 0, reduce = 0;
    const std::size_t bytes = pass(read, reduce);
    std::vector<double> same, changed, reduced;
    for (int i = 0; i < 101; ++i) {
      pass(read, reduce);
      same.push_back(read);
      CatalogueHost host = host_of(count / 2, 1000, count / 2 / 4);
      host.status = i % 2 == 0 ? "critical" : "passing";
      elements[count / 2] = element_json("partner", host);
      pass(read, reduce);
      changed.push_back(read);
      reduced.push_back(reduce);
    }
    // The program itself, with the stand-in agent.
    ConsulAgent agent;
    agent.change("partner", [&](ConsulAgent::Hosts& hosts) {
      for (std::size_t i = 0; i < count; ++i) {
        const CatalogueHost host = host_of(i, 1000, i / 4);
        hosts[host.id] = host;
      }
    });
    RelayProcess relay(program);
    relay.replace_settings(settings_text(relay, agent.address(), "(damping (suppress 1000) (reuse 1))"));
    relay.start();
    const std::string id = "p" + std::to_string(count / 2);
    const double before = cpu_ms(relay.pid());
    constexpr int kChanges = 100;
    for (int i = 0; i < kChanges; ++i) {
      const std::uint64_t index = agent.set_status("partner", id, i % 2 == 0 ? "critical" : "passing");
      happens([&] {
        const auto served = agent.served();
        return !served.empty() && served.back().index >= index;
      });
    }
    std::this_thread::sleep_for(milliseconds(200));
    const double cpu = (cpu_ms(relay.pid()) - before) / kChanges;
    std::printf("| %zu | %zu | %.0f | %.0f | %.0f | %.0f | %.2f | %.0f |\n", count, bytes / 1024,
                percentile(same, 0.5), percentile(changed, 0.5),
                percentile(changed, 0.5) - percentile(same, 0.5), percentile(reduced, 0.5), cpu,
                static_cast<double>(memory_kb(relay.pid(), "VmRSS")));
    std::fflush(stdout);
  }
}

// What a check by JSON Schema costs: of a platform's configuration, and of one host of an answer.
void schema(const std::string& config_path) {
  std::ifstream in(config_path);
  const std::string config((std::istreambuf_iterator<char>(in)), {});
  const auto median_us = [](const std::function<void()>& what) {
    std::vector<double> times;
    for (int i = 0; i < 201; ++i) {
      const auto begin = steady_clock::now();
      what();
      times.push_back(duration<double, std::micro>(steady_clock::now() - begin).count());
    }
    return percentile(times, 0.5);
  };
  Json::Value value, host, host_schema, config_schema;
  std::istringstream(config) >> value;
  std::istringstream(kConfigSchema) >> config_schema;
  std::istringstream(element_json("partner", host_of(1, 1000, 1))) >> host;
  std::istringstream(R"({"type":"object","required":["Node","Service","Checks"],"properties":{
    "Node":{"type":"object","required":["Node"],"properties":{"Node":{"type":"string"},"Address":{"type":"string"}}},
    "Service":{"type":"object","required":["ID"],"properties":{"ID":{"type":"string"},"Address":{"type":"string"},
      "Port":{"type":"integer"},"Meta":{"type":"object"},"Weights":{"type":"object"}}},
    "Checks":{"type":"array","items":{"type":"object","required":["Status"],"properties":{
      "Status":{"type":"string","enum":["passing","warning","critical","maintenance"]},
      "CheckID":{"type":"string"}}}}}})") >>
      host_schema;
  std::printf("\n| check | us |\n| --- | --- |\n");
  std::printf("| the configuration by its schema, the schema read anew | %.0f |\n",
              median_us([&] { find_schema_error(value, config_schema); }));
  std::printf("| the whole configuration read, this check included | %.0f |\n",
              median_us([&] { parse_config(config); }));
  std::printf("| one host by a schema, the schema read anew | %.0f |\n",
              median_us([&] { find_schema_error(host, host_schema); }));
}

// --- 3. Without Consul: two relays in one run, one of them with an agent that fails after a while.
void outage(const std::string& program, int for_seconds) {
  struct Side {
    explicit Side(const std::string& program) : relay(program) {}
    ConsulAgent agent;
    std::vector<std::unique_ptr<Partner>> partners;
    RelayProcess relay;
    std::unique_ptr<Load> load;
  };
  constexpr std::size_t kHosts = 12, kDestinations = 6;
  std::vector<std::unique_ptr<Side>> sides;
  for (int s = 0; s < 2; ++s) {
    sides.push_back(std::make_unique<Side>(program));
    Side& side = *sides.back();
    side.agent.change("partner", [&](ConsulAgent::Hosts& hosts) {
      for (std::size_t i = 0; i < kHosts; ++i) {
        side.partners.push_back(std::make_unique<Partner>(milliseconds(40)));
        const CatalogueHost host = host_of(i, side.partners[i]->port(), i % kDestinations);
        hosts[host.id] = host;
      }
    });
    side.relay.replace_settings(settings_text(side.relay, side.agent.address(), ""));
    side.relay.start();
  }
  for (const auto& side : sides) side->load = std::make_unique<Load>(side->relay, 100, kDestinations, 5, "o");
  std::this_thread::sleep_for(seconds(2));
  sides[1]->agent.set_fault(Fault::error_500);
  std::this_thread::sleep_for(seconds(for_seconds / 2));
  sides[1]->agent.set_fault(Fault::silent);
  std::this_thread::sleep_for(seconds(for_seconds - for_seconds / 2));
  std::printf(
      "\n| Consul | taken | refused | delivered | undeliverable | p50 ms | p99 ms | queries without answer "
      "|\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& side : sides) {
    side->load->stop();
    happens([&] { return side->relay.counter("journal.held") == 0; });
    std::vector<double> times;
    for (const auto& partner : side->partners) {
      for (const PartnerCall& call : partner->calls()) {
        const auto it = side->load->taken.find(call.id);
        if (it != side->load->taken.end()) {
          times.push_back(duration<double, std::milli>(call.first_byte - it->second).count());
        }
      }
    }
    std::printf("| %s | %zu | %zu | %llu | %llu | %.2f | %.2f | %llu |\n",
                side == sides[0] ? "there" : "away", side->load->taken.size(), side->load->refused,
                static_cast<unsigned long long>(side->relay.counter("delivered")),
                static_cast<unsigned long long>(side->relay.counter("undeliverable")), percentile(times, 0.5),
                percentile(times, 0.99),
                static_cast<unsigned long long>(side->relay.counter("consul.errors")));
  }
}

}  // namespace
}  // namespace fennellane

int main(int argc, char** argv) {
  CLI::App app{"Measures the relay with a stand-in for Consul, over loopback"};
  app.require_subcommand(1);
  std::string program;
  int for_seconds = 60;
  app.add_option("--program", program, "the relay")->required()->check(CLI::ExistingFile);
  app.add_option("--seconds", for_seconds, "of load")->check(CLI::Range(4, 600));
  CLI::App* flips =
      app.add_subcommand("flips", "states that flip: how late is the last new call after a drain");
  CLI::App* sizes = app.add_subcommand("sizes", "one change in catalogues of several sizes");
  CLI::App* outage = app.add_subcommand("outage", "a while without Consul, beside a relay that has it");
  CLI::App* schema = app.add_subcommand("schema", "what a check by JSON Schema costs");
  std::string config;
  schema->add_option("config", config, "a platform's configuration")->required()->check(CLI::ExistingFile);
  CLI11_PARSE(app, argc, argv);
  std::printf("%u processors\n", std::thread::hardware_concurrency());
  if (flips->parsed()) fennellane::flips(program, for_seconds);
  if (sizes->parsed()) fennellane::sizes(program);
  if (schema->parsed()) fennellane::schema(config);
  if (outage->parsed()) fennellane::outage(program, for_seconds);
  return 0;
}
