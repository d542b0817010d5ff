#ifndef JACKDAW_BASE_CODEC_H
#define JACKDAW_BASE_CODEC_H

#include "base/boundedarchive.h"

#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace base {

/// Encodes a value in cereal's portable binary format.
template <typename T> std::string encode(const T &Value) {
  std::ostringstream Stream;
  {
    cereal::PortableBinaryOutputArchive Archive(Stream);
    Archive(Value);
  }
  return std::move(Stream).str();
}

/// Decodes untrusted input. Returns no value unless `Bytes` are exactly one
/// encoded value. Never throws.
template <typename T> std::optional<T> decode(std::string_view Bytes) {
  try {
    BoundedInputArchive Archive(Bytes);
    std::optional<T> Value(std::in_place);
    Archive(*Value);
    if (Archive.remaining() != 0)
      return std::nullopt;
    return Value;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace base

#endif // JACKDAW_BASE_CODEC_H
