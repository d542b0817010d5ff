#ifndef JACKDAW_EXECUTION_MEMORYBUDGET_H
#define JACKDAW_EXECUTION_MEMORYBUDGET_H

#include <cstddef>

namespace execution {

/// Memory that all idempotency tables of a daemon share. Responses may take at
/// most half of it, so that they can't crowd out new records.
class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t Limit) : Limit(Limit) {}

  bool takeForRecord(std::size_t Bytes) { return take(Bytes, Limit); }

  bool takeForResponse(std::size_t Bytes) {
    if (ResponseBytes + Bytes > Limit / 2 || !take(Bytes, Limit))
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
  bool take(std::size_t Bytes, std::size_t Bound) {
    if (Used + Bytes > Bound)
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
