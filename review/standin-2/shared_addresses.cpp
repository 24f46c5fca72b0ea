// The address of an endpoint is not the same for two relays of one fleet, which share the host list over
// Consul (role `refresh`). Does a message reach an endpoint of another destination?
#include "consul_agent.hpp"
#include "sites.hpp"

using namespace lab;

int main(int, char** argv) {
  return run_case(argv[1], [] {
    // Two addresses. On n1's machine the first leads to endpoint s-1 (destination 1) and the second to s-2
    // (destination 2). On n2's machine it is the other way round, and each relay's agent says so. Whose call
    // it is, the stand-in for the network between them knows by the message: `a-` came to n1, `b-` to n2.
    const bool differ = trouble();
    CallLog log;
    const auto answer = [](const Call&) { return Reply{.after_ms = 60}; };
    Endpoint one("address-1", log, answer), two("address-2", log, answer), three("address-3", log, answer);
    const auto host = [](int cell, const Endpoint& at) {
      return Host{.id = "s-" + std::to_string(cell),
                  .address = at.address(),
                  .cell = cell,
                  .kind = "bank-gateways",
                  .zone = "marousi-dc"};
    };
    const std::vector<Host> at_n1 = {host(1, one), host(2, two)};
    const std::vector<Host> at_n2 = differ ? std::vector<Host>{host(1, two), host(2, one)} : at_n1;
    const auto reached = [&](const Call& c) {  // the destination of the endpoint
      if (c.endpoint == "address-3") return 3;
      const bool first = c.endpoint == "address-1";
      return (first != (differ && c.id[0] == 'b')) ? 1 : 2;
    };
    Platform agent_1(at_n1, 10), agent_2(at_n2, 10);
    fennellane::standin::ConsulAgent consul;
    const std::string settings =
        "(consul (address \"" + consul.address() +
        "\"))\n(fleet (prefix \"athens\") (roles \"refresh\") (refresh (discovery \"platform\")))\n";
    Relay n1("n1"), n2("n2");
    const auto configure = [&](Relay& relay, const Platform& agent, const std::vector<Host>& known,
                               int index) {
      relay.configure(athens({.name = relay.name(),
                              .listen = relay.address(),
                              .discovery = agent.address(),
                              .known = known,
                              .relays = 2,
                              .index = index,
                              .discovery_mode = "push"}));
      relay.settings(settings);
    };
    configure(n1, agent_1, at_n1, 0);
    configure(n2, agent_2, at_n2, 1);
    n1.start();
    if (!wait_for([&] { return n1.logged("refresh: acts, token"); }, 25000))
      throw std::runtime_error("no holder: " + n1.log());
    n2.start();
    if (!wait_for([&] { return n2.logged("following the shared list"); }, 25000))
      throw std::runtime_error("not followed: " + n2.log());
    record("relay     n1 holds the role, n2 follows the shared list");
    std::atomic<bool> stopping = false;
    std::vector<std::thread> clients;
    for (Relay* relay : {&n1, &n2}) {
      clients.emplace_back([&, relay] {
        Client client(relay->port());
        for (int n = 0; !stopping; ++n) {
          const int destination = 1 + n / 2 % 2;
          client.submit({.id = std::string(relay == &n1 ? "a-" : "b-") + std::to_string(destination) + "-" +
                               std::to_string(n),
                         .message_class = n % 2 ? "order-payment" : "template-notice",
                         .destination = destination,
                         .budget_ms = 16000,
                         .tenant = "attiki"});
          sleep_ms(100);
        }
      });
    }
    sleep_ms(3000);
    agent_1.change(host(3, three));  // an endpoint is added, at the same address for both
    agent_2.change(host(3, three));
    sleep_ms(5000);
    stopping = true;
    for (std::thread& t : clients) t.join();
    sleep_ms(1000);
    for (Relay* relay : {&n1, &n2})
      if (relay->ended()) throw std::runtime_error("a relay has ended: " + relay->log());
    int right = 0, wrong = 0;
    for (const Call& c : log.all()) {
      const int destination = c.id[2] - '0';
      ++(reached(c) == destination ? right : wrong);
      if (reached(c) == destination) continue;
      record("WRONG     id=%s for destination %d was sent to %s, where n2 reaches s-%d of destination %d",
             c.id.c_str(), destination, c.endpoint.c_str(), reached(c), reached(c));
    }
    record("%d calls at an endpoint of their destination, %d at one of another", right, wrong);
    if (right < 20) throw std::runtime_error("too few calls");
    return wrong == 0;
  });
}
