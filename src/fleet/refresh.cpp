#include "refresh.hpp"

#include <algorithm>

namespace fennellane::fleet {

Refresh::Effects Refresh::handle(Time now, const RefreshInput& input) {
  Effects out;
  std::visit([&](const auto& i) { on(now, i, out); }, input);
  arm(now, out);
  return out;
}

// The next moment at which something is due: a beat, or its own watch for want of news.
void Refresh::arm(Time now, Effects& out) {
  if (!running_) return;
  if (token_) {
    out.emplace_back(SetRefreshTimer{std::max(now, next_beat_)});
  } else if (!own_) {
    out.emplace_back(SetRefreshTimer{std::max(now, fallback_at_)});
  }
}

void Refresh::news(Time now, Time stale_after) {
  // Guards discovery against all who miss the same beat coming in one moment.
  fallback_at_ = now + stale_after +
                 Time(std::uniform_int_distribution<Time::rep>(0, settings_.spread.count())(random_));
}

void Refresh::start_own(Effects& out) {
  if (own_) return;
  own_ = true;
  heard_at_.reset();
  out.emplace_back(StartOwn{version_});
}

void Refresh::on(Time now, const RefreshBegin& begin, Effects& out) {
  const bool moved = running_ && begin.moved;
  running_ = true;
  source_ = begin.source;
  if (moved) {
    version_.reset();
    news_any_ = false;
    beat_.reset();
    if (own_) out.emplace_back(StopOwn{});
    own_ = false;
    start_own(out);
    return;
  }
  if (begin.known && !version_) {
    version_ = begin.known->version;
    text_ = begin.known->text;
    unpublished_ = doubted_ = true;
  }
  if (token_) start_own(out);
  news(now, settings_.beat / 2);
}

void Refresh::on(Time, const RefreshPause&, Effects& out) {
  running_ = false;
  if (own_) out.emplace_back(StopOwn{});
  own_ = false;
  if (token_) out.emplace_back(StepDown{});
}

void Refresh::on(Time now, const OwnHeard&, Effects& out) {
  if (!own_) return;
  const bool was_alive = alive(now);
  heard_at_ = now;
  if (token_ && !was_alive) publish(now, unpublished_, out);
}

void Refresh::on(Time now, const OwnList& list, Effects& out) {
  if (!own_) return;
  heard_at_ = now;
  version_ = list.version;
  text_ = list.text;
  doubted_ = false;
  unpublished_ = true;
  if (token_) publish(now, true, out);
}

void Refresh::publish(Time now, bool with_list, Effects& out) {
  if (!token_ || publishing_ || !version_ || !alive(now)) return;
  publishing_ = true;
  next_beat_ = now + settings_.beat;
  Publish p{session_, {*token_, ++beats_, *version_, source_}, std::nullopt};
  if (with_list) {
    p.text = text_;
    unpublished_ = false;
  }
  out.emplace_back(std::move(p));
}

void Refresh::on(Time now, const Published& p, Effects& out) {
  publishing_ = false;
  const bool ours = token_ == p.token;
  if (p.how != Published::How::taken || !ours) unpublished_ = true;
  // It has changed meanwhile, or the role was taken up anew while an answer to the old one was out.
  if (unpublished_ && (p.how == Published::How::taken || !ours)) publish(now, true, out);
  if (p.how == Published::How::refused)
    out.emplace_back(
        RefreshSaid{"the list was refused, as the role has changed, token " + std::to_string(p.token)});
}

void Refresh::on(Time now, const BeatSeen& seen, Effects& out) {
  if (!running_) return;
  if (seen.afresh) {
    top_ = 0;
    beat_.reset();
  }
  if (!seen.beat) {
    // Nobody has ever shared a list.
    if (!token_ && !version_) start_own(out);
    return;
  }
  const SharedHead& head = *seen.beat;
  if (head.source != source_ || head.token < top_) return;
  top_ = std::max(top_, head.token);
  const bool newer = beat_ && (head.token > beat_->token || head.beat > beat_->beat);
  const bool first = !beat_;
  if (newer || first) beat_ = head;
  if (token_) return;  // its own
  // Of the first beat nobody knows how old it is; one that follows it is fresh.
  if (newer) {
    news_any_ = true;
    news(now, settings_.stale);
  }
  if ((newer || first) && (!version_ || head.version > *version_) && !reading_) {
    reading_ = true;
    out.emplace_back(ReadList{});
  } else if (newer) {
    confirm(out);
    follow(out);
  }
}

// A list that was maybe old is as discovery has it, now that its beat has gone on.
void Refresh::confirm(Effects& out) {
  if (!doubted_ || own_ || !beat_ || beat_->version != version_) return;
  doubted_ = false;
  out.emplace_back(TakeList{text_, false});
}

// Its own watch ends where the shared list is as new.
void Refresh::follow(Effects& out) {
  if (!own_ || token_ || !version_ || !beat_ || beat_->version < *version_) return;
  own_ = false;
  out.emplace_back(StopOwn{});
  out.emplace_back(RefreshSaid{"follows the shared list, version " + std::to_string(*version_)});
}

void Refresh::on(Time now, const ListSeen& seen, Effects& out) {
  reading_ = false;
  if (!running_ || token_) return;
  const bool usable = seen.good && seen.head.source == source_ && seen.head.token >= top_ &&
                      (!version_ || seen.head.version >= *version_);
  if (!usable) return;
  const bool changed = !version_ || seen.head.version > *version_;
  version_ = seen.head.version;
  text_ = seen.text;
  unpublished_ = true;
  const bool cached = !fresh(now);
  if (changed) {
    doubted_ = cached;
    out.emplace_back(TakeList{seen.text, cached});
  }
  if (fresh(now)) follow(out);
  // The beat may have gone on while the list was read.
  if (beat_ && beat_->version > *version_) {
    reading_ = true;
    out.emplace_back(ReadList{});
  }
}

void Refresh::on(Time now, const RefreshDue&, Effects& out) {
  if (!running_) return;
  if (!token_) {
    if (own_ || now < fallback_at_) return;
    out.emplace_back(RefreshSaid{"no news of the shared list: watches discovery itself"});
    news_any_ = false;
    start_own(out);
    return;
  }
  if (now < next_beat_) return;
  next_beat_ = now + settings_.beat;
  if (alive(now)) {
    useful_at_ = now;
    publish(now, unpublished_, out);
  } else if (now - useful_at_ >= settings_.patience) {
    out.emplace_back(RefreshSaid{"gives the role up, as discovery is not heard"});
    out.emplace_back(StepDown{});
  }
}

Refresh::Effects Refresh::acts(Time now, Token token, const std::string& session) {
  Effects out;
  token_ = token;
  session_ = session;
  top_ = std::max(top_, token);
  useful_at_ = now;
  next_beat_ = now;
  unpublished_ = true;
  if (running_) {
    start_own(out);
    publish(now, true, out);
  }
  arm(now, out);
  return out;
}

Refresh::Effects Refresh::stops(Time now) {
  Effects out;
  token_.reset();
  news_any_ = false;
  news(now, settings_.stale);
  arm(now, out);
  return out;
}

}  // namespace fennellane::fleet
