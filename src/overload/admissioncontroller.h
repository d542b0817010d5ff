#ifndef JACKDAW_OVERLOAD_ADMISSIONCONTROLLER_H
#define JACKDAW_OVERLOAD_ADMISSIONCONTROLLER_H

#include "base/clock.h"
#include "base/types.h"
#include "overload/admissionlevel.h"

#include <array>
#include <cstdint>

namespace overload {

struct AdmissionSettings {
  /// Queueing delay that is acceptable at all times.
  base::Duration Target = std::chrono::milliseconds(20);
  /// A delay above the target for this long raises the level.
  base::Duration Interval = std::chrono::milliseconds(100);
};

/// Computes the admission level of one daemon from the delay in its queue.
///
/// The level is stricter after each interval in which the oldest entry of the
/// queue was over the target all the time. It enters a class only if this class
/// or a higher one was delayed itself, so that a class is not refused while a
/// lower one is served.
class AdmissionController {
public:
  /// Longest current wait per class, from `FairQueue::oldestWaits`.
  using ClassWaits = std::array<base::Duration, base::kPriorityClassCount>;

  AdmissionController(const base::Clock &Time, AdmissionSettings Settings);

  /// Whether a request may enter the queue under this daemon's own level.
  /// Counts the request, so call it once per request.
  bool admit(base::PriorityClass Class, std::uint8_t Value);

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
  /// Index that removes `Share` of the requests that the level admits.
  std::uint32_t indexWithout(double Share) const;

  const base::Clock &Time;
  const AdmissionSettings Settings;
  /// Index of the level with a fraction, so that steps may be small.
  double Position = kLevelCount - 1;
  /// Position at which the last overload would not have occurred.
  double Sustainable = kLevelCount - 1;
  double Step;
  /// Decaying numbers of requests by the index that just admits them.
  std::array<double, kLevelCount> Offered{};
  double Admitted = 0;
  double Started = 0;
  /// Shortest of the oldest waits in this interval.
  ClassWaits ShortestWaits{};
  int IntervalsSinceRaise = 0;
  /// Sum over the ticks of this interval of the longest current wait.
  base::Duration WaitSum{};
  int Ticks = 0;
  base::BootTime IntervalStart;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ADMISSIONCONTROLLER_H
