#ifndef JACKDAW_PLATFORMLOG_TESTS_ALLOCATIONS_H
#define JACKDAW_PLATFORMLOG_TESTS_ALLOCATIONS_H

#include <cstddef>

/// Total bytes that the test process has allocated through `operator new`.
std::size_t allocatedBytes();

#endif // JACKDAW_PLATFORMLOG_TESTS_ALLOCATIONS_H
