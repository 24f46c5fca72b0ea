// One HTTP/1.1 message at a time, read with http-parser and held within bounds, and the few lines of HTTP
// that the relay writes itself.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fennellane {

class HttpReader {
 public:
  enum class Kind { request, response };
  HttpReader(Kind kind, std::size_t most_head, std::size_t most_body);
  HttpReader(const HttpReader&) = delete;  // the parser holds a pointer to its reader
  HttpReader& operator=(const HttpReader&) = delete;

  // Takes in bytes up to the end of one message at most and says how many.
  std::size_t feed(std::string_view bytes);
  void end_of_input();  // ends a response that has no length
  void reset();         // ready for the next message
  void mark_failed();   // the message fails, whatever has come of it

  bool started() const { return started_; }
  bool head_done() const { return head_done_; }
  bool done() const { return done_; }
  bool failed() const { return error_status_ != 0; }
  unsigned error_status() const {
    return error_status_;
  }  // the status that a failed request is answered with
  bool keep_alive() const { return keep_alive_; }
  // In so many words, `Connection: close`, in a head that can be read.
  bool has_connection_close() const { return has_connection_close_; }

  unsigned status() const { return parser_.status_code; }
  // Of a response: whether its first line says so, whatever became of the rest.
  bool first_line_has_status(unsigned status) const;
  // Of a response: whether a second status line begins in what has come of it, head or body. It may be two
  // answers of which the first broke off.
  bool has_second_status_line() const { return status_line_count_ > 1; }
  std::string_view method() const;
  const std::string& target() const { return target_; }
  // By its name in lower case; a single comma for one that came twice.
  std::optional<std::string_view> header(std::string_view name) const;
  // What has come of the body since the last call. Its bound counts what has not been taken.
  std::string take_body() { return std::exchange(body_, {}); }

  // For another process, which goes on reading in the middle of the message: see http_snapshot.hpp.
  template <class Archive>
  void serialize_state(Archive& archive);

 private:
  static const http_parser_settings& callbacks();
  bool add_head_bytes(std::size_t count);
  int on_head_complete();
  unsigned framing_error_status() const;
  bool has_embedded_answer() const;
  void append_first_line(std::string_view bytes);
  void count_status_lines(std::string_view bytes, std::size_t taken);

  const Kind kind_;
  const std::size_t max_head_bytes_;
  const std::size_t max_body_bytes_;
  http_parser parser_{};
  std::size_t head_size_ = 0;
  std::string first_line_;     // of a response, its beginning
  std::string reason_phrase_;  // of a response, what its first line says behind the status
  unsigned status_line_count_ = 0;
  std::string tail_;  // of a response, its last bytes, which may begin a status line
  std::string target_;
  std::vector<std::pair<std::string, std::string>> headers_;
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
