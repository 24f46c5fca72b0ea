// A partner's count of calls in a span of one second is used up, by other relays: it answers 429 with the
// time to the span's end, and closes the connection behind that answer. Does a call reach it before the wait
// is over?
#include "sites.hpp"

using namespace lab;

namespace {

constexpr long kSpanMs = 1000;
constexpr long kLetThroughMs = 100 + 50;  // 100 ms by the protocol page, and each limit is 50 ms longer

// The limit of one partner, over both of its endpoints. Once others have used it up, `kRoomMs` into a span,
// every refusal is honest: there is room again when the next span begins.
class Limit {
 public:
  void use_up(bool on) { used_up_ = on; }
  // The wait, in ms, for a call that comes now; 0: there is room.
  long wait() const {
    if (!used_up_) return 0;
    constexpr long kRoomMs = 300;
    const long into = static_cast<long>(ms_since_start()) % kSpanMs;
    return into < kRoomMs ? 0 : kSpanMs - into;
  }

 private:
  std::atomic<bool> used_up_ = false;
};

struct Told {
  std::string id;
  Clock::time_point from, until;
};

}  // namespace

int main(int, char** argv) {
  return run_case(argv[1], [] {
    Limit limit;
    CallLog log;
    std::mutex mutex;
    const auto answer = [&](const Call&) {
      Reply r{.after_ms = 200};
      if (const long wait = limit.wait(); wait > 0) {
        // At most half of the refusals of this kind of partner tell a wait.
        static std::atomic<int> refusals = 0;
        const bool tells = refusals++ % 2 == 0;
        r.status = tells ? 429 : 503;
        if (tells) r.headers = "X-Come-Back-Ms: " + std::to_string(wait) + "\r\n";
        r.after_ms = 0;
        r.close = true;
      }
      return r;
    };
    std::vector<Told> told;
    const auto keep = [&](const Call& call) {
      const Reply r = answer(call);
      if (r.status == 429) {
        const std::lock_guard lock(mutex);
        const long wait = std::atol(r.headers.c_str() + sizeof "X-Come-Back-Ms:");
        told.push_back({call.id, Clock::now(), Clock::now() + Ms(wait)});
      }
      return r;
    };
    Endpoint first("p-1", log, keep), second("p-2", log, keep);
    const auto host = [](const Endpoint& e) {
      return Host{.id = e.name(), .address = e.address(), .cell = 3, .zone = "bldg-a", .weight = 20};
    };
    const std::vector<Host> hosts = {host(first), host(second)};
    Platform platform(hosts);
    Relay relay;
    relay.configure(sfax({.listen = relay.address(), .discovery = platform.address(), .known = hosts}));
    relay.start();
    std::vector<std::thread> clients;
    std::atomic<bool> stopping = false;
    for (int c = 0; c < 2; ++c) {  // some 15 messages a second in all
      clients.emplace_back([&, c] {
        Client client(relay.port());
        for (int n = 0; !stopping; ++n) {
          const std::string id = "m" + std::to_string(c) + "-" + std::to_string(n);
          client.submit({.id = id,
                         .message_class = "delivery",
                         .key = "k-" + id,
                         .destination = 3,
                         .budget_ms = 28000});
          sleep_ms(130);
        }
      });
    }
    sleep_ms(5000);
    if (trouble()) {
      record("other relays use the partner's limit up, in each span, for 6 s");
      limit.use_up(true);
    }
    sleep_ms(6000);
    limit.use_up(false);
    record("the partner has room again");
    sleep_ms(3000);
    stopping = true;
    for (std::thread& t : clients) t.join();
    sleep_ms(1000);
    if (relay.ended()) throw std::runtime_error("the relay has ended: " + relay.log());

    // The endpoints share the partner's limit: its wait binds for both, whatever the message.
    int early = 0;
    for (const Call& call : log.all()) {
      for (const Told& wait : told) {
        if (call.last_byte <= wait.from + Ms(kLetThroughMs) || call.last_byte >= wait.until) continue;
        ++early;
        record("EARLY     %s id=%s came %.0f ms after id=%s was told to wait, %.0f ms before the wait's end",
               call.endpoint.c_str(), call.id.c_str(),
               ms_since_start(call.last_byte) - ms_since_start(wait.from), wait.id.c_str(),
               ms_since_start(wait.until) - ms_since_start(call.last_byte));
        break;
      }
    }
    record("%zu waits told, %d calls came during one", told.size(), early);
    if (trouble() && told.empty()) throw std::runtime_error("no wait was told");
    return early == 0;
  });
}
