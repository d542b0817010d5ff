#ifndef JACKDAW_BENCH_CAPACITY_MEASURE_H
#define JACKDAW_BENCH_CAPACITY_MEASURE_H

#include <cstddef>
#include <string>

namespace capacity {

/// Processor time of this process so far, in microseconds.
double processorMicros();

/// Bytes that the process holds on the heap.
std::size_t heapBytes();

/// Prints one row of the table: the part, its size, the quantity with its
/// unit, and the value.
void printRow(const std::string &Part, const std::string &Size,
              const std::string &Quantity, double Value);

/// Processor time of `Count` calls of `Run`, per call in microseconds.
template <typename Function>
double microsEach(std::size_t Count, Function &&Run) {
  const double Start = processorMicros();
  for (std::size_t Index = 0; Index < Count; ++Index)
    Run(Index);
  return (processorMicros() - Start) / static_cast<double>(Count);
}

/// Measures one module each and prints its rows.
void measureMembership();
void measureOwnership();
void measureRateLimits();
void measureExecutions();
void measureIdempotency();
void measureConfiguration();

} // namespace capacity

#endif // JACKDAW_BENCH_CAPACITY_MEASURE_H
