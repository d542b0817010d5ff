#ifndef JACKDAW_EXECUTION_MESSAGES_H
#define JACKDAW_EXECUTION_MESSAGES_H

#include "base/ids.h"
#include "execution/types.h"

namespace execution {

/// What stays the same for a whole request at every hop below the root.
struct RequestScope {
  base::RootId Root;
  base::WorkspaceName Workspace;
  base::PriorityClass Priority = base::PriorityClass::Normal;
  /// Seven-bit value that all hops compare with their admission level.
  std::uint8_t AdmissionValue = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Root, Workspace, Priority, AdmissionValue);
  }
};

/// Names one call: which process sent it as which of its calls, and which
/// process may run it.
struct CallIdentity {
  base::RequestId Id;
  base::ProcessId Sender;
  CallSequence Sequence;
  /// Process that the call is meant for. Another incarnation discards it,
  /// since it can't know whether its predecessor has run it.
  base::ProcessId Target;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Sender, Sequence, Target);
  }
};

/// Context of a call between two daemons; the transport adds the HTTP request.
struct CallContext {
  CallIdentity Identity;
  RequestScope Scope;
  base::ServiceName Service;
  /// Time from the sending of the call to its deadline, in microseconds. It is
  /// relative because the daemons' clocks differ.
  std::uint64_t TimeLeftMicros = 0;
  std::uint32_t RetryAllowance = 0;
  /// Number of calls from the root to here; 1 for the root's own call.
  std::uint16_t Depth = 0;
  bool Idempotent = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Identity, Scope, Service, TimeLeftMicros, RetryAllowance, Depth,
       Idempotent);
  }
};

/// Asks the target of a call what became of it, and keeps the call from
/// running if it has not started.
struct Fence {
  CallIdentity Identity;
  /// The sender no longer needs the response, so a running call is to be
  /// cancelled at the backend server.
  bool Cancel = false;

  template <class Archive> void serialize(Archive &Ar) { Ar(Identity, Cancel); }
};

/// What a fence found.
enum class FenceState : std::uint8_t {
  /// The call has not run and never will.
  NotRun,
  /// The call is running; its response follows.
  Running,
  /// The call has finished with the response of the reply.
  Finished,
  /// The call has run, but its response is no longer held.
  ResponseNotHeld,
  /// The process does not know what became of the call.
  Indeterminate,
};

struct FenceReply {
  base::RequestId Id;
  FenceState State = FenceState::Indeterminate;
  /// Set if the state is `Finished`.
  std::optional<Response> StoredResponse;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, State, StoredResponse);
  }
};

} // namespace execution

#endif // JACKDAW_EXECUTION_MESSAGES_H
