#ifndef JACKDAW_OWNERSHIP_MESSAGES_H
#define JACKDAW_OWNERSHIP_MESSAGES_H

#include "ownership/types.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace ownership {

/// A shard and the offset of the last accepted record about it.
struct ShardVersion {
  ShardId Shard;
  base::LogOffset Version;

  template <class Archive> void serialize(Archive &Ar) { Ar(Shard, Version); }
};

/// An owner asks its successor to confirm that it has not taken over.
struct SuccessorPing {
  base::ProcessId From;
  base::ProcessId To;
  /// Number of the ping in the order of its sender.
  std::uint64_t Sequence = 0;
  std::vector<ShardVersion> Shards;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, To, Sequence, Shards);
  }
};

/// A successor confirms that it has not decided to take over these shards. It
/// takes over no earlier than `kTakeoverDelay` after this.
struct SuccessorAck {
  base::ProcessId From;
  base::ProcessId To;
  /// Sequence of the ping that is answered.
  std::uint64_t Sequence = 0;
  std::vector<ShardVersion> Shards;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, To, Sequence, Shards);
  }
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_MESSAGES_H
