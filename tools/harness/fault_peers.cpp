#include "fault_peers.hpp"

#include <string_view>

namespace fennellane::harness {
namespace {

using standin::ScriptedAnswer;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Of 100 calls: how many end so. All others are delivered.
constexpr unsigned kTurnedAway = 8, kError = 2, kReset = 2;
constexpr unsigned kMostPauseMs = 40;

void add_copy(ScriptedAnswer& answer, const CopyPlan& copies, const std::string& opposite) {
  const std::string& text = copies.contrary ? opposite : answer.text;
  answer.strays.push_back({answer.at + copies.after, text});
}

}  // namespace

FaultyPartner::FaultyPartner(std::uint64_t seed, const CopyPlan& copies)
    : copies_(copies), random_(seed), server_([this](const standin::Request& r) { return take(r); }) {}

Arrivals FaultyPartner::arrivals() const {
  const std::scoped_lock lock(mutex_);
  return arrivals_;
}

ScriptedAnswer FaultyPartner::take(const standin::Request& request) {
  const std::string turned_away = standin::answer("503 Service Unavailable");
  const std::string delivered = standin::answer("200 OK");
  const std::scoped_lock lock(mutex_);
  const unsigned draw = static_cast<unsigned>(random_() % 100);
  ScriptedAnswer answer{delivered, milliseconds(random_() % kMostPauseMs), {}};
  const bool copied = random_() % 100 < copies_.in_100;
  Arrival& arrival = arrivals_[{request.id, request.body}];
  if (draw < kTurnedAway) {
    answer.text = turned_away;
  } else {
    ++arrival.ran;
    if (draw < kTurnedAway + kError) {
      answer.text = standin::answer("500 Internal Server Error");
    } else if (draw < kTurnedAway + kError + kReset) {
      answer.text = standin::kReset;
      return answer;
    } else if (!arrival.delivered) {
      arrival.delivered = true;
      arrival.delivered_at = Clock::now() + answer.at;
    }
  }
  if (copied) add_copy(answer, copies_, answer.text == delivered ? turned_away : delivered);
  return answer;
}

FaultyPlatform::FaultyPlatform(std::uint64_t seed, const FaultPlan& plan,
                               const std::vector<standin::HostLine>& hosts)
    : copies_(plan.platform_copies),
      refused_in_100_(plan.notices_refused_in_100),
      list_(standin::list_json(hosts)),
      random_(seed),
      server_([this](const standin::Request& r) { return handle(r); }) {}

Notices FaultyPlatform::notices() const {
  const std::scoped_lock lock(mutex_);
  return notices_;
}

ScriptedAnswer FaultyPlatform::handle(const standin::Request& request) {
  if (request.target == "/v1/notices") return take_notices(request);
  if (request.target != "/discovery/hosts") {
    // A watch: a line that tells nothing, and the answer stays open.
    return {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n", {}, {}};
  }
  ScriptedAnswer answer{standin::answer("200 OK", list_), {}, {}};
  const std::scoped_lock lock(mutex_);
  if (random_() % 100 < copies_.in_100) {
    add_copy(answer, copies_, standin::answer("200 OK", standin::list_json({})));
  }
  return answer;
}

ScriptedAnswer FaultyPlatform::take_notices(const standin::Request& request) {
  const std::string taken = standin::answer("204 No Content");
  const std::string failed = standin::answer("500 Internal Server Error");
  const std::scoped_lock lock(mutex_);
  const bool refuses = random_() % 100 < refused_in_100_;
  if (!refuses) keep_notices(request.body);
  ScriptedAnswer answer{refuses ? failed : taken, {}, {}};
  if (random_() % 100 < copies_.in_100) add_copy(answer, copies_, refuses ? taken : failed);
  return answer;
}

// Requires the lock.
void FaultyPlatform::keep_notices(const std::string& batch) {
  constexpr std::string_view kBegin = "{\"id\":\"";
  for (std::size_t at = batch.find(kBegin); at != std::string::npos; at = batch.find(kBegin, at)) {
    at += kBegin.size();
    notices_.emplace(batch.substr(at, batch.find('"', at) - at), Clock::now());
  }
}

}  // namespace fennellane::harness
