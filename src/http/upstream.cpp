#include "upstream.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "http_memory.hpp"
#include "upstream_connection.hpp"

namespace fennellane {

using starlinghook::Outcome;

Upstream::Upstream(asio::io_context& io, const Config& config, Counters& counters, Log& log,
                   record::Recorder& record, OnEnd on_end)
    : io_(io),
      config_(config),
      counters_(counters),
      stray_log_(log, "upstream", config.limits.stray_gap),
      record_(record),
      on_end_(std::move(on_end)) {}
Upstream::~Upstream() = default;

void Upstream::report(const CallEnded& end) { on_end_(end); }

void Upstream::start(StartCall call) {
  while (const Pointer connection = take_idle(call.host)) {
    const UnreadInput seen = connection->look();
    // Those that are left have stood idle for longer still.
    if (!connection->may_carry(seen) || connection->idle_for() > call.most_idle) {
      connection->close_rested(seen);
      continue;
    }
    calls_[call.stream] = connection;
    return connection->reuse(std::move(call));
  }
  if (!make_room()) {
    return end_unsent(call.stream, call.attempt);
  }
  const auto connection = std::make_shared<Connection>(*this, call.host);
  calls_[call.stream] = connection;
  connection->connect(std::move(call));
}

void Upstream::end_unsent(StreamId stream, std::uint32_t attempt) {
  unsent_.push_back({stream, attempt});
  asio::post(io_, [this] { report_unsent(); });
}

void Upstream::report_unsent() {
  for (const auto& [stream, attempt] : std::exchange(unsent_, {})) {
    report(CallEnded{stream, attempt, Outcome::not_sent, false, Time(0), true, {}, false, Time(0)});
  }
}

// Guards the descriptors: the connection that has been idle for longest makes way.
bool Upstream::make_room() {
  if (*connections_ < config_.limits.upstream_connections) return true;
  Connection* oldest = nullptr;
  for (const auto& [host, pool] : idle_) {
    if (!pool.empty() && (!oldest || pool.front()->idle_since() < oldest->idle_since())) {
      oldest = pool.front().get();
    }
  }
  if (!oldest) return false;
  const Pointer kept = oldest->shared_from_this();
  forget_idle(*kept);
  kept->close(record::ConnectionEnd::made_way);
  return true;
}

void Upstream::cancel(const CancelCall& call) {
  const auto it = calls_.find(call.stream);
  if (it == calls_.end()) return;
  it->second->give_up(call);
}

void Upstream::hold_back(const HoldBack& call) {
  const auto it = calls_.find(call.stream);
  if (it == calls_.end()) return;
  it->second->hold_back(call);
}

void Upstream::park(const Pointer& connection) {
  idle_[connection->host()].push_back(connection);
  connection->rest(config_.limits.upstream_idle);
}

Upstream::Pointer Upstream::take_idle(HostId host) {
  const auto pool = idle_.find(host);
  if (pool == idle_.end()) return nullptr;
  const Pointer connection = pool->second.back();
  pool->second.pop_back();
  if (pool->second.empty()) idle_.erase(pool);
  return connection;
}

void Upstream::forget_idle(const Connection& connection) {
  const auto pool = idle_.find(connection.host());
  if (pool == idle_.end()) return;
  std::erase_if(pool->second, [&](const Pointer& p) { return p.get() == &connection; });
  if (pool->second.empty()) idle_.erase(pool);
}

std::string Upstream::save(DescriptorsOut& descriptors) {
  constexpr std::uint32_t kNone = UINT32_MAX;
  return written_memory([&](MemoryWriter& archive) {
    std::vector<Pointer> all;
    for (const auto& [stream, connection] : calls_) all.push_back(connection);
    for (const auto& [host, pool] : idle_) all.insert(all.end(), pool.begin(), pool.end());
    archive(unsent_, all.size());
    for (const Pointer& connection : all) {
      const int fd = connection->descriptor();
      archive(connection->host(), fd < 0 ? kNone : descriptors.add(fd));
      connection->remember(archive);
    }
  });
}

void Upstream::load(std::string_view bytes, DescriptorsIn& descriptors) {
  read_memory(bytes, "the upstream connections", [&](MemoryReader& archive) {
    std::size_t count = 0;
    archive(unsent_, count);
    for (; count > 0; --count) {
      HostId host = 0;
      std::uint32_t position = 0;
      archive(host, position);
      const auto connection = std::make_shared<Connection>(*this, host);
      if (position != UINT32_MAX) connection->adopt_socket(descriptors.take(position));
      connection->remember(archive);
      if (connection->busy()) {
        calls_[connection->stream()] = connection;
      } else {
        idle_[host].push_back(connection);
      }
    }
  });
}

void Upstream::resume() {
  if (!unsent_.empty()) asio::post(io_, [this] { report_unsent(); });
  for (const auto& [stream, connection] : calls_) connection->resume();
  for (const auto& [host, pool] : idle_) {
    for (const Pointer& connection : pool) connection->resume();
  }
}

void Upstream::close_idle(HostId host) {
  while (const Pointer connection = take_idle(host)) connection->close(record::ConnectionEnd::made_way);
}

// Of a host that has not been asked yet: as the one that was asked last.
bool Upstream::says_close(HostId host) const {
  const auto known = says_close_.find(host);
  return known == says_close_.end() ? last_said_close_ : known->second;
}

// Learnt anew from each call that asked for it.
void Upstream::note_says_close(HostId host, bool said) { says_close_[host] = last_said_close_ = said; }

void Upstream::retire(HostId host) {
  says_close_.erase(host);
  close_idle(host);
  for (const auto& [stream, connection] : calls_) {
    if (connection->host() == host) connection->retire();
  }
}

}  // namespace fennellane
