#include "refresh.hpp"

#include <algorithm>

namespace fennellane::fleet {

Refresh::Effects Refresh::handle(Time now, const RefreshInput& input) {
  Effects out;
  std::visit([&](const auto& i) { on(now, i, out); }, input);
  set_timer(now, out);
  return out;
}

// Sets the timer for what is due next: a heartbeat, or the fallback to watching discovery directly.
void Refresh::set_timer(Time now, Effects& out) {
  if (!running_) return;
  if (token_) {
    out.emplace_back(SetRefreshTimer{std::max(now, next_heartbeat_at_)});
  } else if (!watching_discovery_) {
    out.emplace_back(SetRefreshTimer{std::max(now, fallback_at_)});
  }
}

void Refresh::postpone_fallback(Time now, Time stale_after) {
  // The random offset spreads the load on discovery when all relays miss the same heartbeat.
  fallback_at_ =
      now + stale_after +
      Time(std::uniform_int_distribution<Time::rep>(0, settings_.fallback_spread.count())(random_));
}

void Refresh::start_discovery_watch(Effects& out) {
  if (watching_discovery_) return;
  watching_discovery_ = true;
  discovery_answered_at_.reset();
  out.emplace_back(StartDiscoveryWatch{version_});
}

void Refresh::on(Time now, const RefreshStarted& started, Effects& out) {
  const bool moved = running_ && started.discovery_moved;
  running_ = true;
  source_ = started.source;
  if (moved) {
    version_.reset();
    heartbeat_advanced_ = false;
    newest_head_.reset();
    if (watching_discovery_) out.emplace_back(StopDiscoveryWatch{});
    watching_discovery_ = false;
    start_discovery_watch(out);
    return;
  }
  if (started.known && !version_) {
    version_ = started.known->version;
    text_ = started.known->text;
    unpublished_ = applied_as_cached_ = true;
  }
  if (token_) start_discovery_watch(out);
  postpone_fallback(now, settings_.heartbeat / 2);
}

void Refresh::on(Time, const RefreshPaused&, Effects& out) {
  running_ = false;
  if (watching_discovery_) out.emplace_back(StopDiscoveryWatch{});
  watching_discovery_ = false;
  if (token_) out.emplace_back(StepDown{});
}

void Refresh::on(Time now, const DiscoveryAnswered&, Effects& out) {
  if (!watching_discovery_) return;
  const bool was_alive = discovery_alive(now);
  discovery_answered_at_ = now;
  if (token_ && !was_alive) publish(now, unpublished_, out);
}

void Refresh::on(Time now, const DiscoveredList& list, Effects& out) {
  if (!watching_discovery_) return;
  discovery_answered_at_ = now;
  version_ = list.version;
  text_ = list.text;
  applied_as_cached_ = false;
  unpublished_ = true;
  if (token_) publish(now, true, out);
}

void Refresh::publish(Time now, bool with_list, Effects& out) {
  if (!token_ || publishing_ || !version_ || !discovery_alive(now)) return;
  publishing_ = true;
  next_heartbeat_at_ = now + settings_.heartbeat;
  Publish command{session_, {*token_, ++heartbeat_count_, *version_, source_}, std::nullopt};
  if (with_list) {
    command.text = text_;
    unpublished_ = false;
  }
  out.emplace_back(std::move(command));
}

void Refresh::on(Time now, const Published& published, Effects& out) {
  publishing_ = false;
  const bool ours = token_ == published.token;
  if (published.result != Published::Result::accepted || !ours) unpublished_ = true;
  // The list has changed meanwhile, or the role was acquired again while the previous write was in flight.
  if (unpublished_ && (published.result == Published::Result::accepted || !ours)) publish(now, true, out);
  if (published.result == Published::Result::refused)
    out.emplace_back(RefreshLogMessage{"the list was not written: the role has changed hands, token " +
                                       std::to_string(published.token)});
}

void Refresh::on(Time now, const HeartbeatRead& read, Effects& out) {
  if (!running_) return;
  if (read.index_reset) {
    highest_token_ = 0;
    newest_head_.reset();
  }
  if (!read.head) {
    // No list has been published yet.
    if (!token_ && !version_) start_discovery_watch(out);
    return;
  }
  const SharedHead& head = *read.head;
  if (head.source != source_ || head.token < highest_token_) return;
  highest_token_ = std::max(highest_token_, head.token);
  const bool newer =
      newest_head_ && (head.token > newest_head_->token || head.heartbeat > newest_head_->heartbeat);
  const bool first = !newest_head_;
  if (newer || first) newest_head_ = head;
  if (token_) return;  // written by this relay
  // The age of the first heartbeat seen is unknown; a newer one after it is fresh.
  if (newer) {
    heartbeat_advanced_ = true;
    postpone_fallback(now, settings_.stale_after);
  }
  if ((newer || first) && (!version_ || head.version > *version_) && !reading_list_) {
    reading_list_ = true;
    out.emplace_back(ReadSharedList{});
  } else if (newer) {
    confirm_list(out);
    follow_shared_list(out);
  }
}

// A list applied as possibly outdated is confirmed once its heartbeat advances.
void Refresh::confirm_list(Effects& out) {
  if (!applied_as_cached_ || watching_discovery_ || !newest_head_ || newest_head_->version != version_)
    return;
  applied_as_cached_ = false;
  out.emplace_back(ApplyList{text_, false});
}

// Stops watching discovery once the shared list is at least as new.
void Refresh::follow_shared_list(Effects& out) {
  if (!watching_discovery_ || token_ || !version_ || !newest_head_ || newest_head_->version < *version_)
    return;
  watching_discovery_ = false;
  out.emplace_back(StopDiscoveryWatch{});
  out.emplace_back(RefreshLogMessage{"following the shared list, version " + std::to_string(*version_)});
}

void Refresh::on(Time now, const SharedListRead& read, Effects& out) {
  reading_list_ = false;
  if (!running_ || token_) return;
  const bool usable = read.ok && read.head.source == source_ && read.head.token >= highest_token_ &&
                      (!version_ || read.head.version >= *version_);
  if (!usable) return;
  const bool changed = !version_ || read.head.version > *version_;
  version_ = read.head.version;
  text_ = read.text;
  unpublished_ = true;
  const bool cached = !shared_list_fresh(now);
  if (changed) {
    applied_as_cached_ = cached;
    out.emplace_back(ApplyList{read.text, cached});
  }
  if (shared_list_fresh(now)) follow_shared_list(out);
  // The heartbeat may have advanced while the list was read.
  if (newest_head_ && newest_head_->version > *version_) {
    reading_list_ = true;
    out.emplace_back(ReadSharedList{});
  }
}

void Refresh::on(Time now, const RefreshTimerExpired&, Effects& out) {
  if (!running_) return;
  if (!token_) {
    if (watching_discovery_ || now < fallback_at_) return;
    out.emplace_back(RefreshLogMessage{"no heartbeat of the shared list: watching discovery directly"});
    heartbeat_advanced_ = false;
    start_discovery_watch(out);
    return;
  }
  if (now < next_heartbeat_at_) return;
  next_heartbeat_at_ = now + settings_.heartbeat;
  if (discovery_alive(now)) {
    discovery_ok_at_ = now;
    publish(now, unpublished_, out);
  } else if (now - discovery_ok_at_ >= settings_.discovery_timeout) {
    out.emplace_back(RefreshLogMessage{"gives the role up: no answer from discovery"});
    out.emplace_back(StepDown{});
  }
}

Refresh::Effects Refresh::activate(Time now, Token token, const std::string& session) {
  Effects out;
  token_ = token;
  session_ = session;
  highest_token_ = std::max(highest_token_, token);
  discovery_ok_at_ = now;
  next_heartbeat_at_ = now;
  unpublished_ = true;
  if (running_) {
    start_discovery_watch(out);
    publish(now, true, out);
  }
  set_timer(now, out);
  return out;
}

Refresh::Effects Refresh::deactivate(Time now) {
  Effects out;
  token_.reset();
  heartbeat_advanced_ = false;
  postpone_fallback(now, settings_.stale_after);
  set_timer(now, out);
  return out;
}

}  // namespace fennellane::fleet
