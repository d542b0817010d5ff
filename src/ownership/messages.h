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

/// Sent by an owner to its successor, to confirm that the successor has not
/// taken over.
struct SuccessorPing {
  base::ProcessId From;
  base::ProcessId To;
  /// Sequence number of the ping, counted by its sender.
  std::uint64_t Sequence = 0;
  std::vector<ShardVersion> Shards;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, To, Sequence, Shards);
  }
};

/// Reply to `SuccessorPing`: the successor has not decided to take over these
/// shards, and will own them no earlier than `kTakeoverDelay` after this reply.
struct SuccessorAck {
  base::ProcessId From;
  base::ProcessId To;
  /// Sequence number of the acknowledged ping.
  std::uint64_t Sequence = 0;
  std::vector<ShardVersion> Shards;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, To, Sequence, Shards);
  }
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_MESSAGES_H
