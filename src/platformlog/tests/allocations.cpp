#include "platformlog/tests/allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> TotalBytes{0};

} // namespace

std::size_t allocatedBytes() { return TotalBytes; }

void *operator new(std::size_t Size) {
  TotalBytes += Size;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

void *operator new(std::size_t Size, const std::nothrow_t &) noexcept {
  TotalBytes += Size;
  return std::malloc(Size);
}

void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }
