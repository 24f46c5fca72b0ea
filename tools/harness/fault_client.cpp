#include "fault_client.hpp"

#include <string_view>
#include <thread>
#include <utility>

namespace fennellane::harness {
namespace {

using std::chrono::milliseconds;
constexpr std::size_t kMostBody = 3000;  // bytes
constexpr milliseconds kBetweenPieces{3};
constexpr milliseconds kMostBetweenPieces{1000};  // well within the time that a relay gives a request

std::string request_of(const Message& m) {
  return "POST /" + m.message_class + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + m.id +
         "\r\nX-Call-Class: " + m.message_class +
         "\r\nX-Caller: south\r\nX-Budget-Ms: " + std::to_string(kMessageBudget.count()) +
         "\r\nX-Consignee: dest=7\r\nContent-Length: " + std::to_string(m.body.size()) + "\r\n\r\n" + m.body;
}

}  // namespace

FaultClient::FaultClient(const standin::RelayProcess& relay, std::uint64_t seed, std::string name,
                         unsigned contested_in_100)
    : name_(std::move(name)),
      contested_in_100_(contested_in_100),
      random_(seed),
      rival_random_(~seed),
      connection_(relay),
      rival_connection_(relay) {}

void FaultClient::run(const std::atomic<bool>& stop) {
  while (!stop) {
    const Message message = draw_message();
    if (rival_random_() % 100 < contested_in_100_) {
      hand_in_contested(message);
    } else {
      hand_in(message);
    }
    std::this_thread::sleep_for(milliseconds(5 + random_() % 30));
  }
}

Message FaultClient::draw_message() {
  Message message;
  message.id = name_ + "-" + std::to_string(drawn_++);
  message.message_class = random_() % 2 == 0 ? "note" : "pay";
  const std::size_t size = 1 + random_() % kMostBody;
  message.body = std::string(size, static_cast<char>('a' + random_() % 26));
  message.due = std::chrono::steady_clock::now() + kMessageBudget;
  return message;
}

Message FaultClient::draw_rival(const Message& message) {
  Message rival = message;
  rival.message_class = rival_random_() % 2 == 0 ? "note" : "pay";
  rival.body = "rival";
  return rival;
}

void FaultClient::hand_in(const Message& message) {
  const bool written = connection_.write(request_of(message));
  keep(message, written ? connection_.read_answer() : Seen::nothing);
}

void FaultClient::hand_in_contested(const Message& message) {
  const auto began_at = std::chrono::steady_clock::now();
  const std::string request = request_of(message);
  const std::string_view first = std::string_view(request).substr(0, rival_random_() % request.size());
  const std::string_view rest = std::string_view(request).substr(first.size());
  const bool began = connection_.write(first);
  std::this_thread::sleep_for(kBetweenPieces);
  const Message rival = draw_rival(message);
  const bool rival_written = rival_connection_.write(request_of(rival));
  keep(rival, rival_written ? rival_connection_.read_answer() : Seen::nothing);
  if (!began || std::chrono::steady_clock::now() - began_at > kMostBetweenPieces) {
    connection_.close();
    return keep(message, Seen::nothing);
  }
  const bool written = connection_.write(rest);
  keep(message, written ? connection_.read_answer() : Seen::nothing);
}

void FaultClient::keep(Message message, Seen seen) {
  message.seen = seen;
  messages_.push_back(std::move(message));
}

}  // namespace fennellane::harness
