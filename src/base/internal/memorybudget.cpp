#include "base/memorybudget.h"

#include <utility>

namespace base {

namespace {

/// Large holdings leave the maximum divided by this to small ones.
constexpr std::size_t kReservedDivisor = 4;

} // namespace

MemoryBudget::MemoryBudget(std::size_t MaxBytes)
    : MaxBytes(MaxBytes),
      MaxBytesForLarge(MaxBytes - MaxBytes / kReservedDivisor) {}

bool MemoryBudget::tryAdd(std::size_t Bytes, std::size_t Limit) {
  std::size_t Used = UsedBytes.load(std::memory_order_relaxed);
  do {
    if (Used > Limit || Bytes > Limit - Used)
      return false;
  } while (!UsedBytes.compare_exchange_weak(Used, Used + Bytes,
                                            std::memory_order_relaxed));
  return true;
}

void MemoryBudget::add(std::size_t Bytes) {
  UsedBytes.fetch_add(Bytes, std::memory_order_relaxed);
}

void MemoryBudget::subtract(std::size_t Bytes) {
  UsedBytes.fetch_sub(Bytes, std::memory_order_relaxed);
}

MemoryReservation::MemoryReservation(MemoryReservation &&Other) noexcept
    : Budget(Other.Budget), Bytes(std::exchange(Other.Bytes, 0)) {}

MemoryReservation &
MemoryReservation::operator=(MemoryReservation &&Other) noexcept {
  if (this != &Other) {
    release();
    Budget = Other.Budget;
    Bytes = std::exchange(Other.Bytes, 0);
  }
  return *this;
}

bool MemoryReservation::tryResize(std::size_t NewBytes) {
  if (Budget != nullptr && NewBytes > Bytes) {
    const std::size_t Limit = NewBytes > MemoryBudget::kSmallHoldingBytes
                                  ? Budget->maxBytesForLarge()
                                  : Budget->maxBytes();
    if (!Budget->tryAdd(NewBytes - Bytes, Limit))
      return false;
    Bytes = NewBytes;
    return true;
  }
  resize(NewBytes);
  return true;
}

void MemoryReservation::resize(std::size_t NewBytes) {
  if (Budget != nullptr && NewBytes > Bytes)
    Budget->add(NewBytes - Bytes);
  else if (Budget != nullptr)
    Budget->subtract(Bytes - NewBytes);
  Bytes = NewBytes;
}

} // namespace base
