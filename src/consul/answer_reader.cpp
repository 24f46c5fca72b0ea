#include "answer_reader.hpp"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <memory>
#include <optional>
#include <set>
#include <unordered_set>
#include <utility>

#include "config.hpp"
#include "names.hpp"
#include "number.hpp"

namespace fennellane {
namespace {

constexpr unsigned kMaxDepth = 32;
constexpr double kMaxRate = 1e9, kMaxWeight = 65535;
constexpr std::size_t kMaxProblemLength = 200;

bool is_whitespace(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

Json::Value parse_object(std::string_view text) {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["allowComments"] = false;
  builder["failIfExtra"] = true;
  builder["stackLimit"] = kMaxDepth + 8;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value, nullptr) && value.isObject())
      return value;
  } catch (const Json::Exception&) {  // nested too deeply
  }
  throw AnswerError("an entry is not a JSON object");
}

const Json::Value& required_field(const Json::Value& in, const char* name, Json::ValueType type) {
  const Json::Value& value = in[name];
  if (value.type() != type) throw AnswerError(std::string(name) + " is missing or has a wrong type");
  return value;
}

std::string optional_text(const Json::Value& in, const char* name) {
  const Json::Value& value = in[name];
  if (value.isNull()) return "";
  if (!value.isString()) throw AnswerError(std::string(name) + " has a wrong type");
  return value.asString();
}

// The worst health of all checks; maintenance checks are recognized by their id.
HostHealth worst_health(const Json::Value& checks) {
  HostHealth worst = HostHealth::passing;
  for (const Json::Value& check : checks) {
    if (!check.isObject()) throw AnswerError("a check is not an object");
    const std::string status = required_field(check, "Status", Json::stringValue).asString();
    const std::string id = optional_text(check, "CheckID");
    HostHealth health = HostHealth::passing;
    if (status == "warning") {
      health = HostHealth::warning;
    } else if (status == "critical") {
      const bool maintenance = id == "_node_maintenance" || id.starts_with("_service_maintenance:");
      health = maintenance ? HostHealth::maintenance : HostHealth::critical;
    } else if (status == "maintenance") {
      health = HostHealth::maintenance;
    } else if (status != "passing") {
      throw AnswerError("a check has an unknown status");
    }
    worst = std::max(worst, health);
  }
  return worst;
}

double weight_of(const Json::Value& weights, const char* name) {
  const Json::Value& value = weights[name];
  if (value.isNull()) return 1;
  if (!value.isNumeric() || !(value.asDouble() >= 0) || value.asDouble() > kMaxWeight) {
    throw AnswerError(std::string("the weight ") + name + " is out of range");
  }
  return value.asDouble();
}

}  // namespace

void ArraySplitter::reset() {
  state_ = State::before;
  element_.clear();
  depth_ = 0;
  in_string_ = escaped_ = false;
}

template <class Callback>
void ArraySplitter::feed(std::string_view bytes, Callback callback) {
  std::size_t start = 0;  // of the current element's part in `bytes`
  const auto append = [&](std::size_t end) {
    if (element_.size() + (end - start) > max_element_) throw AnswerError("a host's entry is too long");
    element_.append(bytes.substr(start, end - start));
  };
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    if (state_ == State::element) {
      if (in_string_) {
        if (escaped_) {
          escaped_ = false;
        } else if (c == '\\') {
          escaped_ = true;
        } else if (c == '"') {
          in_string_ = false;
        }
      } else if (c == '"') {
        in_string_ = true;
      } else if (c == '{' || c == '[') {
        if (++depth_ > kMaxDepth) throw AnswerError("a host's entry is nested too deeply");
      } else if ((c == '}' || c == ']') && --depth_ == 0) {
        append(i + 1);
        state_ = State::between;
        callback(std::string_view(element_));
        element_.clear();
      }
      continue;
    }
    if (is_whitespace(c)) continue;
    if (state_ == State::before && c == '[') {
      state_ = State::first;
    } else if ((state_ == State::first || state_ == State::next) && c == '{') {
      state_ = State::element;
      depth_ = 1;
      start = i;
    } else if ((state_ == State::first || state_ == State::between) && c == ']') {
      state_ = State::after;
    } else if (state_ == State::between && c == ',') {
      state_ = State::next;
    } else {
      throw AnswerError("the answer is not a JSON array of objects");
    }
  }
  if (state_ == State::element) append(bytes.size());
}

AnswerReader::AnswerReader(const ConsulSettings& settings, std::uint32_t service, const NamePositions& names,
                           const AnswerLimits& limits)
    : settings_(settings), service_(service), names_(names), limits_(limits), splitter_(limits.element) {}

void AnswerReader::begin() {
  splitter_.reset();
  staged_.clear();
  bytes_ = host_count_ = unusable_ = 0;
  first_problem_.clear();
  ++answer_number_;
}

void AnswerReader::reset() {
  known_.clear();
  next_is_full_ = true;
}

void AnswerReader::feed(std::string_view bytes) {
  bytes_ += bytes.size();
  if (bytes_ > limits_.bytes) throw AnswerError("the answer is too long");
  splitter_.feed(bytes, [this](std::string_view element) { add_element(element); });
}

