#ifndef JACKDAW_RATELIMIT_MESSAGES_H
#define JACKDAW_RATELIMIT_MESSAGES_H

#include "ratelimit/types.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <vector>

namespace ratelimit {

/// Asks for permits of one slice.
struct SliceRequest {
  LimitId Limit;
  std::uint16_t Slice = 0;
  /// Permits that a request is waiting for.
  std::uint16_t Need = 0;
  /// Further permits for expected requests.
  std::uint16_t Want = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Limit, Slice, Need, Want);
  }
};

/// Tells what became of a grant so far. Counts are totals of the grant, so
/// repeated and reordered reports do no harm.
struct PermitReport {
  LimitId Limit;
  std::uint16_t Slice = 0;
  base::LogOffset Term;
  std::uint32_t GrantId = 0;
  std::uint16_t Used = 0;
  std::uint16_t Returned = 0;
  /// Time from the latest use to the making of this report.
  std::uint32_t LastUseAgeMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Limit, Slice, Term, GrantId, Used, Returned, LastUseAgeMicros);
  }
};

/// From an entry daemon to the owner of a shard; covers several limits.
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

/// Answer to one ask.
struct SliceGrant {
  LimitId Limit;
  std::uint16_t Slice = 0;
  std::uint32_t GrantId = 0;
  std::uint16_t Granted = 0;
  /// What the grantor has left, in hundredths of a permit; the fraction lets
  /// pools foresee when a small slice has its next permit.
  std::uint32_t LevelHundredths = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Limit, Slice, GrantId, Granted, LevelHundredths);
  }
};

/// From the owner of a shard to an entry daemon.
struct PermitGrant {
  base::ProcessId To;
  ownership::ShardId Shard;
  /// Tenure of the grantor; reports name it.
  base::LogOffset Term;
  /// Sequence of the request.
  std::uint64_t Sequence = 0;
  std::vector<SliceGrant> SliceGrants;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(To, Shard, Term, Sequence, SliceGrants);
  }
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_MESSAGES_H
