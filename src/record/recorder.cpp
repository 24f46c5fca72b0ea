#include "recorder.hpp"

#include <algorithm>
#include <csignal>
#include <variant>

namespace fennellane::record {
namespace {

std::uint32_t cut32(Time::rep value) {
  return static_cast<std::uint32_t>(std::clamp<Time::rep>(value, 0, UINT32_MAX));
}

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};

}  // namespace

std::uint32_t ms32(Time span) { return cut32(span.count() / 1000); }
std::uint32_t us32(Time span) { return cut32(span.count()); }

void Recorder::open(const std::string& path, std::size_t size, std::string_view legend) {
  auto file = std::make_unique<RecordFile>(path, size);
  file->set_legend(legend);
  file_ = std::move(file);
}

void Recorder::write(Kind kind, std::uint64_t subject, std::uint16_t code, Numbers n, std::string_view name) {
  Entry entry;
  entry.at = std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch()).count();
  entry.subject = subject;
  entry.kind = kind;
  entry.code = code;
  entry.n = n;
  entry.name = short_name(name);
  file_->append(entry);
}

void Recorder::note(const Input& input) {
  if (!on()) return;
  const Overloaded each{
      [this](const MessageRestored& r) {
        note(Kind::restored, r.stream, static_cast<std::uint16_t>(r.entry.message_class),
             {r.entry.tenant, r.entry.destination, ms32(r.time_left)}, r.entry.id);
      },
      [this](const CallEnded& c) {
        note(Kind::call_ended, c.stream, static_cast<std::uint16_t>(c.outcome),
             {c.attempt, ms32(c.retry_after), ms32(c.idle + std::chrono::microseconds(999))});
        if (c.ended_elsewhere) note(Kind::ended, c.stream, static_cast<std::uint16_t>(End::withdrawn));
        if (c.outcome == starlinghook::Outcome::delivered) {
          note(Kind::ended, c.stream, static_cast<std::uint16_t>(End::delivered));
        }
      },
      [this](const ClusterChanged& c) {
        for (const HostEntry& host : c.list.hosts) {
          note(Kind::host, 0, static_cast<std::uint16_t>(host.condition),
               {host.destination, cut32(static_cast<Time::rep>(std::min(host.rate, 1e6) * 1000)),
                c.cached ? 1u : 0u},
               host.id);
        }
      },
      [this](const NoticeAccepted& n) {
        note(Kind::ended, n.stream, static_cast<std::uint16_t>(End::noticed));
      },
      [this](const StopRequested&) { note(Kind::signalled, 0, SIGTERM); },
      [](const auto&) {}};
  std::visit(each, input);
}

void Recorder::note(const Effect& effect) {
  if (!on()) return;
  const Overloaded each{[this](const StartCall& c) {
                          note(Kind::call, c.stream, static_cast<std::uint16_t>(c.attempt),
                               {c.host, ms32(c.timeout)}, c.address.text());
                        },
                        [this](const RecordGivenUp& g) {
                          note(Kind::given_up, g.stream, static_cast<std::uint16_t>(g.verdict),
                               {static_cast<std::uint32_t>(g.reason), ms32(g.retry_after)});
                        },
                        [](const auto&) {}};
  std::visit(each, effect);
}

}  // namespace fennellane::record
