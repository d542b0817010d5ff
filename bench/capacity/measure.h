#ifndef JACKDAW_BENCH_CAPACITY_MEASURE_H
#define JACKDAW_BENCH_CAPACITY_MEASURE_H

#include <cstddef>
#include <string>

namespace capacity {

/// CPU time that this process has used, in microseconds.
double processorMicros();

/// Bytes that the process has allocated on the heap.
std::size_t heapBytes();

/// Prints one row of the table. `Quantity` names what was measured with its
/// unit.
void printRow(const std::string &Part, const std::string &Size,
              const std::string &Quantity, double Value);

/// Calls `Run` with the indices below `Count`; returns the mean CPU time per
/// call in microseconds.
template <typename Function>
double microsEach(std::size_t Count, Function &&Run) {
  const double Start = processorMicros();
  for (std::size_t Index = 0; Index < Count; ++Index)
    Run(Index);
  return (processorMicros() - Start) / static_cast<double>(Count);
}

/// Each of these measures one module and prints its rows.
void measureMembership();
void measureOwnership();
void measureRateLimits();
void measureExecutions();
void measureIdempotency();
void measureConfiguration();

} // namespace capacity

#endif // JACKDAW_BENCH_CAPACITY_MEASURE_H
