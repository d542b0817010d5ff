#ifndef JACKDAW_NODE_MESSAGES_H
#define JACKDAW_NODE_MESSAGES_H

#include "base/codec.h"
#include "execution/messages.h"
#include "http/message.h"
#include "overload/admissionlevel.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace node {

/// Types of the frames between daemons. The values go over the wire.
enum class MessageType : std::uint8_t {
  Call = 1,
  CallResponse,
  Fence,
  FenceReply,
  FetchRecords,
  FetchedRecords,
  PermitRequest,
  PermitGrant,
  IdempotencyBegin,
  IdempotencyReply,
  IdempotencyFinish,
  IdempotencyAck,
  SuccessorPing,
  SuccessorAck,
};

/// A call from an entry daemon to a serving daemon.
struct CallMessage {
  execution::CallContext Context;
  /// Path prefix of the route, which identifies it within its service.
  overload::RouteName Route;
  /// Time spent in queues at earlier hops, in microseconds.
  std::uint64_t PriorWaitMicros = 0;
  http::Request Request;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Context, Route, PriorWaitMicros, Request);
  }
};

/// Load of a serving daemon, sent along with each response.
struct LoadReport {
  overload::AdmissionLevel Level;
  /// Number of calls queued or running.
  std::uint32_t Load = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Level, Load); }
};

/// Response of a serving daemon to a `CallMessage`.
struct CallResponseMessage {
  base::CallId Id;
  execution::Response Response;
  LoadReport Report;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Response, Report);
  }
};

/// Requests log records from an offset on from a peer.
struct FetchRecords {
  base::LogOffset From;

  template <class Archive> void serialize(Archive &Ar) { Ar(From); }
};

/// A log record in `FetchedRecords`.
struct FetchedRecord {
  base::LogOffset Offset;
  std::string Bytes;

  template <class Archive> void serialize(Archive &Ar) { Ar(Offset, Bytes); }
};

/// Reply to `FetchRecords`: records in offset order without gaps, or a snapshot
/// if the peer no longer retains the first of them.
struct FetchedRecords {
  std::string Snapshot;
  std::vector<FetchedRecord> Records;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Snapshot, Records);
  }
};

} // namespace node

#endif // JACKDAW_NODE_MESSAGES_H
