// The relay with Consul as its membership source, against a stand-in for the agent.
#include "command.hpp"
#include "consul_agent.hpp"
#include "relay_fixture.hpp"

namespace fennellane {
namespace {

using namespace test;
using standin::CatalogueHost;
using standin::ConsulAgent;
using standin::Fault;

std::uint16_t port_of(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

CatalogueHost host_at(const std::string& id, const std::string& address, int destination = 7) {
  CatalogueHost host;
  host.id = id;
  host.port = port_of(address);
  host.meta = {{"destination", std::to_string(destination)}, {"rate", "200"}};
  return host;
}

std::string settings_text(const std::string& agent, const std::string& more = "",
                          const std::string& of_service = "") {
  return "(membership \"consul\")\n(consul (address \"" + agent + "\") (service (name \"bank\")" +
         of_service + ")\n" + more + ")\n";
}

// A relay with the platform (which accepts its notices), an agent and two partner endpoints.
class Consul : public testing::Test {
 protected:
  Consul() { agent.put("bank", host_at("b1", host.address())); }
  // Submits one message and returns the status of the answer.
  unsigned submit(const std::string& id, const std::string& kind = "note", int destination = 7) {
    return relay.ask(request_text(id, "x", kind, destination));
  }
  void start(const std::string& more = "") {
    relay.replace_settings(settings_text(agent.address(), more));
    relay.start();
  }
  void settings(const std::string& text) {
    relay.replace_settings(text);
    relay.signal(SIGHUP);
  }

  std::atomic<bool> refuse_calls = false;
  Server host{[this](const Request&) { return answer(refuse_calls ? "503 Full" : "200 OK"); }};
  Server other{[](const Request&) { return answer("200 OK"); }};
  Platform platform{{{"p-1", other.address()}}};
  ConsulAgent agent;
  RelayProgram relay{platform.address()};
};

TEST_F(Consul, DeliversToTheHostsOfTheCatalogue) {
  start();
  EXPECT_EQ(submit("a1"), 202u);
  EXPECT_TRUE(happens([&] { return host.count("a1") == 1; })) << relay.log();
  EXPECT_EQ(submit("a2", "note", 8), 400u);  // a destination without hosts
  agent.put("bank", host_at("b2", other.address(), 8));
  EXPECT_TRUE(happens([&] { return submit("a3", "note", 8) == 202; })) << relay.log();
  EXPECT_TRUE(happens([&] { return other.count("a3") == 1; }));
  EXPECT_EQ(platform.watches(), 0u);
}

// A drain or removal, then a return: messages held meanwhile are sent when a host accepts work again.
TEST_F(Consul, SendsNothingNewToHostsThatDrainOrAreGone) {
  start();
  ASSERT_EQ(submit("a1"), 202u);
  ASSERT_TRUE(happens([&] { return host.count("a1") == 1; }));
  for (const char* state : {"critical", "maintenance", "gone"}) {
    const std::string kind = state;
    const std::uint64_t answers = relay.counter("consul.answers");
    agent.change("bank", [&](ConsulAgent::Hosts& hosts) {
      if (kind == "gone") {
        hosts.clear();
      } else {
        hosts.begin()->second.status = kind == "critical" ? "critical" : "passing";
        hosts.begin()->second.maintenance = kind == "maintenance";
      }
    });
    // Emptied without a drain: two answers, since the query is repeated at the leader.
    ASSERT_TRUE(
        happens([&] { return relay.counter("consul.answers") >= answers + (kind == "gone" ? 2 : 1); }));
    ASSERT_EQ(submit("held-" + kind), 202u);
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(host.count("held-" + kind), 0u) << state;
    agent.put("bank", host_at("b1", host.address()));
    EXPECT_TRUE(happens([&] { return host.count("held-" + kind) == 1; })) << state << relay.log();
  }
}

// Deliveries continue with the last valid list while Consul fails in any way.
TEST_F(Consul, KeepsTheLastValidListThroughEachFault) {
  start("(answer-ms 500) (wait-ms 1000)");
  int n = 0;
  for (const Fault fault :
       {Fault::error_500, Fault::no_leader, Fault::forbidden_403, Fault::missing_404, Fault::too_many_429,
        Fault::redirect_301, Fault::garbage, Fault::wrong_type, Fault::cut, Fault::dribble, Fault::bad_chunk,
        Fault::huge, Fault::no_index, Fault::silent}) {
    const std::size_t queries = agent.queries();
    const std::uint64_t errors = relay.counter("consul.errors");
    agent.set_fault(fault);
    if (fault == Fault::silent) {
      ASSERT_TRUE(happens([&] { return agent.queries() > queries; })) << n;
    } else {
      ASSERT_TRUE(happens([&] { return relay.counter("consul.errors") > errors; })) << n << relay.log();
    }
    const std::string id = "during-" + std::to_string(n);
    EXPECT_EQ(submit(id), 202u);
    EXPECT_TRUE(happens([&] { return host.count(id) == 1; })) << n << relay.log();
    agent.set_fault(Fault::none);
    agent.close_connections();
    // A change made meanwhile is picked up right after the fault.
    const std::string added = "n" + std::to_string(n++);
    agent.put("bank", host_at(added, other.address(), 100 + n));
    EXPECT_TRUE(happens([&] { return submit("new-" + added, "note", 100 + n) == 202; }))
        << added << relay.log();
  }
  EXPECT_LT(relay.logged("consul: "), 60u) << relay.log();
  EXPECT_TRUE(relay.runs());
}

// A relay that starts while Consul is unreachable uses the list saved by the previous process.
TEST_F(Consul, StartsWithTheSavedListIfConsulIsUnreachable) {
  start();
  ASSERT_EQ(submit("a1"), 202u);
  ASSERT_TRUE(happens([&] { return relay.counter("consul.saves") >= 1; })) << relay.log();
  EXPECT_EQ(relay.end(SIGKILL), -SIGKILL);
  agent.set_fault(Fault::error_500);
  relay.start();
  EXPECT_EQ(relay.logged("1 hosts restored from the previous process"), 1u) << relay.log();
  EXPECT_EQ(submit("a2"), 202u);
  EXPECT_TRUE(happens([&] { return host.count("a2") == 1; })) << relay.log();
  EXPECT_EQ(submit("a3", "note", 8), 503u);  // unknown, since the list may be outdated
  // Drained during the outage: takes effect with the first answer.
  agent.set_status("bank", "b1", "critical");
  agent.set_fault(Fault::none);
  ASSERT_TRUE(happens([&] { return relay.counter("consul.answers") >= 1; }));
  ASSERT_EQ(submit("a4"), 202u);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(host.count("a4"), 0u);
}

// The endpoint is healthy by the catalogue but refuses every call: the delivery module's backoff applies and
// is not shortened by passing checks.
TEST_F(Consul, PassingDoesNotShortenABackoff) {
  refuse_calls = true;
  start();
  ASSERT_EQ(submit("a1"), 202u);
  ASSERT_TRUE(happens([&] { return host.count("a1") >= 2; }));
  const std::size_t before = host.count("a1");
  const auto start_time = std::chrono::steady_clock::now();
  for (int i = 0; i < 50; ++i) {
    agent.set_status("bank", "b1", i % 2 == 0 ? "warning" : "passing");
    std::this_thread::sleep_for(milliseconds(10));
  }
  // The backoff is linear, 1.5 s times the attempts made, and allows at most one more attempt per 1.5 s.
  const auto elapsed = std::chrono::steady_clock::now() - start_time;
  EXPECT_LE(host.count("a1"), before + 1 + static_cast<std::size_t>(elapsed / milliseconds(1500)));
  refuse_calls = false;
  EXPECT_TRUE(happens([&] { return relay.counter("delivered") == 1; })) << relay.log();
}

// After the index decreases, an older answer does not revert a drain; the answer of the leader is used.
TEST_F(Consul, RepeatsTheQueryIfTheIndexDecreases) {
  start();
  agent.set_status("bank", "b1", "critical");
  ASSERT_TRUE(happens([&] { return relay.counter("consul.answers") >= 2; }));
  agent.restart_index(3);
  ASSERT_TRUE(happens([&] {
    // At any position: the stand-in records an answer only after writing it, so the order may differ.
    const auto served = agent.served();
    return std::any_of(served.begin(), served.end(), [](const auto& s) {
      return s.index == 3 && s.target.find("index=0") != std::string::npos;
    });
  }));
  agent.set_status("bank", "b1", "passing");
  EXPECT_EQ(submit("a1"), 202u);
  EXPECT_TRUE(happens([&] { return host.count("a1") == 1; })) << relay.log();
}

// Seeded random changes of the catalogue and faults of the agent, interleaved: once the agent works again,
// the relay's list matches the catalogue.
TEST_F(Consul, ConvergesToTheCatalogueAfterAnySeriesOfFaults) {
  start("(wait-ms 1000) (answer-ms 300) (damping (suppress 1000) (reuse 1))");
  std::mt19937 random(20261201);
  const std::vector<Fault> faults = {Fault::error_500, Fault::cut,     Fault::garbage,   Fault::silent,
                                     Fault::no_leader, Fault::chunked, Fault::bad_chunk, Fault::dribble,
                                     Fault::no_index,  Fault::none,    Fault::none};
  constexpr std::size_t kHosts = 4;
  std::vector<std::string> states(kHosts, "gone");
  std::uint64_t lowest = 1000000;
  for (int step = 0; step < 80; ++step) {
    const std::size_t i = random() % kHosts;
    const std::string id = "h" + std::to_string(i);
    CatalogueHost h = host_at(id, host.address(), 20 + static_cast<int>(i));
    const char* const kinds[] = {"passing", "critical", "warning", "gone"};
    states[i] = h.status = kinds[random() % 4];
    if (states[i] == "gone") {
      agent.remove("bank", id);
    } else {
      agent.put("bank", h);
    }
    if (random() % 4 == 0) agent.set_fault(faults[random() % faults.size()]);
    if (random() % 8 == 0) agent.close_connections();
    if (random() % 16 == 0) agent.restart_index(lowest -= 1000);
    agent.set_leader(random() % 8 != 0);
    std::this_thread::sleep_for(milliseconds(random() % 30));
  }
  agent.set_fault(Fault::none);
  agent.set_leader(true);
  agent.close_connections();
  agent.put("bank", host_at("last", host.address(), 30));
  // Once the last change is known, so are all before it, except for hosts first missing in that answer: these
  // stay until the next answer confirms the loss.
  ASSERT_TRUE(happens([&] { return submit("to-last", "note", 30) == 202; })) << relay.log();
  agent.put("bank", host_at("behind-last", host.address(), 31));
  ASSERT_TRUE(happens([&] { return submit("to-behind-last", "note", 31) == 202; })) << relay.log();
  for (std::size_t i = 0; i < kHosts; ++i) {
    const std::string id = "to-h" + std::to_string(i);
    const bool expected = states[i] == "passing" || states[i] == "warning";
    const bool accepted = submit(id, "note", 20 + static_cast<int>(i)) == 202;
    EXPECT_TRUE(accepted || !expected) << i << relay.log();
    if (!expected) continue;
    EXPECT_TRUE(happens([&] { return host.count(id) == 1; })) << i << relay.log();
  }
  std::this_thread::sleep_for(milliseconds(300));
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (states[i] == "critical" || states[i] == "gone") {
      EXPECT_EQ(host.count("to-h" + std::to_string(i)), 0u) << i << relay.log();
    }
  }
  EXPECT_TRUE(relay.runs());
}

TEST_F(Consul, ChangingTheSourceUnderLoadLosesNoMessage) {
  relay.replace_settings("(membership \"platform\")");
  relay.start();
  std::atomic<bool> done = false;
  std::atomic<std::uint64_t> accepted = 0;
  std::thread load([&] {
    for (int i = 0; !done; ++i) {
      if (submit("m" + std::to_string(i), i % 2 == 0 ? "note" : "pay") == 202) ++accepted;
      std::this_thread::sleep_for(milliseconds(10));
    }
  });
  const auto expect_traffic_at = [&](const Server& server) {
    const std::size_t before = server.requests().size();
    EXPECT_TRUE(happens([&] { return server.requests().size() > before + 20; })) << relay.log();
  };
  expect_traffic_at(other);
  settings(settings_text(agent.address()));
  expect_traffic_at(host);
  settings("(membership \"platform\")");
  expect_traffic_at(other);
  settings("(membership \"list\") (host (id \"x\") (address \"" + host.address() + "\") (destination 7))");
  expect_traffic_at(host);
  settings("(membership \"consul\")");  // invalid: nothing changes
  EXPECT_TRUE(happens([&] { return relay.logged("the old configuration stays") == 1; })) << relay.log();
  expect_traffic_at(host);
  done = true;
  load.join();
  EXPECT_TRUE(happens([&] { return relay.counter("journal.held") == 0; })) << relay.log();
  const std::uint64_t ended =
      relay.counter("delivered") + relay.counter("deferred") + relay.counter("undeliverable");
  EXPECT_EQ(ended, accepted);
  EXPECT_EQ(relay.counter("undeliverable"), 0u) << relay.log();
  std::map<std::string, int> ids;
  for (const Server* server : {&host, &other}) {
    for (const Request& r : server->requests()) ++ids[r.id];
  }
  EXPECT_EQ(ids.size(), relay.counter("delivered"));
  for (const auto& [id, count] : ids) EXPECT_EQ(count, 1) << id;
}

TEST_F(Consul, SendsAndReloadsItsTokenAndNeverLogsIt) {
  const std::string file = relay.state_folder() + "/token";
  std::ofstream(file) << "s3cr3t-one\n";
  start("(token-file \"" + file + "\")");
  ASSERT_TRUE(happens([&] { return !agent.served().empty(); }));
  EXPECT_EQ(agent.served().front().token, "s3cr3t-one");
  std::ofstream(file) << "s3cr3t-two\n";
  relay.signal(SIGHUP);
  agent.set_status("bank", "b1", "warning");
  EXPECT_TRUE(happens([&] { return agent.served().back().token == "s3cr3t-two"; })) << relay.log();
  EXPECT_EQ(submit("a1"), 202u);
  EXPECT_TRUE(happens([&] { return host.count("a1") == 1; }));
  EXPECT_EQ(relay.logged("s3cr3t"), 0u);
}

// The relay registers itself, passes its check once ready, and deregisters at SIGTERM. A failing agent does
// not affect deliveries.
TEST_F(Consul, RegistersAndDeregistersItself) {
  start("(register (service \"relay\") (ttl-ms 1000))");
  const auto put = [&](const std::string& target) {
    const auto puts = agent.puts();
    return std::any_of(puts.begin(), puts.end(), [&](const standin::Put& p) { return p.target == target; });
  };
  EXPECT_TRUE(happens([&] { return put("/v1/agent/check/pass/service:relay-n0"); })) << relay.log();
  relay.signal(SIGHUP);  // with the same settings
  EXPECT_TRUE(happens([&] { return relay.logged("nothing of Consul has changed") == 1; })) << relay.log();
  const std::string body = agent.puts().front().body;
  EXPECT_NE(body.find("\"ID\":\"relay-n0\""), std::string::npos) << body;
  EXPECT_NE(body.find("\"TTL\":\"1000ms\""), std::string::npos) << body;
  agent.set_fault(Fault::error_500);
  ASSERT_TRUE(happens([&] { return relay.logged("registration: status 500") == 1; })) << relay.log();
  EXPECT_EQ(submit("a1"), 202u);
  agent.set_fault(Fault::none);
  ASSERT_TRUE(happens([&] { return relay.logged("registration: working again") == 1; }));
  EXPECT_FALSE(put("/v1/agent/service/deregister/relay-n0"));
  EXPECT_EQ(relay.end(SIGTERM), 0);
  EXPECT_TRUE(put("/v1/agent/service/deregister/relay-n0"));
}

// An upgrade keeps the list, the watch and the registration; the new process sees drains as the old one did.
TEST_F(Consul, AnUpgradeKeepsTheListAndTheRegistration) {
  relay.replace_settings(settings_text(agent.address(), "(register (service \"relay\") (ttl-ms 1000))") +
                         "(upgrade (start-ms 60000) (state-ms 60000) (taken-ms 60000))");
  relay.start();
  const auto puts = [&](const std::string& part) {
    const auto all = agent.puts();
    return std::count_if(all.begin(), all.end(),
                         [&](const standin::Put& p) { return p.target.find(part) != std::string::npos; });
  };
  ASSERT_TRUE(happens([&] { return puts("/check/pass/") > 0; }));
  ASSERT_EQ(upgrade::request_upgrade(relay.state_folder(), std::chrono::seconds(90)), 0) << relay.log();
  const auto heartbeats = puts("/check/pass/");
  EXPECT_TRUE(happens([&] { return puts("/check/pass/") > heartbeats + 1; }));
  EXPECT_EQ(puts("/service/register"), 1);
  EXPECT_EQ(puts("/service/deregister"), 0);
  const std::uint64_t answers = relay.counter("consul.answers");
  agent.set_status("bank", "b1", "critical");
  ASSERT_TRUE(happens([&] { return relay.counter("consul.answers") > answers; }));
  EXPECT_EQ(submit("held"), 202u);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(host.count("held"), 0u);
  agent.set_status("bank", "b1", "passing");
  EXPECT_TRUE(happens([&] { return host.count("held") == 1; })) << relay.log();
  EXPECT_EQ(relay.end(SIGTERM), 0);
  EXPECT_EQ(puts("/service/deregister"), 1);
}

// Without a platform, undelivered messages are logged and counted, and need no notice.
TEST(Alone, ServesWithTheSettingsFileOnly) {
  Server ok([](const Request&) { return answer("200 OK"); });
  Server failing([](const Request&) { return answer("500 Bad"); });
  standin::RelayProcess relay(FENNELLANE_PROGRAM);
  relay.replace_settings(
      "(name \"alone\") (listen \"" + relay.address() + "\") (log (form \"json\"))\n" +
      "(class (name \"note\") (effect \"free\") (aim-ms 2000) (give-up-ms 20000))\n" +
      "(class (name \"pay\") (effect \"single_shot\") (aim-ms 2000) (give-up-ms 20000))\n" +
      "(tenant (name \"south\"))\n(host (id \"a\") (address \"" + ok.address() +
      "\") (destination 7))\n(host (id \"b\") (address \"" + failing.address() + "\") (destination 8))");
  relay.start();
  EXPECT_EQ(relay.ask(request_text("a1")), 202u);
  EXPECT_TRUE(happens([&] { return ok.count("a1") == 1; })) << relay.log();
  EXPECT_EQ(relay.ask(request_text("b1", "x", "pay", 8)), 202u);
  EXPECT_TRUE(happens([&] {
    return relay.logged("\"part\":\"undelivered\",\"msg\":\"b1: undeliverable\"") == 1;
  })) << relay.log();
  EXPECT_EQ(failing.count("b1"), 1u);
  EXPECT_TRUE(happens([&] { return relay.counter("journal.held") == 0; })) << relay.log();
  EXPECT_EQ(relay.counter("unnoticed"), 1u);
  EXPECT_EQ(relay.end(SIGTERM), 0);
}

}  // namespace
}  // namespace fennellane
