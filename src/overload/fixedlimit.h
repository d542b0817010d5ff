#ifndef JACKDAW_OVERLOAD_FIXEDLIMIT_H
#define JACKDAW_OVERLOAD_FIXEDLIMIT_H

#include "overload/concurrencylimit.h"

#include <algorithm>

namespace overload {

/// A constant limit, such as the number of slots that a backend server reports.
/// Also the baseline to which `AdaptiveLimit` is compared.
class FixedLimit final : public ConcurrencyLimit {
public:
  explicit FixedLimit(std::uint32_t Slots)
      : Slots(std::max<std::uint32_t>(Slots, 1)) {}

  std::uint32_t limit() const override { return Slots; }

private:
  const std::uint32_t Slots;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_FIXEDLIMIT_H
