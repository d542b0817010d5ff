#ifndef JACKDAW_HTTP_INTERNAL_CHUNKFRAMING_H
#define JACKDAW_HTTP_INTERNAL_CHUNKFRAMING_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace http {

/// Checks the framing of a body in chunks (RFC 9112 section 7.1). libcurl is
/// less strict: it skips whatever stands between the digits of a chunk size and
/// the end of the line, so the rest of a size that was cut may be lost unseen.
class ChunkFraming {
public:
  /// Checks the bytes that follow those of the calls before. Returns false if
  /// they can't be part of such a body. Does not check the trailers, nor what
  /// follows the end of the body.
  bool accept(std::string_view Bytes);

private:
  enum class Position {
    Size,
    AfterSize,
    Extension,
    SizeLineEnd,
    Data,
    DataEnd,
    DataLineEnd,
    Trailers,
    Malformed,
  };

  void acceptByte(char Next);
  Position afterSizeByte(char Next);

  Position At = Position::Size;
  /// Of the current chunk size.
  std::size_t Digits = 0;
  /// Of the current line behind the digits of the size.
  std::size_t ExtensionBytes = 0;
  /// Bytes of the current chunk that have not been received.
  std::uint64_t Missing = 0;
};

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_CHUNKFRAMING_H
