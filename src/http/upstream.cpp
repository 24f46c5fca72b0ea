#include "upstream.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "http_snapshot.hpp"
#include "upstream_connection.hpp"

namespace fennellane {

using starlinghook::Outcome;

Upstream::Upstream(asio::io_context& io, const Config& config, Counters& counters, Log& log,
                   record::Recorder& record, OnCallEnded on_call_ended)
    : io_(io),
      config_(config),
      counters_(counters),
      stray_log_(log, "upstream", config.limits.stray_log_interval),
      record_(record),
      on_call_ended_(std::move(on_call_ended)) {}
Upstream::~Upstream() = default;

void Upstream::report_call_ended(const CallEnded& end) { on_call_ended_(end); }

void Upstream::start(StartCall call) {
  while (const ConnectionPtr connection = pop_idle(call.host)) {
    const UnreadInput unread = connection->check_unread_input();
    // The remaining ones have been idle for even longer.
    if (!connection->can_reuse(unread) || connection->idle_duration() > call.max_idle) {
      connection->close_idle(unread);
      continue;
    }
    active_calls_[call.stream] = connection;
    return connection->reuse(std::move(call));
  }
  if (!ensure_connection_slot()) {
    return end_unsent(call.stream, call.attempt);
  }
  const auto connection = std::make_shared<Connection>(*this, call.host);
  active_calls_[call.stream] = connection;
  connection->connect(std::move(call));
}

void Upstream::end_unsent(StreamId stream, std::uint32_t attempt) {
  unsent_calls_.push_back({stream, attempt});
  asio::post(io_, [this] { report_unsent(); });
}

void Upstream::report_unsent() {
  for (const auto& [stream, attempt] : std::exchange(unsent_calls_, {})) {
    report_call_ended(
        CallEnded{stream, attempt, Outcome::not_sent, false, Time(0), true, {}, false, Time(0)});
  }
}

// Keeps descriptors available: closes the connection that has been idle for the longest time.
bool Upstream::ensure_connection_slot() {
  if (*connection_count_ < config_.limits.max_upstream_connections) return true;
  Connection* oldest = nullptr;
  for (const auto& [host, pool] : idle_connections_) {
    if (!pool.empty() && (!oldest || pool.front()->idle_since() < oldest->idle_since())) {
      oldest = pool.front().get();
    }
  }
  if (!oldest) return false;
  const ConnectionPtr evicted = oldest->shared_from_this();
  remove_idle(*evicted);
  evicted->close(record::ConnectionEnd::made_way);
  return true;
}

void Upstream::cancel(const CancelCall& call) {
  const auto it = active_calls_.find(call.stream);
  if (it == active_calls_.end()) return;
  it->second->cancel(call);
}

void Upstream::cancel_unsent(const CancelUnsentCall& call) {
  const auto it = active_calls_.find(call.stream);
  if (it == active_calls_.end()) return;
  it->second->cancel_unsent(call);
}

void Upstream::add_idle(const ConnectionPtr& connection) {
  idle_connections_[connection->host()].push_back(connection);
  connection->start_idle(config_.limits.upstream_idle_timeout);
}

Upstream::ConnectionPtr Upstream::pop_idle(HostId host) {
  const auto pool = idle_connections_.find(host);
  if (pool == idle_connections_.end()) return nullptr;
  const ConnectionPtr connection = pool->second.back();
  pool->second.pop_back();
  if (pool->second.empty()) idle_connections_.erase(pool);
  return connection;
}

void Upstream::remove_idle(const Connection& connection) {
  const auto pool = idle_connections_.find(connection.host());
  if (pool == idle_connections_.end()) return;
  std::erase_if(pool->second, [&](const ConnectionPtr& p) { return p.get() == &connection; });
  if (pool->second.empty()) idle_connections_.erase(pool);
}

std::string Upstream::save(OutgoingDescriptors& descriptors) {
  constexpr std::uint32_t kNoDescriptor = UINT32_MAX;
  return write_snapshot([&](SnapshotWriter& archive) {
    std::vector<ConnectionPtr> all;
    for (const auto& [stream, connection] : active_calls_) all.push_back(connection);
    for (const auto& [host, pool] : idle_connections_) all.insert(all.end(), pool.begin(), pool.end());
    archive(unsent_calls_, all.size());
    for (const ConnectionPtr& connection : all) {
      const int fd = connection->descriptor();
      archive(connection->host(), fd < 0 ? kNoDescriptor : descriptors.add(fd));
      connection->serialize_state(archive);
    }
  });
}

void Upstream::load(std::string_view bytes, IncomingDescriptors& descriptors) {
  read_snapshot(bytes, "the upstream connections", [&](SnapshotReader& archive) {
    std::size_t count = 0;
    archive(unsent_calls_, count);
    for (; count > 0; --count) {
      HostId host = 0;
      std::uint32_t position = 0;
      archive(host, position);
      const auto connection = std::make_shared<Connection>(*this, host);
      if (position != UINT32_MAX) connection->adopt_socket(descriptors.extract(position));
      connection->serialize_state(archive);
      if (connection->has_call()) {
        active_calls_[connection->stream()] = connection;
      } else {
        idle_connections_[host].push_back(connection);
      }
    }
  });
}

void Upstream::resume() {
  if (!unsent_calls_.empty()) asio::post(io_, [this] { report_unsent(); });
  for (const auto& [stream, connection] : active_calls_) connection->resume();
  for (const auto& [host, pool] : idle_connections_) {
    for (const ConnectionPtr& connection : pool) connection->resume();
  }
}

void Upstream::close_idle(HostId host) {
  while (const ConnectionPtr connection = pop_idle(host)) connection->close(record::ConnectionEnd::made_way);
}

// For a host not yet observed, assumes the behavior of the host observed last.
bool Upstream::honors_close(HostId host) const {
  const auto known = honors_close_.find(host);
  return known == honors_close_.end() ? last_host_honors_close_ : known->second;
}

// Updated by each call that requested the close.
void Upstream::set_honors_close(HostId host, bool honors) {
  honors_close_[host] = last_host_honors_close_ = honors;
}

void Upstream::retire(HostId host) {
  honors_close_.erase(host);
  close_idle(host);
  for (const auto& [stream, connection] : active_calls_) {
    if (connection->host() == host) connection->retire();
  }
}

}  // namespace fennellane
