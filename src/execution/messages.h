#ifndef JACKDAW_EXECUTION_MESSAGES_H
#define JACKDAW_EXECUTION_MESSAGES_H

#include "base/ids.h"
#include "execution/types.h"

namespace execution {

/// Properties that a request has at every hop below the root.
struct RequestScope {
  base::RootId Root;
  base::WorkspaceName Workspace;
  base::PriorityClass Priority = base::PriorityClass::Normal;
  /// Seven-bit value that each hop compares with its admission level.
  std::uint8_t AdmissionRank = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Root, Workspace, Priority, AdmissionRank);
  }
};

/// Identifies one call, its sending process and the only process that may run
/// it.
struct CallIdentity {
  base::CallId Id;
  base::ProcessId Sender;
  CallSequence Sequence;
  /// Process that may run the call. Another incarnation of it discards the
  /// call, since it can't determine whether its predecessor has run it.
  base::ProcessId Target;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Sender, Sequence, Target);
  }
};

/// Context of a call between two daemons. The transport adds the HTTP request.
struct CallContext {
  CallIdentity Identity;
  RequestScope Scope;
  base::ServiceName Service;
  /// Time from sending the call to its deadline, in microseconds. Relative,
  /// because the daemons' clocks differ.
  std::uint64_t TimeLeftMicros = 0;
  /// Retries that the call and the calls below it may make.
  std::uint32_t RetryAllowance = 0;
  /// Number of calls above this one in the call chain: 0 for a caller's own
  /// request, 1 for an inner call made for it.
  std::uint16_t Depth = 0;
  bool Idempotent = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Identity, Scope, Service, TimeLeftMicros, RetryAllowance, Depth,
       Idempotent);
  }
};

/// Asks the target of a call for its state, and prevents the call from running
/// if it has not started.
struct Fence {
  CallIdentity Identity;
  /// The sender no longer needs the response: a running call must be cancelled
  /// at the backend server.
  bool Cancel = false;

  template <class Archive> void serialize(Archive &Ar) { Ar(Identity, Cancel); }
};

/// State of a call as reported by its target.
enum class FenceState : std::uint8_t {
  /// The call has not run and will never run.
  NotRun,
  /// The call is running; its response follows.
  Running,
  /// The call has finished; the reply contains its response.
  Finished,
  /// The call has run, but its response is not stored any more.
  ResponseNotStored,
  /// The target can't determine whether the call ran.
  Indeterminate,
};

/// Reply to a `Fence`.
struct FenceReply {
  base::CallId Id;
  FenceState State = FenceState::Indeterminate;
  /// Set if the state is `Finished`.
  std::optional<Response> StoredResponse;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, State, StoredResponse);
  }
};

} // namespace execution

#endif // JACKDAW_EXECUTION_MESSAGES_H
