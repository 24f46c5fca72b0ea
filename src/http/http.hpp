// Reads one HTTP/1.1 message at a time with http-parser, within size limits, and formats the few HTTP
// messages that the relay writes.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "header_fields.hpp"

namespace fennellane {

class HttpReader {
 public:
  enum class Kind { request, response };
  HttpReader(Kind kind, std::size_t max_head_bytes, std::size_t max_body_bytes);
  HttpReader(const HttpReader&) = delete;  // the parser holds a pointer to its reader
  HttpReader& operator=(const HttpReader&) = delete;

  // Consumes bytes up to the end of one message at most, and returns how many.
  std::size_t feed(std::string_view bytes);
  void end_of_input();  // ends a response that has no length
  void reset();         // prepares for the next message
  void mark_failed();   // makes the message fail regardless of what was received

  bool started() const { return started_; }
  bool head_done() const { return head_done_; }
  bool done() const { return done_; }
  bool failed() const { return error_status_ != 0; }
  // The status with which a failed request is answered.
  unsigned error_status() const { return error_status_; }
  bool keep_alive() const { return keep_alive_; }
  // Whether a readable head contains an explicit `Connection: close`.
  bool has_connection_close() const { return has_connection_close_; }

  unsigned status() const { return parser_.status_code; }
  // For responses: whether the status line has this status, even if the rest is unreadable.
  bool first_line_has_status(unsigned status) const;
  // For responses: whether a second status line starts in the bytes received, in the head or the body. These
  // may be two answers, the first of them truncated.
  bool has_second_status_line() const { return status_line_count_ > 1; }
  std::string_view method() const;
  const std::string& target() const { return target_; }
  // Looks a header up by its lower-case name. Returns a single comma for a repeated one.
  std::optional<std::string_view> header(std::string_view name) const;
  // Returns the body received since the last call. The size limit applies to the part not yet taken.
  std::string take_body() { return std::exchange(body_, {}); }

  // For handover to another process, which continues in the middle of the message: see http_snapshot.hpp.
  template <class Archive>
  void serialize_state(Archive& archive);

 private:
  static const http_parser_settings& callbacks();
  bool add_head_bytes(std::size_t count);
  int on_head_complete();
  unsigned framing_error_status() const;
  bool has_embedded_answer() const;
  void append_first_line(std::string_view bytes);
  void count_status_lines(std::string_view bytes, std::size_t consumed);

  const Kind kind_;
  const std::size_t max_head_bytes_;
  const std::size_t max_body_bytes_;
  http_parser parser_{};
  std::size_t head_size_ = 0;
  std::string first_line_;     // of a response, its first bytes
  std::string reason_phrase_;  // of a response, the text after the status code
  unsigned status_line_count_ = 0;
  std::string tail_;  // of a response, its last bytes, which may contain the start of a status line
  std::string target_;
  HeaderFields headers_;
  bool reading_header_value_ = false;
  std::string body_;
  bool started_ = false;
  bool head_done_ = false;
  bool done_ = false;
  bool keep_alive_ = false;
  bool has_connection_close_ = false;
  unsigned error_status_ = 0;
};

std::string format_answer(unsigned status, bool close, std::string_view more_headers = {});

}  // namespace fennellane
