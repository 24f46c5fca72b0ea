#include "http.hpp"

#include <algorithm>
#include <cctype>

#include "number.hpp"

namespace fennellane {
namespace {

constexpr unsigned kBadRequest = 400, kBodyTooLarge = 413, kHeadTooLarge = 431, kVersionNotSupported = 505;
constexpr std::size_t kFirstLineBytes = 13;     // "HTTP/1.1 200 "
constexpr std::size_t kHeaderLineOverhead = 4;  // what a header line has beside name and value

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

constexpr std::string_view kHttpVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusLinePrefixBytes = kHttpVersionPrefix.size() + 5;  // "HTTP/1.1 200"

// How many status lines begin in a text, before a position in it.
unsigned count_status_line_starts(std::string_view text, std::size_t end = std::string_view::npos) {
  unsigned count = 0;
  for (std::size_t at = 0; (at = text.find(kHttpVersionPrefix, at)) < end; ++at) {
    const std::string_view line = text.substr(at, kStatusLinePrefixBytes);
    if (line.size() < kStatusLinePrefixBytes) break;
    const char status = line[kHttpVersionPrefix.size() + 2];
    if (line[kHttpVersionPrefix.size() + 1] == ' ' && std::isdigit(static_cast<unsigned char>(status)) != 0)
      ++count;
  }
  return count;
}

}  // namespace

HttpReader::HttpReader(Kind kind, std::size_t most_head, std::size_t most_body)
    : kind_(kind), max_head_bytes_(most_head), max_body_bytes_(most_body) {
  reset();
}

void HttpReader::reset() {
  http_parser_init(&parser_, kind_ == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  head_size_ = 0;
  first_line_.clear();
  reason_phrase_.clear();
  tail_.clear();
  status_line_count_ = 0;
  target_.clear();
  headers_.clear();
  reading_header_value_ = false;
  body_.clear();
  started_ = head_done_ = done_ = keep_alive_ = has_connection_close_ = false;
  error_status_ = 0;
}

void HttpReader::mark_failed() {
  done_ = false;
  error_status_ = kBadRequest;
}

bool HttpReader::add_head_bytes(std::size_t count) {
  head_size_ += count;
  if (head_size_ <= max_head_bytes_) return true;
  error_status_ = kHeadTooLarge;
  return false;
}

int HttpReader::on_head_complete() {
  for (auto& [name, value] : headers_) {
    std::transform(name.begin(), name.end(), name.begin(), to_lower);
    value.erase(value.find_last_not_of(" \t") + 1);  // the space around a value is no part of it
  }
  head_done_ = true;
  // HTTP/0.9 answers have no head, and what another major version means is not known here.
  if (parser_.http_major != 1) error_status_ = kVersionNotSupported;
  if (error_status_ == 0) error_status_ = framing_error_status();
  if (error_status_ == 0 && kind_ == Kind::response && has_embedded_answer()) error_status_ = kBadRequest;
  if (error_status_ != 0) return -1;
  has_connection_close_ = (parser_.flags & F_CONNECTION_CLOSE) != 0;
  // Guards against taking in a body only to refuse it; without a length it grows to the bound.
  if ((parser_.flags & F_CONTENTLENGTH) && parser_.content_length > max_body_bytes_) {
    error_status_ = kBodyTooLarge;
    return -1;
  }
  return 0;
}

// Guards against two readings of where a message ends, of which the other one may hide a second message:
// names that are no names, a length that is not one plain number, a coding other than one `chunked`, both at
// once.
unsigned HttpReader::framing_error_status() const {
  const auto in_name = [](unsigned char c) {
    return std::isalnum(c) != 0 ||
           (c != 0 &&
            std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos);
  };
  int lengths = 0, codings = 0;
  for (const auto& [name, value] : headers_) {
    if (name.empty() || !std::all_of(name.begin(), name.end(), in_name)) return kBadRequest;
    if (name == "content-length") {
      ++lengths;
      if (parse_unsigned(value, UINT64_MAX - 1) != parser_.content_length) return kBadRequest;
    }
    if (name == "transfer-encoding") {
      ++codings;
      std::string coding = value;
      std::transform(coding.begin(), coding.end(), coding.begin(), to_lower);
      if (coding != "chunked") return kBadRequest;
    }
  }
  return lengths + codings > 1 ? kBadRequest : 0;
}

// Guards against half an answer with a whole one behind it being read as one answer, with the status of the
// first and the headers of the second.
bool HttpReader::has_embedded_answer() const {
  return count_status_line_starts(reason_phrase_) > 0 ||
         std::any_of(headers_.begin(), headers_.end(),
                     [](const auto& header) { return count_status_line_starts(header.second) > 0; });
}

// Counted over the bytes as they come, since a head that cannot be read leaves nothing else behind. A line
// that begins in the taken ones may end in those behind them.
void HttpReader::count_status_lines(std::string_view bytes, std::size_t taken) {
  constexpr std::size_t kTailBytes = kStatusLinePrefixBytes - 1;  // holds none
  const std::string seam = tail_ + std::string(bytes.substr(0, kTailBytes));
  status_line_count_ += count_status_line_starts(seam, tail_.size());
  status_line_count_ += count_status_line_starts(bytes, taken);
  tail_ += bytes.substr(taken - std::min(taken, kTailBytes), std::min(taken, kTailBytes));
  if (tail_.size() > kTailBytes) tail_.erase(0, tail_.size() - kTailBytes);
}

bool HttpReader::first_line_has_status(unsigned status) const {
  const std::string_view line = first_line_;
  if (line.size() < kFirstLineBytes || !line.starts_with("HTTP/1.") || (line[7] != '0' && line[7] != '1'))
    return false;
  const char after = line[12];
  return line[8] == ' ' && line.substr(9, 3) == std::to_string(status) &&
         (after == ' ' || after == '\r' || after == '\n');
}

// Kept beside the parser, which forgets it where it cannot read on.
void HttpReader::append_first_line(std::string_view bytes) {
  if (first_line_.empty()) bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
  first_line_ += bytes.substr(0, kFirstLineBytes - std::min(kFirstLineBytes, first_line_.size()));
}

const http_parser_settings& HttpReader::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* p) {
      static_cast<HttpReader*>(p->data)->started_ = true;
      return 0;
    };
    s.on_status = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      if (!r.add_head_bytes(n)) return -1;
      r.reason_phrase_.append(at, n);
      return 0;
    };
    s.on_url = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      if (!r.add_head_bytes(n)) return -1;
      r.target_.append(at, n);
      return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      if (r.headers_.empty() || r.reading_header_value_) {
        if (!r.add_head_bytes(kHeaderLineOverhead)) return -1;
        r.headers_.emplace_back();
      }
      r.reading_header_value_ = false;
      if (!r.add_head_bytes(n)) return -1;
      r.headers_.back().first.append(at, n);
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      r.reading_header_value_ = true;
      if (r.headers_.empty() || !r.add_head_bytes(n)) return -1;
      r.headers_.back().second.append(at, n);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      return static_cast<HttpReader*>(p->data)->on_head_complete();
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      if (r.body_.size() + n > r.max_body_bytes_) {
        r.error_status_ = kBodyTooLarge;
        return -1;
      }
      r.body_.append(at, n);
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      auto& r = *static_cast<HttpReader*>(p->data);
      r.keep_alive_ = http_should_keep_alive(p) != 0;
      r.done_ = true;
      http_parser_pause(p, 1);  // what follows belongs to the next message
      return 0;
    };
    return s;
  }();
  return settings;
}

