// What connections remember of the bytes on their way, for a process that takes over from another.
#pragma once

#include <http_parser.h>

#include "http.hpp"
#include "ring_buffer.hpp"
#include "snapshot.hpp"

namespace fennellane {

template <class Archive>
void HttpReader::serialize_state(Archive& archive) {
  const auto pass = [&archive](auto value) {
    archive(value);
    return value;
  };
  // The parser's own state goes along. Guards against a library of another version that goes on with it.
  constexpr unsigned kParserVersion =
      HTTP_PARSER_VERSION_MAJOR * 10000 + HTTP_PARSER_VERSION_MINOR * 100 + HTTP_PARSER_VERSION_PATCH;
  if (pass(kParserVersion) != kParserVersion) {
    throw starlinghook::SnapshotError("messages were being read with another version of http-parser");
  }
  parser_.type = pass(unsigned{parser_.type});
  parser_.flags = pass(unsigned{parser_.flags});
  parser_.state = pass(unsigned{parser_.state});
  parser_.header_state = pass(unsigned{parser_.header_state});
  parser_.index = pass(unsigned{parser_.index});
  parser_.uses_transfer_encoding = pass(unsigned{parser_.uses_transfer_encoding});
  parser_.allow_chunked_length = pass(unsigned{parser_.allow_chunked_length});
  parser_.lenient_http_headers = pass(unsigned{parser_.lenient_http_headers});
  parser_.status_code = pass(unsigned{parser_.status_code});
  parser_.method = pass(unsigned{parser_.method});
  parser_.http_errno = pass(unsigned{parser_.http_errno});
  parser_.upgrade = pass(unsigned{parser_.upgrade});
  archive(parser_.nread, parser_.content_length, parser_.http_major, parser_.http_minor);
  archive(head_size_, first_line_, reason_phrase_, status_line_count_, tail_, target_, headers_,
          reading_header_value_, body_, started_, head_done_, done_, keep_alive_, has_connection_close_,
          error_status_);
}

template <class Archive>
void save(Archive& archive, const RingBuffer& ring) {
  archive(ring.text());
}
// Throws starlinghook::MemoryError where the bytes have no room.
template <class Archive>
void load(Archive& archive, RingBuffer& ring) {
  std::string text;
  archive(text);
  if (!ring.append(text)) throw starlinghook::SnapshotError("a connection's bytes have no room");
}

}  // namespace fennellane
