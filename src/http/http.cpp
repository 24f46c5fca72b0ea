#include "http.hpp"

#include <algorithm>
#include <cctype>

#include "number.hpp"

namespace fennellane {
namespace {

constexpr unsigned kBadRequest = 400, kTooLarge = 413, kHeadTooLarge = 431, kNoSuchVersion = 505;
constexpr std::size_t kFirstLine = 13;  // "HTTP/1.1 200 "
constexpr std::size_t kLineCost = 4;    // what a header line has beside name and value

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

constexpr std::string_view kVersion = "HTTP/1.";
constexpr std::size_t kStatusLineBegin = kVersion.size() + 5;  // "HTTP/1.1 200"

// How many status lines begin in a text, before a position in it.
unsigned status_lines_in(std::string_view text, std::size_t end = std::string_view::npos) {
  unsigned count = 0;
  for (std::size_t at = 0; (at = text.find(kVersion, at)) < end; ++at) {
    const std::string_view line = text.substr(at, kStatusLineBegin);
    if (line.size() < kStatusLineBegin) break;
    const char status = line[kVersion.size() + 2];
    if (line[kVersion.size() + 1] == ' ' && std::isdigit(static_cast<unsigned char>(status)) != 0) ++count;
  }
  return count;
}

}  // namespace

HttpReader::HttpReader(Kind kind, std::size_t most_head, std::size_t most_body)
    : kind_(kind), most_head_(most_head), most_body_(most_body) {
  reset();
}

void HttpReader::reset() {
  http_parser_init(&parser_, kind_ == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  head_size_ = 0;
  first_line_.clear();
  reason_.clear();
  newest_.clear();
  status_lines_ = 0;
  target_.clear();
  headers_.clear();
  in_value_ = false;
  body_.clear();
  started_ = head_done_ = done_ = keep_alive_ = says_close_ = false;
  refusal_ = 0;
}

void HttpReader::refuse() {
  done_ = false;
  refusal_ = kBadRequest;
}

bool HttpReader::grow_head(std::size_t count) {
  head_size_ += count;
  if (head_size_ <= most_head_) return true;
  refusal_ = kHeadTooLarge;
  return false;
}

int HttpReader::head_complete() {
  for (auto& [name, value] : headers_) {
    std::transform(name.begin(), name.end(), name.begin(), lower);
    value.erase(value.find_last_not_of(" \t") + 1);  // the space around a value is no part of it
  }
  head_done_ = true;
  // HTTP/0.9 answers have no head, and what another major version means is not known here.
  if (parser_.http_major != 1) refusal_ = kNoSuchVersion;
  if (refusal_ == 0) refusal_ = framing_fault();
  if (refusal_ == 0 && kind_ == Kind::response && joins_two_answers()) refusal_ = kBadRequest;
  if (refusal_ != 0) return -1;
  says_close_ = (parser_.flags & F_CONNECTION_CLOSE) != 0;
  // Guards against taking in a body only to refuse it; without a length it grows to the bound.
  if ((parser_.flags & F_CONTENTLENGTH) && parser_.content_length > most_body_) {
    refusal_ = kTooLarge;
    return -1;
  }
  return 0;
}

// Guards against two readings of where a message ends, of which the other one may hide a second message:
// names that are no names, a length that is not one plain number, a coding other than one `chunked`, both at
// once.
unsigned HttpReader::framing_fault() const {
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
      if (whole_number(value, UINT64_MAX - 1) != parser_.content_length) return kBadRequest;
    }
    if (name == "transfer-encoding") {
      ++codings;
      std::string coding = value;
      std::transform(coding.begin(), coding.end(), coding.begin(), lower);
      if (coding != "chunked") return kBadRequest;
    }
  }
  return lengths + codings > 1 ? kBadRequest : 0;
}

// Guards against half an answer with a whole one behind it being read as one answer, with the status of the
// first and the headers of the second.
bool HttpReader::joins_two_answers() const {
  return status_lines_in(reason_) > 0 ||
         std::any_of(headers_.begin(), headers_.end(),
                     [](const auto& header) { return status_lines_in(header.second) > 0; });
}

// Counted over the bytes as they come, since a head that cannot be read leaves nothing else behind. A line
// that begins in the taken ones may end in those behind them.
void HttpReader::count_status_lines(std::string_view bytes, std::size_t taken) {
  constexpr std::size_t kKept = kStatusLineBegin - 1;  // holds none
  const std::string seam = newest_ + std::string(bytes.substr(0, kKept));
  status_lines_ += status_lines_in(seam, newest_.size());
  status_lines_ += status_lines_in(bytes, taken);
  newest_ += bytes.substr(taken - std::min(taken, kKept), std::min(taken, kKept));
  if (newest_.size() > kKept) newest_.erase(0, newest_.size() - kKept);
}

bool HttpReader::first_line_says(unsigned status) const {
  const std::string_view line = first_line_;
  if (line.size() < kFirstLine || !line.starts_with("HTTP/1.") || (line[7] != '0' && line[7] != '1'))
    return false;
  const char after = line[12];
  return line[8] == ' ' && line.substr(9, 3) == std::to_string(status) &&
         (after == ' ' || after == '\r' || after == '\n');
}

// Kept beside the parser, which forgets it where it cannot read on.
void HttpReader::note_first_line(std::string_view bytes) {
  if (first_line_.empty()) bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
  first_line_ += bytes.substr(0, kFirstLine - std::min(kFirstLine, first_line_.size()));
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
      if (!r.grow_head(n)) return -1;
      r.reason_.append(at, n);
      return 0;
    };
    s.on_url = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      if (!r.grow_head(n)) return -1;
      r.target_.append(at, n);
      return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      if (r.headers_.empty() || r.in_value_) {
        if (!r.grow_head(kLineCost)) return -1;
        r.headers_.emplace_back();
      }
      r.in_value_ = false;
      if (!r.grow_head(n)) return -1;
      r.headers_.back().first.append(at, n);
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      r.in_value_ = true;
      if (r.headers_.empty() || !r.grow_head(n)) return -1;
      r.headers_.back().second.append(at, n);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) { return static_cast<HttpReader*>(p->data)->head_complete(); };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = *static_cast<HttpReader*>(p->data);
      if (r.body_.size() + n > r.most_body_) {
        r.refusal_ = kTooLarge;
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
  if (kind_ == Kind::response && first_line_.size() < kFirstLine) note_first_line(bytes);
  const std::size_t used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (!done_ && refusal_ == 0 && HTTP_PARSER_ERRNO(&parser_) != HPE_OK) refusal_ = kBadRequest;
  const std::size_t taken = std::min(used, bytes.size());
  // Where it cannot be read, what follows may be another answer all the same.
  if (kind_ == Kind::response) count_status_lines(bytes, failed() ? bytes.size() : taken);
  return taken;
}

void HttpReader::end_of_input() {
  if (done_ || failed() || !started_) return;
  http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  if (!done_) refusal_ = kBadRequest;
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

std::string answer_text(unsigned status, bool close, std::string_view more_headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += http_status_str(static_cast<http_status>(status));
  text += "\r\nContent-Length: 0\r\n";
  if (close) text += "Connection: close\r\n";
  text += more_headers;
  text += "\r\n";
  return text;
}

}  // namespace fennellane
