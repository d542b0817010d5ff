#include "base/errors.h"

#include <algorithm>
#include <array>

namespace base {

namespace {

using enum Outcome;

constexpr std::array kErrorResponses{
    ErrorAnswer{ErrorKind::KeyMissing, "key_missing", 401, NotRun, false,
                "the request carries no key"},
    ErrorAnswer{ErrorKind::KeyUnknown, "key_unknown", 403, NotRun, false,
                "the key is not granted for this service"},
    ErrorAnswer{ErrorKind::KeyUnverified, "key_unverified", 503, NotRun, true,
                "it can't be checked now whether the key has been revoked"},
    ErrorAnswer{ErrorKind::RouteUnknown, "route_unknown", 404, NotRun, false,
                "no service or route matches the path"},
    ErrorAnswer{ErrorKind::RequestMalformed, "request_malformed", 400, NotRun,
                false, "the request is malformed"},
    ErrorAnswer{ErrorKind::BodyTooLarge, "body_too_large", 413, NotRun, false,
                "the request body exceeds the limit"},
    ErrorAnswer{ErrorKind::RateExceeded, "rate_exceeded", 429, NotRun, true,
                "the workspace has used up its rate and burst"},
    ErrorAnswer{ErrorKind::LimitUnavailable, "limit_unavailable", 503, NotRun,
                true, "the workspace's rate limit can't be checked now"},
    ErrorAnswer{ErrorKind::Overloaded, "overloaded", 503, NotRun, true,
                "the service is overloaded"},
    ErrorAnswer{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, Unknown,
                true, "the deadline passed before an answer arrived"},
    ErrorAnswer{ErrorKind::NoUpstream, "no_upstream", 503, NotRun, true,
                "no backend server of the service can be reached"},
    ErrorAnswer{ErrorKind::Draining, "draining", 503, NotRun, true,
                "the daemon is draining"},
    ErrorAnswer{ErrorKind::IdempotencyKeyInvalid, "idempotency_key_invalid",
                400, NotRun, false, "the idempotency key is not a UUIDv7"},
    ErrorAnswer{ErrorKind::IdempotencyInProgress, "idempotency_in_progress",
                409, Unknown, true,
                "a request with this idempotency key is in progress"},
    ErrorAnswer{ErrorKind::AnswerNotHeld, "answer_not_held", 409, Ran, false,
                "the request has run already; its answer is no longer held"},
    ErrorAnswer{ErrorKind::HandleUnknown, "handle_unknown", 403, NotRun, false,
                "the handle belongs to no request in flight"},
    ErrorAnswer{ErrorKind::OutcomeUnknown, "outcome_unknown", 502, Unknown,
                false, "it is unknown whether the request has run"},
    ErrorAnswer{ErrorKind::Cancelled, "cancelled", 499, Unknown, false,
                "the caller cancelled the request"},
    ErrorAnswer{ErrorKind::Internal, "internal", 500, Unknown, false,
                "internal error"},
};

} // namespace

const ErrorAnswer &answerFor(ErrorKind Kind) {
  const auto *Row = std::find_if(
      kErrorResponses.begin(), kErrorResponses.end(),
      [Kind](const ErrorAnswer &Each) { return Each.Kind == Kind; });
  return Row != kErrorResponses.end() ? *Row : kErrorResponses.back();
}

std::optional<ErrorKind> errorKindFromName(std::string_view Name) {
  const auto *Row = std::find_if(
      kErrorResponses.begin(), kErrorResponses.end(),
      [Name](const ErrorAnswer &Each) { return Each.Name == Name; });
  if (Row == kErrorResponses.end())
    return std::nullopt;
  return Row->Kind;
}

std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Ran:
    return "ran";
  }
  return "unknown";
}

} // namespace base
