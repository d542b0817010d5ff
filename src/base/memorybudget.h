#ifndef JACKDAW_BASE_MEMORYBUDGET_H
#define JACKDAW_BASE_MEMORYBUDGET_H

#include <atomic>
#include <cstddef>

namespace base {

/// Bytes that a process holds for others, such as bodies, against a maximum.
/// Holders charge what they hold through a `MemoryReservation`.
///
/// Holdings beyond `kSmallHoldingBytes` may use only a part of the budget, so
/// that a few large ones leave room for many small ones. Safe to use from any
/// thread.
class MemoryBudget {
public:
  /// A holding of up to this size is small.
  static constexpr std::size_t kSmallHoldingBytes = std::size_t{64} << 10;

  explicit MemoryBudget(std::size_t MaxBytes);
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  std::size_t maxBytes() const { return MaxBytes; }

  /// The total up to which a large holding may grow.
  std::size_t maxBytesForLarge() const { return MaxBytesForLarge; }

  /// The total of all reservations. May exceed the maximum; see
  /// `MemoryReservation::resize`.
  std::size_t usedBytes() const {
    return UsedBytes.load(std::memory_order_relaxed);
  }

  /// Whether more than the maximum is in use.
  bool exceeded() const { return usedBytes() > MaxBytes; }

private:
  friend class MemoryReservation;

  bool tryAdd(std::size_t Bytes, std::size_t Limit);
  void add(std::size_t Bytes);
  void subtract(std::size_t Bytes);

  const std::size_t MaxBytes;
  const std::size_t MaxBytesForLarge;
  std::atomic<std::size_t> UsedBytes = 0;
};

/// The share of one holder in a `MemoryBudget`, which must outlive it. Released
/// with the object. One without a budget is never refused.
class MemoryReservation {
public:
  MemoryReservation() = default;
  explicit MemoryReservation(MemoryBudget *Budget) : Budget(Budget) {}
  MemoryReservation(MemoryReservation &&Other) noexcept;
  MemoryReservation &operator=(MemoryReservation &&Other) noexcept;
  ~MemoryReservation() { release(); }

  std::size_t bytes() const { return Bytes; }

  /// Changes the size. Returns false, and changes nothing, if that would bring
  /// the total over the maximum, or over that for large holdings if this one
  /// would be large. A reservation can always shrink.
  bool tryResize(std::size_t NewBytes);

  /// Changes the size whatever the total, for memory that must be held, such as
  /// the response to a request that has run.
  void resize(std::size_t NewBytes);

  void release() { resize(0); }

private:
  MemoryBudget *Budget = nullptr;
  std::size_t Bytes = 0;
};

} // namespace base

#endif // JACKDAW_BASE_MEMORYBUDGET_H
