#ifndef JACKDAW_RETRY_RETRYALLOWANCE_H
#define JACKDAW_RETRY_RETRYALLOWANCE_H

#include <cstdint>

namespace retry {

/// Number of retries that the root of a request allows for all calls below it.
inline constexpr std::uint32_t kRootAllowance = 3;

/// Part of an allowance that is granted to one child call. It can be reclaimed
/// only once, so that a duplicate response can't return the units twice.
class AllowanceGrant {
public:
  AllowanceGrant() = default;
  AllowanceGrant(AllowanceGrant &&Other) noexcept
      : GrantedUnits(Other.GrantedUnits) {
    Other.GrantedUnits = 0;
  }
  AllowanceGrant &operator=(AllowanceGrant &&Other) noexcept {
    GrantedUnits = Other.GrantedUnits;
    if (this != &Other)
      Other.GrantedUnits = 0;
    return *this;
  }

  /// Number of retries to send with the child call.
  std::uint32_t units() const { return GrantedUnits; }

private:
  friend class RetryAllowance;
  explicit AllowanceGrant(std::uint32_t Units) : GrantedUnits(Units) {}

  std::uint32_t GrantedUnits = 0;
};

/// Remaining retries of one request at one daemon, counted in units of one
/// retry. Units are only moved or consumed: the sum over all daemons never
/// exceeds the root's allowance, and a grant whose response is lost counts as
/// consumed.
class RetryAllowance {
public:
  RetryAllowance() = default;
  explicit RetryAllowance(std::uint32_t Units) : Remaining(Units) {}

  /// Remaining units, excluding those granted to child calls.
  std::uint32_t remaining() const { return Remaining; }

  /// Moves half of the remaining units, rounded up, to a grant for a child
  /// call.
  [[nodiscard]] AllowanceGrant grant();

  /// Adds the units that the child call reports as unused, at most as many as
  /// it was granted. Has no effect after `close`.
  void reclaim(AllowanceGrant Grant, std::uint32_t Unused);

  /// Consumes one unit for a retry. Returns false if none remains.
  [[nodiscard]] bool consume();

  /// Closes the allowance and returns the remaining units, to be reported with
  /// the response. Units that child calls return later are lost.
  std::uint32_t close();

private:
  std::uint32_t Remaining = 0;
  bool Closed = false;
};

} // namespace retry

#endif // JACKDAW_RETRY_RETRYALLOWANCE_H
