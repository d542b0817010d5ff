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

/// cereal looks the counterpart up for types such as enumerations.
template <> struct get_output_from_input<base::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail

namespace base {

/// A read-only stream buffer over bytes that stay where they are.
class MemoryBuffer : public std::streambuf {
public:
  explicit MemoryBuffer(std::string_view Bytes) {
    char *Start = const_cast<char *>(Bytes.data());
    setg(Start, Start, Start + Bytes.size());
  }

  std::size_t left() const {
    return static_cast<std::size_t>(egptr() - gptr());
  }
};

/// Reads what `cereal::PortableBinaryOutputArchive` writes, for input that
/// can't be trusted. cereal resizes a container to the claimed length before it
/// reads the elements; this archive first compares the length with the bytes
/// left, and grows vectors of larger elements as they arrive. Throws
/// `cereal::Exception` on faulty input. Types may contain `std::string`,
/// `std::vector`, `std::map`, `std::set` and `std::optional`.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  /// `Bytes` must outlive the archive.
  explicit BoundedInputArchive(std::string_view Bytes)
      : InputArchive(this), Buffer(Bytes), Stream(&Buffer), Inner(Stream) {}

  std::size_t left() const { return Buffer.left(); }
  cereal::PortableBinaryInputArchive &inner() { return Inner; }

  /// Every element takes at least one byte.
  void checkCount(std::uint64_t Count) const {
    if (Count > left())
      throw cereal::Exception("a length exceeds the bytes left");
  }

private:
  MemoryBuffer Buffer;
  std::istream Stream;
  cereal::PortableBinaryInputArchive Inner;
};

template <typename T>
requires std::is_arithmetic_v<T>
void load(BoundedInputArchive &Ar, T &Value) { Ar.inner()(Value); }

/// A `bool` whose byte is neither 0 nor 1 has no defined value.
inline void load(BoundedInputArchive &Ar, bool &Value) {
  std::uint8_t Byte = 0;
  Ar.inner()(Byte);
  if (Byte > 1)
    throw cereal::Exception("a truth value is neither 0 nor 1");
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
