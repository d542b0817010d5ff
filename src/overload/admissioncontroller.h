#ifndef JACKDAW_OVERLOAD_ADMISSIONCONTROLLER_H
#define JACKDAW_OVERLOAD_ADMISSIONCONTROLLER_H

#include "base/clock.h"
#include "base/types.h"
#include "overload/admissionlevel.h"

#include <array>
#include <cstdint>

namespace overload {

struct AdmissionSettings {
  /// Acceptable queueing delay.
  base::Duration Target = std::chrono::milliseconds(20);
  /// A delay above the target for this long tightens the level.
  base::Duration Interval = std::chrono::milliseconds(100);
};

/// Computes the admission level of one daemon from the delay in its queue.
///
/// The level becomes stricter after an interval in which the oldest entry of
/// the queue exceeded the target all the time. It refuses requests of a class
/// only if this class or a higher one was itself delayed, so that a class is
/// not refused while a lower one is served.
class AdmissionController {
public:
  /// Longest current wait per class, from `FairQueue::oldestWaits`.
  using ClassWaits = std::array<base::Duration, base::kPriorityClassCount>;

  AdmissionController(const base::Clock &Clock, AdmissionSettings Settings);

  /// Whether this daemon's own level admits a request to the queue. Counts the
  /// request, so it must be called exactly once per request.
  bool admit(base::PriorityClass Class, std::uint8_t Rank);

  /// Must be called for each entry that leaves the queue to run.
  void recordStart() { Started += 1; }

  /// Must be called about every 10 ms.
  void tick(const ClassWaits &OldestWaits);

  AdmissionLevel level() const {
    return AdmissionLevel::fromIndex(static_cast<std::uint32_t>(Position));
  }

private:
  void finishInterval();
  void tighten(base::PriorityClass Delayed);
  void loosen();
  /// Index of the level that refuses `Share` of the requests that the current
  /// level admits.
  std::uint32_t indexAfterRemoving(double Share) const;

  const base::Clock &Clock;
  const AdmissionSettings Settings;
  /// Index of the level, fractional to allow steps smaller than one index.
  double Position = kLevelCount - 1;
  /// Highest position at which the last overload would not have occurred.
  double SustainablePosition = kLevelCount - 1;
  /// Increase of `Position` in the next interval beyond the sustainable level.
  double Step;
  /// Decaying request counts by the index of the strictest level that admits
  /// them.
  std::array<double, kLevelCount> Offered{};
  /// Decaying counts of admitted requests and of entries that started to run.
  double Admitted = 0;
  double Started = 0;
  /// Minimum over this interval of the longest wait in each class.
  ClassWaits ShortestWaits{};
  int IntervalsSinceTightening = 0;
  /// Sum over the ticks of this interval of the longest wait in any class.
  base::Duration WaitSum{};
  int Ticks = 0;
  base::BootTime IntervalStart;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ADMISSIONCONTROLLER_H