std::size_t HttpReader::feed(std::string_view bytes) {
  if (done_ || failed() || bytes.empty()) return 0;
  if (kind_ == Kind::response && first_line_.size() < kFirstLineBytes) append_first_line(bytes);
  const std::size_t used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (!done_ && error_status_ == 0 && HTTP_PARSER_ERRNO(&parser_) != HPE_OK) error_status_ = kBadRequest;
  const std::size_t taken = std::min(used, bytes.size());
  // Where it cannot be read, what follows may be another answer all the same.
  if (kind_ == Kind::response) count_status_lines(bytes, failed() ? bytes.size() : taken);
  return taken;
}

void HttpReader::end_of_input() {
  if (done_ || failed() || !started_) return;
  http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  if (!done_) error_status_ = kBadRequest;
}

std::string_view HttpReader::method() const {
  return http_method_str(static_cast<http_method>(parser_.method));
}

std::optional<std::string_view> HttpReader::header(std::string_view name) const {
  std::optional<std::string_view> found;
  for (const auto& [key, value] : headers_) {
    if (key != name) continue;
    // Guards against two readings of one header: the values that matter hold no comma, so a second one makes
    // them malformed.
    if (found) return std::string_view(",");
    found = value;
  }
  return found;
}

std::string format_answer(unsigned status, bool close, std::string_view more_headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += http_status_str(static_cast<http_status>(status));
  text += "\r\nContent-Length: 0\r\n";
  if (close) text += "Connection: close\r\n";
  text += more_headers;
  text += "\r\n";
  return text;
}

}  // namespace fennellane
