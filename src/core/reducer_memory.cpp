// What the reducer remembers, as bytes, for a process that takes over from another. Times stay as they are:
// both processes read one clock.
#include <cereal/archives/binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "reducer.hpp"

namespace fennellane {
namespace {

// Raised with each change of what is listed below: another version's bytes are not read.
constexpr std::uint32_t kMemoryVersion = 1;

}  // namespace

template <class Archive>
void serialize(Archive& archive, Address& a) {
  archive(a.host, a.port);
}
template <class Archive>
void serialize(Archive& archive, HostEntry& e) {
  archive(e.id, e.address, e.zone, e.kind, e.destination, e.rate, e.condition);
}

template <class Archive>
void Reducer::Stream::serialize(Archive& archive) {
  bool has_body = body != nullptr;
  std::string text = has_body ? *body : std::string();
  archive(id, attempts, host, out, given_up, has_body, text);
  if (Archive::is_loading::value && has_body) body = std::make_shared<const std::string>(std::move(text));
}

template <class Archive>
void Reducer::Host::serialize(Archive& archive) {
  archive(entry, out);
}

template <class Archive>
void Reducer::remember(Archive& archive) {
  archive(now_, next_, streams_, ended_, cluster_, next_host_, destinations_, listed_, timer_);
}

std::string Reducer::save() {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(kMemoryVersion, forwarder_.save());
  remember(archive);
  return out.str();
}

void Reducer::load(const starlinghook::Settings& settings, std::string_view bytes) {
  try {
    std::istringstream in{std::string(bytes)};
    cereal::BinaryInputArchive archive(in);
    std::uint32_t version = 0;
    archive(version);
    if (version != kMemoryVersion) {
      throw starlinghook::MemoryError("the reducer's memory is of version " + std::to_string(version));
    }
    std::string module;
    archive(module);
    forwarder_ = starlinghook::Forwarder::load(settings, module);
    remember(archive);
  } catch (const cereal::Exception& e) {
    throw starlinghook::MemoryError(std::string("the reducer's memory cannot be read: ") + e.what());
  }
  for (const auto& [id, stream] : streams_) {
    by_id_[stream.id] = id;
    given_up_ += stream.given_up ? 1 : 0;
  }
  for (const auto& [id, host] : cluster_) host_ids_[host.entry.id] = id;
  ended_ids_.insert(ended_.begin(), ended_.end());
}

}  // namespace fennellane
