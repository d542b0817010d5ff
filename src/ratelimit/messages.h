#ifndef JACKDAW_RATELIMIT_MESSAGES_H
#define JACKDAW_RATELIMIT_MESSAGES_H

#include "ratelimit/types.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <vector>

namespace ratelimit {

/// Requests permits of one slice.
struct SliceRequest {
  LimitId Limit;
  std::uint16_t Slice = 0;
  /// Number of permits that waiting calls need.
  std::uint16_t Required = 0;
  /// Number of further permits, for expected calls.
  std::uint16_t Prefetch = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Limit, Slice, Required, Prefetch);
  }
};

/// Reports the use of a grant. The counts are totals since the grant, so that
/// repeated and reordered reports have no effect.
struct PermitReport {
  LimitId Limit;
  std::uint16_t Slice = 0;
  base::LogOffset Term;
  std::uint32_t GrantId = 0;
  std::uint16_t Used = 0;
  std::uint16_t Returned = 0;
  /// Time from the latest use to the creation of this report, in microseconds.
  std::uint32_t LastUseAgeMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Limit, Slice, Term, GrantId, Used, Returned, LastUseAgeMicros);
  }
};

/// Sent by an entry daemon to a shard owner; covers several limits.
struct PermitRequest {
  base::ProcessId From;
  ownership::ShardId Shard;
  std::uint64_t Sequence = 0;
  std::vector<SliceRequest> SliceRequests;
  std::vector<PermitReport> Reports;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, Shard, Sequence, SliceRequests, Reports);
  }
};

/// Grant in response to one `SliceRequest`.
struct SliceGrant {
  LimitId Limit;
  std::uint16_t Slice = 0;
  std::uint32_t GrantId = 0;
  std::uint16_t Granted = 0;
  /// Level that the slice has left, in hundredths of a permit. The fraction
  /// lets pools estimate when a small slice has its next permit.
  std::uint32_t LevelHundredths = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Limit, Slice, GrantId, Granted, LevelHundredths);
  }
};

/// Sent by a shard owner to an entry daemon.
struct PermitGrant {
  base::ProcessId To;
  ownership::ShardId Shard;
  /// Term of the grantor's tenure; reports on the grant repeat it.
  base::LogOffset Term;
  /// Sequence number of the request.
  std::uint64_t Sequence = 0;
  std::vector<SliceGrant> SliceGrants;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(To, Shard, Term, Sequence, SliceGrants);
  }
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_MESSAGES_H
