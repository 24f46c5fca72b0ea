// Two relays of one fleet share the host list over Consul (role `refresh`). A new configuration moves
// discovery, to one relay after the other by SIGHUP. Later an endpoint drains. Does the one that follows go
// on sending to it?
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
    // An agent on each relay's machine: of the old discovery, which is at version 40, and of the new one, at
    // version 3.
    Platform old_1(hosts, 40), old_2(hosts, 40), new_1(hosts, 3), new_2(hosts, 3);
    fennellane::standin::ConsulAgent consul;
    const std::string settings =
        "(consul (address \"" + consul.address() +
        "\"))\n(fleet (prefix \"athens\") (roles \"refresh\") (refresh (discovery \"platform\")))\n";
    Relay n1("n1"), n2("n2");
    const auto configure = [&](Relay& relay, const Platform& agent, int index) {
      relay.configure(athens({.name = relay.name(),
                              .listen = relay.address(),
                              .discovery = agent.address(),
                              .known = hosts,
                              .relays = 2,
                              .index = index,
                              .discovery_mode = "push"}));
    };
    configure(n1, old_1, 0);
    configure(n2, old_2, 1);
    n1.settings(settings);
    n2.settings(settings);
    n1.start();
    if (!wait_for([&] { return n1.logged("refresh: acts, token"); }, 25000))
      throw std::runtime_error("no holder: " + n1.log());
    n2.start();
    if (!wait_for([&] { return n2.logged("following the shared list"); }, 25000))
      throw std::runtime_error("not followed: " + n2.log());
    record("relay     n1 holds the role, n2 follows the shared list");
    std::atomic<bool> stopping = false;
    std::thread load([&] {
      Client client(n2.port());
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
    if (trouble()) {
      configure(n2, new_2, 1);
      n2.signal(SIGHUP);
      record("relay     n2 is told that discovery has moved");
    }
    sleep_ms(8000);
    if (trouble()) {
      configure(n1, new_1, 0);
      n1.signal(SIGHUP);
      record("relay     n1 is told that discovery has moved");
    }
    sleep_ms(8000);  // a change counts 4 s after SIGHUP
    const auto told = Clock::now();
    for (Platform* agent : {&old_1, &old_2, &new_1, &new_2}) agent->change(host(first, "draining"));
    sleep_ms(15000);
    stopping = true;
    load.join();
    for (Relay* relay : {&n1, &n2})
      if (relay->ended()) throw std::runtime_error("a relay has ended: " + relay->log());
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