void AnswerReader::add_element(std::string_view element) {
  if (++host_count_ > limits_.hosts) throw AnswerError("the answer lists too many hosts");
  const Hash hash{XXH3_128bits(element.data(), element.size())};
  if (const auto it = known_.find(hash); it != known_.end()) {
    if (it->second.last_answer == answer_number_) throw AnswerError(it->second.id + " is listed twice");
    it->second.last_answer = answer_number_;
    if (!it->second.usable) ++unusable_;
    return;
  }
  staged_.push_back({hash, parse_instance(element)});
}

void AnswerReader::record_unusable(const std::string& id, const std::string& problem) {
  ++unusable_;
  if (first_problem_.empty()) first_problem_ = (id + ": " + problem).substr(0, kMaxProblemLength);
}

// Throws if the entry identifies no host or no health. Any other error in the entry makes only this host
// unusable.
Instance AnswerReader::parse_instance(std::string_view element) {
  const Json::Value in = parse_object(element);
  const ConsulService& config = settings_.services[service_];
  const Json::Value& node = required_field(in, "Node", Json::objectValue);
  const Json::Value& service = required_field(in, "Service", Json::objectValue);
  const std::string node_name = required_field(node, "Node", Json::stringValue).asString();
  const std::string service_id = required_field(service, "ID", Json::stringValue).asString();
  Instance i;
  // Service ids are unique only per node.
  i.id = config.name + "/" + node_name + "/" + service_id;
  i.health = worst_health(required_field(in, "Checks", Json::arrayValue));
  try {
    i.address.host = optional_text(service, "Address");
    if (i.address.host.empty()) i.address.host = optional_text(node, "Address");
    if (!is_numeric_host(i.address.host)) {
      throw AnswerError("its address is a name, and there is no DNS: '" + i.address.host + "'");
    }
    const Json::Value& port = service["Port"];
    if (!port.isInt() || port.asInt() < 1 || port.asInt() > 65535) {
      throw AnswerError("its port is out of range");
    }
    i.address.port = static_cast<std::uint16_t>(port.asInt());
    const Json::Value& weights = service["Weights"];
    if (weights.isObject()) {
      i.weight_passing = weight_of(weights, "Passing");
      i.weight_warning = weight_of(weights, "Warning");
    } else if (!weights.isNull()) {
      throw AnswerError("Weights has a wrong type");
    }
    const Json::Value& meta = service["Meta"];
    if (!meta.isNull() && !meta.isObject()) throw AnswerError("Meta has a wrong type");
    const auto meta_value = [&meta](const std::string& key) {
      return meta.isObject() ? optional_text(meta, key.c_str()) : std::string();
    };
    const std::string destination = meta_value(settings_.meta.destination),
                      rate = meta_value(settings_.meta.rate);
    if (!destination.empty()) {
      const auto number = parse_unsigned(destination, 65535);
      if (!number) throw AnswerError("its destination is not a number up to 65535: '" + destination + "'");
      i.destination = static_cast<std::uint32_t>(*number);
    } else if (config.destination) {
      i.destination = *config.destination;
    } else {
      throw AnswerError("its destination is set neither in its Meta nor in the settings");
    }
    i.rate = config.rate;
    if (!rate.empty()) {
      const char* const end = rate.data() + rate.size();
      const auto [stop, error] = std::from_chars(rate.data(), end, i.rate);
      if (error != std::errc() || stop != end || !(i.rate >= 0) || i.rate > kMaxRate) {
        throw AnswerError("its rate is not a valid number: '" + rate + "'");
      }
    }
    const std::string zone = meta_value(settings_.meta.zone), kind = meta_value(settings_.meta.kind);
    i.zone = position_of(names_.zones, zone.empty() ? config.zone : zone);
    i.kind = position_of(names_.kinds, kind.empty() ? config.kind : kind);
  } catch (const AnswerError& e) {
    i.usable = false;
    record_unusable(i.id, e.what());
  }
  return i;
}

ServiceAnswer AnswerReader::finish() {
  if (!splitter_.done()) throw AnswerError("the answer is truncated");
  std::unordered_set<std::string_view> stale;  // ids whose known entry is not in this answer
  for (const auto& [hash, known] : known_) {
    if (known.last_answer != answer_number_) stale.insert(known.id);
  }
  ServiceAnswer answer;
  answer.service = service_;
  std::unordered_set<std::string_view> new_ids;
  bool any_new = false;
  for (const Staged& s : staged_) {
    if (!new_ids.insert(s.instance.id).second) throw AnswerError(s.instance.id + " is listed twice");
    if (stale.erase(s.instance.id) == 0) any_new = true;
  }
  // An id that was not stale is either new, or its known entry is in this answer too.
  for (auto it = known_.begin(); any_new && it != known_.end(); ++it) {
    if (it->second.last_answer == answer_number_ && new_ids.contains(it->second.id)) {
      throw AnswerError(it->second.id + " is listed twice");
    }
  }
  for (const std::string_view id : stale) answer.removed.emplace_back(id);
  // The answer is valid: commit it.
  answer.full = std::exchange(next_is_full_, false);
  std::erase_if(known_, [this](const auto& k) { return k.second.last_answer != answer_number_; });
  for (Staged& s : staged_) {
    known_[s.hash] = {s.instance.id, answer_number_, s.instance.usable};
    answer.changed.push_back(std::move(s.instance));
  }
  staged_.clear();
  return answer;
}

}  // namespace fennellane
