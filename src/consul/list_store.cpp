#include "list_store.hpp"

#include <json/json.h>
#include <unistd.h>
#include <zstd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <memory>
#include <sstream>

#include "byte_units.hpp"
#include "config.hpp"
#include "names.hpp"
#include "replace_file.hpp"

namespace fennellane {
namespace {

constexpr const char* kFileName = "consul.list";
constexpr const char* kTemporaryFileName = "consul.list.new";
constexpr const char* kFirstLine = "fennellane consul list 1";
constexpr std::size_t kMaxTextBytes = 64 * kMiB;
constexpr int kCompressionLevel = 1;

constexpr const char* kHealthNames[] = {"passing", "warning", "critical", "maintenance"};

std::string errno_message(const char* what) { return std::string(what) + ": " + std::strerror(errno); }

std::string compress(const std::string& text) {
  std::string packed(ZSTD_compressBound(text.size()), '\0');
  const std::unique_ptr<ZSTD_CCtx, std::size_t (*)(ZSTD_CCtx*)> context(ZSTD_createCCtx(), ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  const std::size_t size =
      ZSTD_compress2(context.get(), packed.data(), packed.size(), text.data(), text.size());
  packed.resize(ZSTD_isError(size) ? 0 : size);
  return packed;
}

// Empty if the data is damaged.
std::string decompress(const std::string& packed) {
  const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > kMaxTextBytes) return "";
  std::string text(static_cast<std::size_t>(size), '\0');
  const std::size_t unpacked_size = ZSTD_decompress(text.data(), text.size(), packed.data(), packed.size());
  return ZSTD_isError(unpacked_size) || unpacked_size != text.size() ? "" : text;
}

Json::Value parse_line(const std::string& line) {
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  reader->parse(line.data(), line.data() + line.size(), &value, nullptr);
  return value;
}

}  // namespace

ListStore::ListStore(const std::string& folder, std::uint64_t max_bytes)
    : folder_(folder), max_bytes_(max_bytes) {}

std::string ListStore::save(const Membership& membership, const ConsulSettings& settings,
                            const NamePositions& names) {
  if (max_bytes_ == 0) return "";
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  std::string text = std::string(kFirstLine) + "\n";
  membership.for_each_instance([&](std::uint32_t service, const Instance& i) {
    Json::Value line;
    line["service"] = settings.services[service].name;
    line["id"] = i.id;
    line["address"] = i.address.text();
    line["zone"] = name_at(names.zones, i.zone);
    line["kind"] = name_at(names.kinds, i.kind);
    line["destination"] = i.destination;
    line["rate"] = i.rate;
    line["passing"] = i.weight_passing;
    line["warning"] = i.weight_warning;
    line["health"] = kHealthNames[static_cast<std::size_t>(i.health)];
    text += Json::writeString(builder, line) + "\n";
  });
  const std::string packed = compress(text);
  if (packed.empty()) return "cannot compress the host list";
  if (packed.size() > max_bytes_) {
    return "the host list is not saved: it has " + std::to_string(packed.size()) + " bytes, the limit is " +
           std::to_string(max_bytes_);
  }
  if (!replace_file(path(kFileName), path(kTemporaryFileName), packed))
    return errno_message("cannot save the host list");
  return "";
}

std::string ListStore::load(const ConsulSettings& settings, const NamePositions& names,
                            const OnInstance& on_instance) const {
  ::unlink(path(kTemporaryFileName).c_str());  // left by a crash
  std::ifstream file(path(kFileName), std::ios::binary);
  if (!file) return "";
  std::ostringstream packed;
  packed << file.rdbuf();
  std::istringstream text(decompress(packed.str()));
  std::string line;
  if (!std::getline(text, line) || line != kFirstLine) {
    return "the saved host list is unreadable and is ignored";
  }
  try {
    while (std::getline(text, line)) {
      const Json::Value in = parse_line(line);
      const std::string name = in["service"].asString(), health = in["health"].asString();
      const auto service = std::find_if(settings.services.begin(), settings.services.end(),
                                        [&name](const ConsulService& s) { return s.name == name; });
      const auto known = std::find(std::begin(kHealthNames), std::end(kHealthNames), health);
      if (service == settings.services.end() || known == std::end(kHealthNames)) continue;
      Instance i;
      i.id = in["id"].asString();
      i.address = parse_numeric_address(in["address"].asString());
      i.zone = position_of(names.zones, in["zone"].asString());
      i.kind = position_of(names.kinds, in["kind"].asString());
      i.destination = std::min(in["destination"].asUInt(), 65535u);
      i.rate = in["rate"].asDouble();
      i.weight_passing = in["passing"].asDouble();
      i.weight_warning = in["warning"].asDouble();
      i.health = static_cast<HostHealth>(known - std::begin(kHealthNames));
      on_instance(static_cast<std::uint32_t>(service - settings.services.begin()), i);
    }
  } catch (const std::exception& e) {
    return std::string("the saved host list is only partly readable: ") + e.what();
  }
  return "";
}

}  // namespace fennellane
