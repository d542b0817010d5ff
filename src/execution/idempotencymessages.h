#ifndef JACKDAW_EXECUTION_IDEMPOTENCYMESSAGES_H
#define JACKDAW_EXECUTION_IDEMPOTENCYMESSAGES_H

#include "base/ids.h"
#include "execution/idempotencykey.h"
#include "execution/types.h"

#include <array>
#include <string_view>

namespace execution {

/// Identifies one request with an idempotency key. The same key in another
/// workspace or service identifies another request.
struct RequestKey {
  base::ServiceName Service;
  base::WorkspaceName Workspace;
  IdempotencyKey Key;

  friend bool operator==(const RequestKey &, const RequestKey &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Service, Workspace, Key);
  }
};

/// BLAKE2b digest of the parts of a request that must be equal for two requests
/// to count as the same.
struct RequestDigest {
  std::array<std::uint8_t, 32> Bytes{};

  friend bool operator==(const RequestDigest &,
                         const RequestDigest &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    for (std::uint8_t &Byte : Bytes)
      Ar(Byte);
  }
};

/// Returns the digest of a request's method, target (path and query, without
/// keys) and body.
RequestDigest digestRequest(std::string_view Method, std::string_view Target,
                            std::string_view Body);

/// Identifies one attempt: one request of a caller as received by one entry
/// daemon. All calls to the next hop for it, including retries, belong to the
/// same attempt; in the retry module, each of these calls is an attempt.
using AttemptId = base::RandomId<struct AttemptTag>;

/// Asks the shard owner whether an attempt may run. May be sent again if no
/// reply arrives, but only until the outcome of the attempt is reported.
struct IdempotencyBegin {
  RequestKey Request;
  RequestDigest Digest;
  AttemptId Attempt;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Request, Digest, Attempt);
  }
};

/// The shard owner's decision about an attempt.
enum class IdempotencyDecision : std::uint8_t {
  /// The attempt may run; it is recorded as in progress.
  Run,
  /// Another attempt is in progress (`idempotency_in_progress`).
  InProgress,
  /// An earlier attempt ran; the reply contains its response.
  Finished,
  /// An earlier attempt ran; its response is not stored (`answer_not_held`).
  ResponseNotStored,
  /// An earlier attempt may have run (`outcome_unknown`).
  OutcomeUnknown,
  /// The shard owner can't determine whether an earlier attempt ran
  /// (`outcome_unknown`).
  Indeterminate,
  /// The key was used for a different request (`request_malformed`, not run).
  OtherRequest,
  /// The key has no record, and there is no memory for a new one (`overloaded`,
  /// not run).
  Full,
  /// The attempt was already reported as not run; this `IdempotencyBegin` is a
  /// late copy. The attempt must not run.
  AttemptOver,
};

/// Reply to an `IdempotencyBegin`.
struct IdempotencyReply {
  AttemptId Attempt;
  IdempotencyDecision Decision = IdempotencyDecision::Indeterminate;
  /// Set if the decision is `Finished`.
  std::optional<Response> StoredResponse;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Attempt, Decision, StoredResponse);
  }
};

/// Reports the outcome of an attempt. After reporting `NotRun` the entry daemon
/// never runs the attempt, even if a late reply contains the decision `Run`.
struct IdempotencyFinish {
  RequestKey Request;
  AttemptId Attempt;
  base::Outcome Outcome = base::Outcome::Unknown;
  /// Set if the outcome is `Ran`, unless the response is too large to store.
  std::optional<Response> ResponseToStore;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Request, Attempt, Outcome, ResponseToStore);
  }
};

/// Acknowledges an `IdempotencyFinish` that the shard owner has applied.
struct IdempotencyAck {
  AttemptId Attempt;

  template <class Archive> void serialize(Archive &Ar) { Ar(Attempt); }
};

} // namespace execution

#endif // JACKDAW_EXECUTION_IDEMPOTENCYMESSAGES_H
