#ifndef JACKDAW_MEMBERSHIP_INTERNAL_LOCALHEALTH_H
#define JACKDAW_MEMBERSHIP_INTERNAL_LOCALHEALTH_H

#include "base/clock.h"

#include <algorithm>

namespace membership {

/// Estimate of this process's own ability to send and receive in time, as in
/// Lifeguard. The higher the score, the longer the process waits for others.
class LocalHealth {
public:
  static constexpr unsigned kWorstScore = 7;

  void improve() { Score -= Score > 0; }
  void worsen() { Score = std::min(Score + 1, kWorstScore); }
  void setWorst() { Score = kWorstScore; }

  unsigned score() const { return Score; }
  base::Duration scale(base::Duration Timeout) const {
    return Timeout * (1 + Score);
  }

private:
  unsigned Score = 0;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_LOCALHEALTH_H
