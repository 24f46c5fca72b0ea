// A client's payment arrives in two pieces. Between them a bad client sends a message of its own with the id
// of that open request. A payment that is answered 202 has to reach its destination, or to end by a notice.
#include "platform_config.hpp"
#include "rig.hpp"

using namespace rig;

namespace {

// A client whose request is cut: `first` bytes, a pause, the rest. Returns the status; waits 400 ms from the
// last byte.
int ask_in_two(int port, const std::string& text, std::size_t first, const std::function<void()>& between) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = loopback(port);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) throw CannotRun("connect");
  int status = 0;
  ::send(fd, text.data(), first, MSG_NOSIGNAL);
  sleep_ms(20);
  between();
  ::send(fd, text.data() + first, text.size() - first, MSG_NOSIGNAL);
  pollfd polled{fd, POLLIN, 0};
  std::string in;
  char piece[4096];
  while (::poll(&polled, 1, 400) > 0) {
    const ssize_t n = ::recv(fd, piece, sizeof piece, 0);
    if (n <= 0) break;
    in.append(piece, static_cast<std::size_t>(n));
    if (const auto answer = take_message(in)) {
      status = answer->status;
      break;
    }
  }
  ::close(fd);
  return status;
}

int play(const std::string& folder) {
  std::mutex mutex;
  struct Run {
    std::string host, body;
  };
  std::map<std::string, std::vector<Run>> runs;
  const auto host = [&](const std::string& name) {
    return [&, name](Connection& connection, const Message& m) {
      note("%-9s runs %s: %.30s", name.c_str(), m.header("x-call-id").c_str(), m.body.c_str());
      {
        const std::scoped_lock lock(mutex);
        runs[m.header("x-call-id")].push_back({name, m.body});
      }
      sleep_ms(80);
      connection.write(answer_text(200));
    };
  };
  Server office(host("office-1")), bank(host("bank-2"));
  Platform platform(list_json({{"s-1", office.address(), 1}, {"s-2", bank.address(), 2}}));
  Relay relay(folder, "n0");
  relay.write_config(platform_config(relay, platform.address(), {}));
  relay.start();
  relay.await_ready();

  constexpr int kPayments = 20;
  std::map<std::string, std::string> taken;  // by id: the body
  Client bad(relay.port());
  for (int i = 0; i < kPayments; ++i) {
    const std::string id = "pay-" + std::to_string(i),
                      body = "payment " + std::to_string(i) + " of attiki " + std::string(500, 'x');
    const std::string text = submission(id, "order-payment", 2, 8000, "attiki", body);
    const int status = ask_in_two(relay.port(), text, text.size() - 200, [&] {
      if (!trouble()) return;
      const int answer = bad.ask(submission(id, "template-notice", 1, 8000, "kriti", "something else"));
      note("bad       %s, a template-notice for destination 1: %d", id.c_str(), answer);
    });
    note("client    %s, an order-payment for destination 2: %d", id.c_str(), status);
    if (status == 202) taken[id] = body;
    sleep_ms(50);
  }
  sleep_ms(12000);
  const auto notices = platform.notices();
  int lost = 0;
  const std::scoped_lock lock(mutex);
  for (const auto& [id, body] : taken) {
    const bool run = std::any_of(runs[id].begin(), runs[id].end(),
                                 [&body](const Run& r) { return r.host == "bank-2" && r.body == body; });
    if (run || notices.count(id)) continue;
    if (++lost <= 3) say("%s was answered 202, never came to the bank, and has no notice", id.c_str());
  }
  say("%zu of %d payments taken, %d of them lost", taken.size(), kPayments, lost);
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
