// A route apart tells a wait. Its endpoint leaves the catalogue and comes back, as it was, before the wait is
// over. Does it get a call?
#include "consul_agent.hpp"
#include "sites.hpp"

using namespace lab;

int main(int, char** argv) {
  return run_case(argv[1], [] {
    constexpr long kShutMs = 9000, kLetThroughMs = 100 + 50;
    CallLog log;
    std::mutex mutex;
    std::optional<Clock::time_point> opens;  // p-1 is shut until then
    std::optional<Clock::time_point> told_at;
    const auto shut_answer = [&](const Call&) {
      const std::lock_guard lock(mutex);
      Reply r{.after_ms = 200};
      const auto now = Clock::now();
      if (!opens || now >= *opens) return r;
      r.status = 429;
      r.headers = "X-Come-Back-Ms: " + std::to_string(std::chrono::ceil<Ms>(*opens - now).count()) + "\r\n";
      r.after_ms = 0;
      if (!told_at) told_at = now;
      return r;
    };
    Endpoint first("p-1", log, shut_answer),
        second("p-2", log, [](const Call&) { return Reply{.after_ms = 200}; });
    fennellane::standin::ConsulAgent consul;
    const auto registered = [](const Endpoint& e) {
      fennellane::standin::CatalogueHost h;
      h.id = e.name();
      h.port = std::atoi(e.address().c_str() + e.address().find(':') + 1);
      h.meta = {{"destination", "3"}, {"rate", "20"}, {"kind", "major-partner"}, {"zone", "bldg-a"}};
      return h;
    };
    consul.put("partners", registered(first));
    consul.put("partners", registered(second));
    Platform platform({});
    Relay relay;
    relay.configure(sfax({.listen = relay.address(), .discovery = platform.address(), .apart = true}));
    relay.settings("(membership \"consul\")\n(consul (address \"" + consul.address() +
                   "\") (rate-of \"host\") (service (name \"partners\")))\n");
    relay.start();
    std::atomic<bool> stopping = false;
    std::thread load([&] {
      Client client(relay.port());
      for (int n = 0; !stopping; ++n) {
        const std::string id = "m" + std::to_string(n);
        client.submit(
            {.id = id, .message_class = "delivery", .key = "k-" + id, .destination = 3, .budget_ms = 28000});
        sleep_ms(100);
      }
    });
    sleep_ms(4000);
    {
      const std::lock_guard lock(mutex);
      opens = Clock::now() + Ms(kShutMs);
      record("p-1 is shut for %ld ms", kShutMs);
    }
    const bool told = wait_for(
        [&] {
          const std::lock_guard lock(mutex);
          return told_at.has_value();
        },
        3000);
    if (!told) throw std::runtime_error("no wait was told");
    sleep_ms(1000);
    if (trouble()) {
      consul.remove("partners", "p-1");
      record("catalogue p-1 is deregistered");
    }
    sleep_ms(2000);
    if (trouble()) {
      consul.put("partners", registered(first));
      record("catalogue p-1 is registered again, as it was");
    }
    sleep_ms(9000);
    stopping = true;
    load.join();
    sleep_ms(500);
    if (relay.ended()) throw std::runtime_error("the relay has ended: " + relay.log());
    int before = 0, early = 0, after = 0;
    for (const Call& c : log.all()) {
      if (c.endpoint != "p-1") continue;
      before += c.last_byte < *told_at ? 1 : 0;
      after += c.last_byte >= *opens ? 1 : 0;
      if (c.last_byte <= *told_at + Ms(kLetThroughMs) || c.last_byte >= *opens) continue;
      ++early;
      record("EARLY     p-1 id=%s came %.0f ms after the wait was told, %.0f ms before its end", c.id.c_str(),
             ms_since_start(c.last_byte) - ms_since_start(*told_at),
             ms_since_start(*opens) - ms_since_start(c.last_byte));
    }
    record("p-1: %d calls before the wait, %d during it, %d after it", before, early, after);
    if (before < 3) throw std::runtime_error("too few calls before the wait");
    return early == 0;
  });
}
