#ifndef JACKDAW_OVERLOAD_ADMISSIONLEVEL_H
#define JACKDAW_OVERLOAD_ADMISSIONLEVEL_H

#include "base/types.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace overload {

/// Name of a route within its service.
using RouteName = base::StrongName<struct RouteTag>;

/// A route of a service, the unit for which admission levels are learned.
struct RouteKey {
  base::ServiceName Service;
  RouteName Route;

  friend auto operator<=>(const RouteKey &, const RouteKey &) = default;
};

/// Number of different request values and thresholds.
inline constexpr std::uint32_t kRankCount = 128;

/// Number of different levels.
inline constexpr std::uint32_t kLevelCount =
    kRankCount * base::kPriorityClassCount;

/// Which requests are admitted: all of the classes above `Class`, those of
/// `Class` whose value is at most `Threshold`, and none of the classes below.
/// The default admits everything.
struct AdmissionLevel {
  base::PriorityClass Class = base::PriorityClass::Background;
  /// 0 to 127.
  std::uint8_t Threshold = kRankCount - 1;

  friend bool operator==(const AdmissionLevel &,
                         const AdmissionLevel &) = default;

  /// Position in the order of strictness: 0 is the strictest level.
  std::uint32_t index() const {
    return static_cast<std::uint32_t>(Class) * kRankCount + Threshold;
  }

  /// The level at `Index`; indices past the last one give the open level.
  static AdmissionLevel fromIndex(std::uint32_t Index);

  bool admits(base::PriorityClass RequestClass, std::uint8_t Value) const;

  /// True for values that `index` can represent. A level decoded from the
  /// network must be checked before use.
  bool valid() const {
    return static_cast<std::uint32_t>(Class) < base::kPriorityClassCount &&
           Threshold < kRankCount;
  }

  template <class Archive> void serialize(Archive &Ar) { Ar(Class, Threshold); }
};

/// The level that admits only what both levels admit.
AdmissionLevel stricter(const AdmissionLevel &First,
                        const AdmissionLevel &Second);

} // namespace overload

#endif // JACKDAW_OVERLOAD_ADMISSIONLEVEL_H
