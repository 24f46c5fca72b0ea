// Two relays of one fleet share the host list over Consul (role `refresh`). The one that watches discovery
// for both is killed, and an endpoint drains. Does the other one go on sending to it?
#include "consul_agent.hpp"
#include "sites.hpp"

using namespace lab;

int main(int, char** argv) {
  return run_case(argv[1], [] {
    constexpr long kGraceMs = 1000 + 50;
    CallLog log;
    const auto answer = [](const Call&) { return Reply{.after_ms = 60}; };
    Endpoint first("e-1", log, answer), second("e-2", log, answer);
    const auto host = [](const Endpoint& e, const char* state) {
      return Host{.id = e.name(),
                  .address = e.address(),
                  .cell = 4,
                  .state = state,
                  .kind = "bank-gateways",
                  .zone = "marousi-dc"};
    };
    const std::vector<Host> hosts = {host(first, "ready"), host(second, "ready")};
    Platform agent_a(hosts, 10), agent_b(hosts, 10);  // one on each relay's machine
    fennellane::standin::ConsulAgent consul;
    const std::string settings =
        "(consul (address \"" + consul.address() +
        "\"))\n(fleet (prefix \"athens\") (roles \"refresh\") (refresh (discovery \"platform\")))\n";
    Relay a("n1"), b("n2");
    const auto configure = [&](Relay& relay, const Platform& agent, int index) {
      relay.configure(athens({.name = relay.name(),
                              .listen = relay.address(),
                              .discovery = agent.address(),
                              .known = hosts,
                              .relays = 2,
                              .index = index,
                              .discovery_mode = "push"}));
      relay.settings(settings);
    };
    configure(a, agent_a, 0);
    configure(b, agent_b, 1);
    a.start();
    if (!wait_for([&] { return a.logged("refresh: acts, token"); }, 25000))
      throw std::runtime_error("no holder: " + a.log());
    record("relay     n1 holds the role and watches discovery for the fleet");
    b.start();
    if (!wait_for([&] { return b.logged("following the shared list"); }, 25000))
      throw std::runtime_error("not followed: " + b.log());
    record("relay     n2 follows the shared list");

    std::atomic<bool> stopping = false;
    std::thread load([&] {
      Client client(b.port());
      for (int n = 0; !stopping; ++n) {
        client.submit({.id = "m" + std::to_string(n),
                       .message_class = n % 2 ? "order-payment" : "template-notice",
                       .destination = 4,
                       .budget_ms = 16000,
                       .tenant = "attiki"});
        sleep_ms(100);
      }
    });
    sleep_ms(2000);
    if (trouble()) a.end(SIGKILL);
    sleep_ms(300);
    const auto told = Clock::now();
    agent_a.change(host(first, "draining"));
    agent_b.change(host(first, "draining"));
    sleep_ms(12000);
    stopping = true;
    load.join();
    if (b.ended()) throw std::runtime_error("the relay has ended: " + b.log());
    int late = 0, before = 0;
    for (const Call& c : log.all()) {
      if (c.endpoint != "e-1") continue;
      before += c.first_byte < told ? 1 : 0;
      if (c.first_byte <= told + Ms(kGraceMs)) continue;
      ++late;
      record("LATE      e-1 id=%s began %.0f ms after the agent had the drain", c.id.c_str(),
             ms_since_start(c.first_byte) - ms_since_start(told));
    }
    record("%d calls to e-1 before the drain, %d later than %ld ms after it", before, late, kGraceMs);
    if (before < 3) throw std::runtime_error("too few calls before the drain");
    return late == 0;
  });
}
