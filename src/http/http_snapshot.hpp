// Serialization of partly transferred data on connections, for handover to another process.
#pragma once

#include <http_parser.h>

#include "http.hpp"
#include "ring_buffer.hpp"
#include "snapshot.hpp"

namespace fennellane {

template <class Archive>
void HttpReader::serialize_state(Archive& archive) {
  const auto archive_value = [&archive](auto value) {
    archive(value);
    return value;
  };
  // Includes the parser's internal state, so the other process must use the same version of the library.
  constexpr unsigned kParserVersion =
      HTTP_PARSER_VERSION_MAJOR * 10000 + HTTP_PARSER_VERSION_MINOR * 100 + HTTP_PARSER_VERSION_PATCH;
  if (archive_value(kParserVersion) != kParserVersion) {
    throw starlinghook::SnapshotError("messages were being read with another version of http-parser");
  }
  parser_.type = archive_value(unsigned{parser_.type});
  parser_.flags = archive_value(unsigned{parser_.flags});
  parser_.state = archive_value(unsigned{parser_.state});
  parser_.header_state = archive_value(unsigned{parser_.header_state});
  parser_.index = archive_value(unsigned{parser_.index});
  parser_.uses_transfer_encoding = archive_value(unsigned{parser_.uses_transfer_encoding});
  parser_.allow_chunked_length = archive_value(unsigned{parser_.allow_chunked_length});
  parser_.lenient_http_headers = archive_value(unsigned{parser_.lenient_http_headers});
  parser_.status_code = archive_value(unsigned{parser_.status_code});
  parser_.method = archive_value(unsigned{parser_.method});
  parser_.http_errno = archive_value(unsigned{parser_.http_errno});
  parser_.upgrade = archive_value(unsigned{parser_.upgrade});
  archive(parser_.nread, parser_.content_length, parser_.http_major, parser_.http_minor);
  archive(head_size_, first_line_, reason_phrase_, status_line_count_, tail_, target_, headers_,
          reading_header_value_, body_, started_, head_done_, done_, keep_alive_, has_connection_close_,
          error_status_);
}

template <class Archive>
void save(Archive& archive, const RingBuffer& ring) {
  archive(ring.text());
}
// Throws starlinghook::SnapshotError if the bytes do not fit.
template <class Archive>
void load(Archive& archive, RingBuffer& ring) {
  std::string text;
  archive(text);
  if (!ring.append(text)) throw starlinghook::SnapshotError("a connection's bytes have no room");
}

}  // namespace fennellane
