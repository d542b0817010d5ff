#ifndef JACKDAW_RETRY_RETRYALLOWANCE_H
#define JACKDAW_RETRY_RETRYALLOWANCE_H

#include <cstdint>

namespace retry {

/// Retries that the root of a request allows for everything below it.
inline constexpr std::uint32_t kRootAllowance = 3;

/// The part of an allowance that one child call holds. It can be handed back
/// once only, so that a repeated response can't return it twice.
class AllowanceGrant {
public:
  AllowanceGrant() = default;
  AllowanceGrant(AllowanceGrant &&Other) noexcept : Given(Other.Given) {
    Other.Given = 0;
  }
  AllowanceGrant &operator=(AllowanceGrant &&Other) noexcept {
    Given = Other.Given;
    if (this != &Other)
      Other.Given = 0;
    return *this;
  }

  /// The number to send along with the child call.
  std::uint32_t units() const { return Given; }

private:
  friend class RetryAllowance;
  explicit AllowanceGrant(std::uint32_t Units) : Given(Units) {}

  std::uint32_t Given = 0;
};

/// The retries that are left to one request at one daemon. Units are only
/// moved or used up: the sum over all daemons never exceeds what the root gave
/// out, and a grant whose response is lost counts as used.
class RetryAllowance {
public:
  RetryAllowance() = default;
  explicit RetryAllowance(std::uint32_t Units) : Left(Units) {}

  /// Retries left here, without those that children hold.
  std::uint32_t remaining() const { return Left; }

  /// Takes out half of what is left, rounded up, for a child call.
  [[nodiscard]] AllowanceGrant grant();

  /// Takes back what the child reports as unused; more than it was given is
  /// ignored.
  void reclaim(AllowanceGrant Grant, std::uint32_t Unused);

  /// Uses one unit for a retry. False if none is left.
  [[nodiscard]] bool consume();

  /// Ends the allowance and returns what is left, to be reported with the
  /// response. Units that children give back later are lost.
  std::uint32_t close();

private:
  std::uint32_t Left = 0;
  bool Closed = false;
};

} // namespace retry

#endif // JACKDAW_RETRY_RETRYALLOWANCE_H
