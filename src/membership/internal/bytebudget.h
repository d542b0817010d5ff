#ifndef JACKDAW_MEMBERSHIP_INTERNAL_BYTEBUDGET_H
#define JACKDAW_MEMBERSHIP_INTERNAL_BYTEBUDGET_H

#include "base/clock.h"

#include <algorithm>

namespace membership {

/// Token bucket, in bytes, for a class of traffic.
class ByteBudget {
public:
  ByteBudget(double BytesPerSecond, double Burst)
      : BytesPerSecond(BytesPerSecond), Burst(Burst), Tokens(Burst) {}

  /// Whether a datagram may be sent now. The last one may overdraw the bucket.
  bool hasTokens(base::BootTime Now) {
    refill(Now);
    return Tokens > 0;
  }
  void consume(std::size_t Bytes) { Tokens -= double(Bytes); }

private:
  void refill(base::BootTime Now) {
    const std::chrono::duration<double> Elapsed = Now - Last;
    Tokens = std::min(Burst, Tokens + Elapsed.count() * BytesPerSecond);
    Last = Now;
  }

  double BytesPerSecond;
  double Burst;
  double Tokens;
  base::BootTime Last;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_BYTEBUDGET_H
