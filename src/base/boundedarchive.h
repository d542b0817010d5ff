#ifndef JACKDAW_BASE_BOUNDEDARCHIVE_H
#define JACKDAW_BASE_BOUNDEDARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <streambuf>
#include <string_view>
#include <type_traits>
#include <vector>

namespace base {

class BoundedInputArchive;

} // namespace base

namespace cereal::traits::detail {

/// cereal needs the corresponding output archive for types such as
/// enumerations.
template <> struct get_output_from_input<base::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail

namespace base {

/// A read-only stream buffer over existing bytes, which are not copied.
class MemoryBuffer : public std::streambuf {
public:
  explicit MemoryBuffer(std::string_view Bytes) {
    char *Start = const_cast<char *>(Bytes.data());
    setg(Start, Start, Start + Bytes.size());
  }

  /// Number of unread bytes.
  std::size_t remaining() const {
    return static_cast<std::size_t>(egptr() - gptr());
  }
};

/// Deserializes the format of `cereal::PortableBinaryOutputArchive` from
/// untrusted input. cereal resizes a container to the encoded length before it
/// reads the elements. This archive first compares the length with the number
/// of unread bytes, and grows vectors of non-arithmetic elements one element at
/// a time. Throws `cereal::Exception` on malformed input. Types may contain
/// `std::string`, `std::vector`, `std::map`, `std::set` and `std::optional`.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  /// `Bytes` must outlive the archive.
  explicit BoundedInputArchive(std::string_view Bytes)
      : InputArchive(this), Buffer(Bytes), Stream(&Buffer), Inner(Stream) {}

  std::size_t remaining() const { return Buffer.remaining(); }
  cereal::PortableBinaryInputArchive &inner() { return Inner; }

  /// Throws if `Count` bytes, or elements of at least one byte each, exceed the
  /// unread bytes.
  void checkCount(std::uint64_t Count) const {
    if (Count > remaining())
      throw cereal::Exception("length exceeds the remaining input");
  }

private:
  MemoryBuffer Buffer;
  std::istream Stream;
  cereal::PortableBinaryInputArchive Inner;
};

template <typename T>
requires std::is_arithmetic_v<T>
void load(BoundedInputArchive &Ar, T &Value) { Ar.inner()(Value); }

/// Checks the byte, because a `bool` stored as anything but 0 or 1 is undefined
/// behaviour.
inline void load(BoundedInputArchive &Ar, bool &Value) {
  std::uint8_t Byte = 0;
  Ar.inner()(Byte);
  if (Byte > 1)
    throw cereal::Exception("boolean is neither 0 nor 1");
  Value = Byte == 1;
}

template <typename T>
void serialize(BoundedInputArchive &Ar, cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

template <typename T>
void serialize(BoundedInputArchive &Ar, cereal::SizeTag<T> &Tag) {
  Ar.inner()(Tag.size);
  Ar.checkCount(Tag.size);
}

template <typename T>
void load(BoundedInputArchive &Ar, cereal::BinaryData<T> &Data) {
  Ar.checkCount(Data.size);
  Ar.inner()(Data);
}

template <typename T, typename Allocator>
requires(!std::is_arithmetic_v<T>) void load(
    BoundedInputArchive &Ar, std::vector<T, Allocator> &Vector) {
  cereal::size_type Count = 0;
  Ar(cereal::make_size_tag(Count));
  Vector.clear();
  for (cereal::size_type Index = 0; Index < Count; ++Index)
    Ar(Vector.emplace_back());
}

} // namespace base

#endif // JACKDAW_BASE_BOUNDEDARCHIVE_H
