#include "measure.h"

#include <malloc.h>

#include <cstdio>
#include <ctime>

namespace capacity {

double processorMicros() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e6 +
         static_cast<double>(Now.tv_nsec) / 1e3;
}

std::size_t heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

void printRow(const std::string &Part, const std::string &Size,
              const std::string &Quantity, double Value) {
  std::printf("%-14s %-30s %-42s %14.3f\n", Part.c_str(), Size.c_str(),
              Quantity.c_str(), Value);
  std::fflush(stdout);
}

} // namespace capacity
