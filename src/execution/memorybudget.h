#ifndef JACKDAW_EXECUTION_MEMORYBUDGET_H
#define JACKDAW_EXECUTION_MEMORYBUDGET_H

#include <cstddef>

namespace execution {

/// Memory budget, in bytes, that all idempotency tables of a daemon share.
/// Responses may use at most half of it, so that they leave room for new
/// records.
class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t Limit) : Limit(Limit) {}

  /// Reserves memory for a record. Returns false if the budget is exhausted.
  bool reserveRecord(std::size_t Bytes) { return reserve(Bytes, Limit); }

  /// Reserves memory for a response. Returns false if the budget or the
  /// responses' half of it is exhausted.
  bool reserveResponse(std::size_t Bytes) {
    if (ResponseBytes + Bytes > Limit / 2 || !reserve(Bytes, Limit))
      return false;
    ResponseBytes += Bytes;
    return true;
  }

  void releaseRecord(std::size_t Bytes) { Used -= Bytes; }

  void releaseResponse(std::size_t Bytes) {
    Used -= Bytes;
    ResponseBytes -= Bytes;
  }

  std::size_t used() const { return Used; }

private:
  bool reserve(std::size_t Bytes, std::size_t Capacity) {
    if (Used + Bytes > Capacity)
      return false;
    Used += Bytes;
    return true;
  }

  const std::size_t Limit;
  std::size_t Used = 0;
  std::size_t ResponseBytes = 0;
};

} // namespace execution

#endif // JACKDAW_EXECUTION_MEMORYBUDGET_H
