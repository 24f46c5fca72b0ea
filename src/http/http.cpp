#include "http.hpp"

#include <algorithm>
#include <cctype>

#include "ascii.hpp"
#include "bounded_append.hpp"
#include "number.hpp"

namespace fennellane {
namespace {

constexpr unsigned kBadRequest = 400, kBodyTooLarge = 413, kHeadTooLarge = 431, kVersionNotSupported = 505;
constexpr std::size_t kFirstLineBytes = 13;     // "HTTP/1.1 200 "
constexpr std::size_t kHeaderLineOverhead = 4;  // ": " and the line end

constexpr std::string_view kHttpVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusLinePrefixBytes = kHttpVersionPrefix.size() + 5;  // "HTTP/1.1 200"

// Counts the status lines that start in the text before position `end`.
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

HttpReader::HttpReader(Kind kind, std::size_t max_head_bytes, std::size_t max_body_bytes)
    : kind_(kind),
      max_head_bytes_(std::min(max_head_bytes, HeaderFields::kMaxBytes)),
      max_body_bytes_(max_body_bytes) {
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
  body_ = {};
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
  headers_.normalize();
  head_done_ = true;
  // HTTP/0.9 answers have no head, and other major versions are unknown here.
  if (parser_.http_major != 1) error_status_ = kVersionNotSupported;
  if (error_status_ == 0) error_status_ = framing_error_status();
  if (error_status_ == 0 && kind_ == Kind::response && has_embedded_answer()) error_status_ = kBadRequest;
  if (error_status_ != 0) return -1;
  has_connection_close_ = (parser_.flags & F_CONNECTION_CLOSE) != 0;
  // Reject an oversized body by its length, before receiving it. Without a length it is read up to the limit.
  if ((parser_.flags & F_CONTENTLENGTH) && parser_.content_length > max_body_bytes_) {
    error_status_ = kBodyTooLarge;
    return -1;
  }
  // At once, since many bodies that grow side by side would leave gaps between them.
  if (kind_ == Kind::request && (parser_.flags & F_CONTENTLENGTH)) body_.reserve(parser_.content_length);
  return 0;
}

// Rejects messages whose end two parsers could place differently, since one of them could then miss a second
// message (request smuggling): invalid header names, a length that is not one plain number, a transfer coding
// other than a single `chunked`, and a length together with a coding.
unsigned HttpReader::framing_error_status() const {
  const auto in_name = [](unsigned char c) {
    return std::isalnum(c) != 0 ||
           (c != 0 &&
            std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos);
  };
  int lengths = 0, codings = 0;
  for (std::size_t i = 0; i < headers_.size(); ++i) {
    const std::string_view name = headers_.name(i), value = headers_.value(i);
    if (name.empty() || !std::all_of(name.begin(), name.end(), in_name)) return kBadRequest;
    if (name == "content-length") {
      ++lengths;
      if (parse_unsigned(value, UINT64_MAX - 1) != parser_.content_length) return kBadRequest;
    }
    if (name == "transfer-encoding") {
      ++codings;
      std::string coding(value);
      std::transform(coding.begin(), coding.end(), coding.begin(), to_lower);
      if (coding != "chunked") return kBadRequest;
    }
  }
  return lengths + codings > 1 ? kBadRequest : 0;
}

// Detects a truncated answer followed by a complete one, which the parser would merge into one answer with
// the status of the first and the headers of the second.
bool HttpReader::has_embedded_answer() const {
  if (count_status_line_starts(reason_phrase_) > 0) return true;
  for (std::size_t i = 0; i < headers_.size(); ++i) {
    if (count_status_line_starts(headers_.value(i)) > 0) return true;
  }
  return false;
}

// Counts in the raw bytes, since an unreadable head leaves nothing else behind. A status line that starts in
// the consumed bytes may end in those after them.
void HttpReader::count_status_lines(std::string_view bytes, std::size_t consumed) {
  constexpr std::size_t kTailBytes = kStatusLinePrefixBytes - 1;  // too short to contain a whole one
  const std::string boundary = tail_ + std::string(bytes.substr(0, kTailBytes));
  status_line_count_ += count_status_line_starts(boundary, tail_.size());
  status_line_count_ += count_status_line_starts(bytes, consumed);
  tail_ += bytes.substr(consumed - std::min(consumed, kTailBytes), std::min(consumed, kTailBytes));
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

// Kept separately, since the parser drops it when parsing fails.
void HttpReader::append_first_line(std::string_view bytes) {
  if (first_line_.empty()) bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
  first_line_ += bytes.substr(0, kFirstLineBytes - std::min(kFirstLineBytes, first_line_.size()));
}

const http_parser_settings& HttpReader::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings parser_settings;
    http_parser_settings_init(&parser_settings);
    parser_settings.on_message_begin = [](http_parser* parser) {
      static_cast<HttpReader*>(parser->data)->started_ = true;
      return 0;
    };
    parser_settings.on_status = [](http_parser* parser, const char* at, std::size_t n) {
      auto& reader = *static_cast<HttpReader*>(parser->data);
      if (!reader.add_head_bytes(n)) return -1;
      reader.reason_phrase_.append(at, n);
      return 0;
    };
    parser_settings.on_url = [](http_parser* parser, const char* at, std::size_t n) {
      auto& reader = *static_cast<HttpReader*>(parser->data);
      if (!reader.add_head_bytes(n)) return -1;
      reader.target_.append(at, n);
      return 0;
    };
    parser_settings.on_header_field = [](http_parser* parser, const char* at, std::size_t n) {
      auto& reader = *static_cast<HttpReader*>(parser->data);
      if (reader.headers_.empty() || reader.reading_header_value_) {
        if (!reader.add_head_bytes(kHeaderLineOverhead)) return -1;
        reader.headers_.begin_field();
      }
      reader.reading_header_value_ = false;
      if (!reader.add_head_bytes(n)) return -1;
      reader.headers_.append_name({at, n});
      return 0;
    };
    parser_settings.on_header_value = [](http_parser* parser, const char* at, std::size_t n) {
      auto& reader = *static_cast<HttpReader*>(parser->data);
      reader.reading_header_value_ = true;
      if (reader.headers_.empty() || !reader.add_head_bytes(n)) return -1;
      reader.headers_.append_value({at, n});
      return 0;
    };
    parser_settings.on_headers_complete = [](http_parser* parser) {
      return static_cast<HttpReader*>(parser->data)->on_head_complete();
    };
    parser_settings.on_body = [](http_parser* parser, const char* at, std::size_t n) {
      auto& reader = *static_cast<HttpReader*>(parser->data);
      if (reader.body_.size() + n > reader.max_body_bytes_) {
        reader.error_status_ = kBodyTooLarge;
        return -1;
      }
      if (reader.kind_ == Kind::request) reserve_bounded(reader.body_, n, reader.max_body_bytes_);
      reader.body_.append(at, n);
      return 0;
    };
    parser_settings.on_message_complete = [](http_parser* parser) {
      auto& reader = *static_cast<HttpReader*>(parser->data);
      reader.keep_alive_ = http_should_keep_alive(parser) != 0;
      reader.done_ = true;
      http_parser_pause(parser, 1);  // the following bytes belong to the next message
      return 0;
    };
    return parser_settings;
  }();
  return settings;
}

std::size_t HttpReader::feed(std::string_view bytes) {
  if (done_ || failed() || bytes.empty()) return 0;
  if (kind_ == Kind::response && first_line_.size() < kFirstLineBytes) append_first_line(bytes);
  const std::size_t used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (!done_ && error_status_ == 0 && HTTP_PARSER_ERRNO(&parser_) != HPE_OK) error_status_ = kBadRequest;
  const std::size_t consumed = std::min(used, bytes.size());
  // If the answer is unreadable, the bytes after it may still contain another answer.
  if (kind_ == Kind::response) count_status_lines(bytes, failed() ? bytes.size() : consumed);
  return consumed;
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
  return headers_.find(name);
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
