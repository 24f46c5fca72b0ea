// A relay is restarted, and a new configuration with SIGHUP reaches it just as its program begins. Does it live?
#include "sites.hpp"

using namespace lab;

int main(int, char** argv) {
  return run_case(argv[1], [] {
    CallLog log;
    const auto answer = [](const Call&) { return Reply{.after_ms = 60}; };
    Endpoint first("e-1", log, answer), second("e-2", log, answer);
    std::vector<Host> hosts;
    for (const Endpoint* e : {&first, &second})
      hosts.push_back({.id = e->name(), .address = e->address(), .cell = 4, .kind = "bank-gateways", .zone = "marousi-dc"});
    Platform old_agent(hosts, 10), new_agent(hosts, 10);
    Relay relay;
    const auto configure = [&](const Platform& agent) {
      relay.configure(athens({.listen = relay.address(), .discovery = agent.address(), .known = hosts, .discovery_mode = "push"}));
    };
    configure(old_agent);
    relay.start();
    std::atomic<bool> stopping = false;
    std::thread load([&] {
      Client client(relay.port());
      for (int n = 0; !stopping; ++n) {
        client.submit({.id = "m" + std::to_string(n), .message_class = n % 2 ? "order-payment" : "template-notice", .destination = 4,
                       .budget_ms = 16000, .tenant = "attiki"});
        sleep_ms(100);
      }
    });
    int restarts = 0, crashes = 0;
    for (; restarts < 10; ++restarts) {
      sleep_ms(500);
      relay.end(restarts % 2 ? SIGTERM : SIGKILL);
      sleep_ms(600);
      relay.launch();
      if (trouble()) {
        configure(restarts % 2 ? old_agent : new_agent);  // in one step, before the signal
        const auto limit = Clock::now() + std::chrono::seconds(5);
        while (!relay.is_program() && Clock::now() < limit) std::this_thread::yield();
        // 0 to 4.5 ms after the program was seen to run.
        std::this_thread::sleep_for(std::chrono::microseconds(500 * restarts));
        relay.signal(SIGHUP);
      }
      if (relay.await_ready()) continue;
      if (!WIFSIGNALED(relay.status()) || WTERMSIG(relay.status()) != SIGHUP)
        throw std::runtime_error("the relay has ended otherwise: " + relay.log());
      ++crashes;
      record("CRASHED   on SIGHUP, restart %d", restarts);
      sleep_ms(600);
      relay.start();
    }
    stopping = true;
    load.join();
    record("%d restarts, %d crashes", restarts, crashes);
    return crashes == 0;
  });
}
