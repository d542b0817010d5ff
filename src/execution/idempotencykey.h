#ifndef JACKDAW_EXECUTION_IDEMPOTENCYKEY_H
#define JACKDAW_EXECUTION_IDEMPOTENCYKEY_H

#include "base/clock.h"
#include "base/errors.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace execution {

/// Value of an `Idempotency-Key` header: a UUIDv7 (RFC 9562), which contains
/// the time at which the caller generated it.
struct IdempotencyKey {
  std::array<std::uint8_t, 16> Bytes{};

  /// Parses the usual form with four hyphens, in upper or lower case and with
  /// or without the quotes of a structured header field. Fails with
  /// `IdempotencyKeyInvalid`.
  static base::Result<IdempotencyKey> parse(std::string_view Text);

  /// Time at which the key was generated, in whole milliseconds of the caller's
  /// clock.
  base::WallTime timestamp() const;

  friend auto operator<=>(const IdempotencyKey &,
                          const IdempotencyKey &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    for (std::uint8_t &Byte : Bytes)
      Ar(Byte);
  }
};

} // namespace execution

#endif // JACKDAW_EXECUTION_IDEMPOTENCYKEY_H
