#include "frame.hpp"

#include <json/json.h>
#include <xxhash.h>

#include <cstring>
#include <memory>

namespace fennellane::handover {
namespace {

constexpr char kMagic[4] = {'F', 'N', 'H', 'O'};
struct FrameHeader {  // as sent, in host byte order: both processes run on one machine
  char magic[4];
  std::uint32_t type;
  std::uint64_t size;
  std::uint64_t checksum;
};
constexpr std::size_t kMessageTypes = std::variant_size_v<Message>;
constexpr std::size_t kStateType = 3;
static_assert(std::is_same_v<std::variant_alternative_t<kStateType, Message>, State>);

std::string json_text(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

struct BodyEncoder {
  std::string operator()(const Offer& m) const {
    Json::Value v;
    v["handover"] = m.versions.handover;
    v["journal"] = m.versions.journal;
    v["generation"] = Json::UInt64(m.generation);
    return json_text(v);
  }
  std::string operator()(const Refuse& m) const {
    Json::Value v;
    v["why"] = m.reason;
    return json_text(v);
  }
  std::string operator()(const State& m) const { return m.bytes; }
  std::string operator()(const StateEnd& m) const {
    Json::Value v;
    v["size"] = Json::UInt64(m.size);
    v["checksum"] = Json::UInt64(m.checksum);
    v["journal_bytes"] = Json::UInt64(m.journal_bytes);
    return json_text(v);
  }
  std::string operator()(const TakeOver& m) const {
    Json::Value v;
    v["generation"] = Json::UInt64(m.generation);
    return json_text(v);
  }
  template <class Empty>
  std::string operator()(const Empty&) const {
    return "";
  }
};

Json::Value parse_body(const std::string& body) {
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  Json::Value value;
  if (!reader->parse(body.data(), body.data() + body.size(), &value, nullptr) || !value.isObject()) {
    throw FrameError("a handover message cannot be read");
  }
  return value;
}

Message decode(std::uint32_t type, std::string body) {
  switch (type) {
    case 0: {
      const Json::Value v = parse_body(body);
      return Offer{{v["handover"].asUInt(), v["journal"].asUInt()}, v["generation"].asUInt64()};
    }
    case 1:
      return Accept{};
    case 2:
      return Refuse{parse_body(body)["why"].asString()};
    case kStateType:
      return State{std::move(body)};
    case 4: {
      const Json::Value v = parse_body(body);
      return StateEnd{v["size"].asUInt64(), v["checksum"].asUInt64(), v["journal_bytes"].asUInt64()};
    }
    case 5:
      return Ready{};
    case 6:
      return TakeOver{parse_body(body)["generation"].asUInt64()};
    default:
      return TakeoverConfirmed{};
  }
}

// Includes the type, since most messages have an empty body.
std::uint64_t frame_checksum(std::uint32_t type, std::string_view body) {
  return XXH3_64bits_withSeed(body.data(), body.size(), type);
}

}  // namespace

std::uint64_t checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string encode(const Message& message) {
  const std::string body = std::visit(BodyEncoder{}, message);
  FrameHeader header{};
  std::memcpy(header.magic, kMagic, sizeof kMagic);
  header.type = static_cast<std::uint32_t>(message.index());
  header.size = body.size();
  header.checksum = frame_checksum(header.type, body);
  std::string frame(sizeof header, '\0');
  std::memcpy(frame.data(), &header, sizeof header);
  return frame + body;
}

std::optional<Message> FrameReader::next() {
  FrameHeader header;
  if (bytes_.size() < sizeof header) return std::nullopt;
  std::memcpy(&header, bytes_.data(), sizeof header);
  if (std::memcmp(header.magic, kMagic, sizeof kMagic) != 0) throw FrameError("this is no handover message");
  if (header.type >= kMessageTypes) throw FrameError("a handover message of an unknown type");
  if (header.size > max_body_bytes_) throw FrameError("a handover message is too long");
  if (bytes_.size() - sizeof header < header.size) return std::nullopt;
  std::string body = bytes_.substr(sizeof header, header.size);
  bytes_.erase(0, sizeof header + header.size);
  if (frame_checksum(header.type, body) != header.checksum) throw FrameError("a handover message is damaged");
  try {
    return decode(header.type, std::move(body));
  } catch (const Json::Exception&) {
    throw FrameError("a handover message cannot be read");
  }
}

}  // namespace fennellane::handover
