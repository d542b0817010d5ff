#ifndef JACKDAW_EXECUTION_IDEMPOTENCYMESSAGES_H
#define JACKDAW_EXECUTION_IDEMPOTENCYMESSAGES_H

#include "base/ids.h"
#include "execution/idempotencykey.h"
#include "execution/types.h"

#include <array>
#include <string_view>

namespace execution {

/// Names one keyed request. Keys of different workspaces or services never
/// meet.
struct RequestKey {
  base::ServiceName Service;
  base::WorkspaceName Workspace;
  IdempotencyKey Key;

  friend bool operator==(const RequestKey &, const RequestKey &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Service, Workspace, Key);
  }
};

/// BLAKE2b over everything that makes two requests the same.
struct RequestDigest {
  std::array<std::uint8_t, 32> Bytes{};

  friend bool operator==(const RequestDigest &,
                         const RequestDigest &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    for (std::uint8_t &Byte : Bytes)
      Ar(Byte);
  }
};

/// Digest of a request's method, target (path and query, without keys) and
/// body.
RequestDigest digestRequest(std::string_view Method, std::string_view Target,
                            std::string_view Body);

/// One caller's request at one entry daemon. All its calls to the next hop,
/// retries included, belong to the same attempt.
using AttemptId = base::RandomId<struct AttemptTag>;

/// Asks the owner whether an attempt may run. May be sent again if the reply
/// is lost, but only while the attempt has not been reported.
struct IdempotencyBegin {
  RequestKey Request;
  RequestDigest Digest;
  AttemptId Attempt;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Request, Digest, Attempt);
  }
};

enum class IdempotencyDecision : std::uint8_t {
  /// The attempt may run; it is recorded as in progress.
  Run,
  /// Another attempt is in progress (`idempotency_in_progress`).
  InProgress,
  /// An earlier attempt ran; the reply carries its response.
  Finished,
  /// An earlier attempt ran; its response is not held (`answer_not_held`).
  ResponseNotHeld,
  /// An earlier attempt may have run (`outcome_unknown`).
  OutcomeUnknown,
  /// The owner can't know whether an earlier attempt ran (`outcome_unknown`).
  Indeterminate,
  /// The key was used for another request (`request_malformed`, not run).
  OtherRequest,
  /// No memory is left for a record, and no attempt is known (`overloaded`,
  /// not run).
  Full,
  /// The attempt has been reported as not run already; a late copy of the
  /// `IdempotencyBegin` was received. The attempt must not run.
  AttemptOver,
};

struct IdempotencyReply {
  AttemptId Attempt;
  IdempotencyDecision Decision = IdempotencyDecision::Indeterminate;
  /// Set if the verdict is `Finished`.
  std::optional<Response> StoredResponse;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Attempt, Decision, StoredResponse);
  }
};

/// Reports the end of an attempt. After reporting `NotRun` the entry daemon
/// never runs the attempt, even if a late reply says `Run`.
struct IdempotencyFinish {
  RequestKey Request;
  AttemptId Attempt;
  base::Outcome Outcome = base::Outcome::Unknown;
  /// Set if the outcome is `Ran`, unless the response is too large to keep.
  std::optional<Response> ResponseToStore;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Request, Attempt, Outcome, ResponseToStore);
  }
};

/// Confirms that the owner has taken in an `IdempotencyFinish`.
struct IdempotencyAck {
  AttemptId Attempt;

  template <class Archive> void serialize(Archive &Ar) { Ar(Attempt); }
};

} // namespace execution

#endif // JACKDAW_EXECUTION_IDEMPOTENCYMESSAGES_H
