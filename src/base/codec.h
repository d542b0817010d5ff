#ifndef JACKDAW_BASE_CODEC_H
#define JACKDAW_BASE_CODEC_H

#include <cereal/cereal.hpp>

#include <cstdint>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace base {

/// Reads cereal's portable binary encoding (little endian) from a byte range.
/// cereal's own archive resizes a container to the claimed length before it
/// reads the elements; this one first compares the claim with the bytes left,
/// so that a short input can't make it allocate much. Throws
/// `cereal::Exception` on bad input; use `decode` instead of using it directly.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedInputArchive(std::string_view Bytes)
      : InputArchive(this), Rest(Bytes) {}

  std::size_t bytesLeft() const { return Rest.size(); }

  void loadBytes(void *Target, std::size_t Size) {
    if (Size > Rest.size())
      throw cereal::Exception("input ends too early");
    std::memcpy(Target, Rest.data(), Size);
    Rest.remove_prefix(Size);
  }

private:
  std::string_view Rest;
};

/// Writes the encoding that `BoundedInputArchive` reads.
class ByteOutputArchive
    : public cereal::OutputArchive<ByteOutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit ByteOutputArchive(std::string &Target)
      : OutputArchive(this), Target(Target) {}

  void saveBytes(const void *Source, std::size_t Size) {
    Target.append(static_cast<const char *>(Source), Size);
  }

private:
  std::string &Target;
};

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_SAVE_FUNCTION_NAME(ByteOutputArchive &Ar, const T &Value) {
  Ar.saveBytes(std::addressof(Value), sizeof(Value));
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar, T &Value) {
  // A bool with another bit pattern than 0 or 1 is undefined behaviour.
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t Byte = 0;
    Ar.loadBytes(&Byte, sizeof(Byte));
    if (Byte > 1)
      throw cereal::Exception("bool is neither 0 nor 1");
    Value = Byte == 1;
  } else {
    Ar.loadBytes(std::addressof(Value), sizeof(Value));
  }
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(ByteOutputArchive &Ar,
                               const cereal::BinaryData<T> &Data) {
  Ar.saveBytes(Data.data, static_cast<std::size_t>(Data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                               cereal::BinaryData<T> &Data) {
  Ar.loadBytes(Data.data, static_cast<std::size_t>(Data.size));
}

template <class Archive, class T>
std::enable_if_t<std::is_same_v<Archive, BoundedInputArchive> ||
                 std::is_same_v<Archive, ByteOutputArchive>>
CEREAL_SERIALIZE_FUNCTION_NAME(Archive &Ar, cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(ByteOutputArchive &Ar,
                               const cereal::SizeTag<T> &Tag) {
  const auto Size = static_cast<std::uint32_t>(Tag.size);
  Ar.saveBytes(&Size, sizeof(Size));
}

// Every element takes at least one byte, so a claim above the bytes left can't
// be true.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                               cereal::SizeTag<T> &Tag) {
  std::uint32_t Size = 0;
  Ar.loadBytes(&Size, sizeof(Size));
  if (Size > Ar.bytesLeft())
    throw cereal::Exception("claimed length exceeds the input");
  Tag.size = Size;
}

/// Encodes a value that has cereal serialization functions.
template <typename T> std::string encode(const T &Value) {
  std::string Bytes;
  ByteOutputArchive Ar(Bytes);
  Ar(Value);
  return Bytes;
}

/// Decodes a whole value; nothing if the input is malformed, too short or has
/// bytes left over. Never throws.
template <typename T> std::optional<T> decode(std::string_view Bytes) {
  try {
    BoundedInputArchive Ar(Bytes);
    T Value;
    Ar(Value);
    if (Ar.bytesLeft() != 0)
      return std::nullopt;
    return Value;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace base

CEREAL_REGISTER_ARCHIVE(base::BoundedInputArchive)
CEREAL_REGISTER_ARCHIVE(base::ByteOutputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(base::BoundedInputArchive, base::ByteOutputArchive)

#endif // JACKDAW_BASE_CODEC_H
