#ifndef JACKDAW_BASE_HASH_H
#define JACKDAW_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace base {

/// SipHash of `Text` under a fixed key. Placement decisions depend on it, so
/// the value is the same in every process and version. The key is part of the
/// source, so the hash protects no secrets.
std::uint64_t stableHash(std::string_view Text);

/// Combines two hashes into one; the order matters.
std::uint64_t combineHashes(std::uint64_t First, std::uint64_t Second);

} // namespace base

#endif // JACKDAW_BASE_HASH_H
