#ifndef JACKDAW_PLATFORMLOG_TESTS_ALLOCATIONS_H
#define JACKDAW_PLATFORMLOG_TESTS_ALLOCATIONS_H

#include <cstddef>

/// Bytes that the test process has asked for through `operator new`.
std::size_t allocatedBytes();

#endif // JACKDAW_PLATFORMLOG_TESTS_ALLOCATIONS_H
