#ifndef JACKDAW_OVERLOAD_ADMISSIONLEVEL_H
#define JACKDAW_OVERLOAD_ADMISSIONLEVEL_H

#include "base/types.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace overload {

/// Name of a route within its service.
using RouteName = base::StrongName<struct RouteTag>;

/// A route of a service. Admission levels are learned per route.
struct RouteKey {
  base::ServiceName Service;
  RouteName Route;

  friend auto operator<=>(const RouteKey &, const RouteKey &) = default;
};

/// Number of distinct request ranks and thresholds.
inline constexpr std::uint32_t kRankCount = 128;

/// Number of distinct levels.
inline constexpr std::uint32_t kLevelCount =
    kRankCount * base::kPriorityClassCount;

/// Threshold for admission: all requests of classes above `Class` are admitted,
/// those of `Class` if their rank is at most `Threshold`, and none of the
/// classes below. The default is the open level, which admits everything.
struct AdmissionLevel {
  base::PriorityClass Class = base::PriorityClass::Background;
  /// Highest rank of `Class` that is admitted, 0 to 127.
  std::uint8_t Threshold = kRankCount - 1;

  friend bool operator==(const AdmissionLevel &,
                         const AdmissionLevel &) = default;

  /// Position in the order of strictness; 0 is the strictest level.
  std::uint32_t index() const {
    return static_cast<std::uint32_t>(Class) * kRankCount + Threshold;
  }

  /// The level at `Index`; indices out of range give the open level.
  static AdmissionLevel fromIndex(std::uint32_t Index);

  bool admits(base::PriorityClass RequestClass, std::uint8_t Rank) const;

  /// Whether both fields are in range. A level decoded from the network must be
  /// checked before use.
  bool valid() const {
    return static_cast<std::uint32_t>(Class) < base::kPriorityClassCount &&
           Threshold < kRankCount;
  }

  template <class Archive> void serialize(Archive &Ar) { Ar(Class, Threshold); }
};

/// The stricter of two levels, which admits only what both admit.
AdmissionLevel stricter(const AdmissionLevel &First,
                        const AdmissionLevel &Second);

} // namespace overload

#endif // JACKDAW_OVERLOAD_ADMISSIONLEVEL_H
