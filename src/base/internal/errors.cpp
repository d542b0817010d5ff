#include "base/errors.h"

#include <algorithm>
#include <array>

namespace base {

namespace {

using enum Outcome;

constexpr std::array kErrorResponses{
    ErrorResponse{ErrorKind::KeyMissing, "key_missing", 401, NotRun, false,
                  "the request carries no key"},
    ErrorResponse{ErrorKind::KeyUnknown, "key_unknown", 403, NotRun, false,
                  "the key is not granted for this service"},
    ErrorResponse{ErrorKind::KeyUnverified, "key_unverified", 503, NotRun, true,
                  "it can't be checked now whether the key has been revoked"},
    ErrorResponse{ErrorKind::RouteUnknown, "route_unknown", 404, NotRun, false,
                  "no service or route matches the path"},
    ErrorResponse{ErrorKind::PolicyOutdated, "policy_outdated", 503, NotRun,
                  true,
                  "the daemon doesn't know the newest routes and keys yet"},
    ErrorResponse{ErrorKind::RequestMalformed, "request_malformed", 400, NotRun,
                  false, "the request is malformed"},
    ErrorResponse{ErrorKind::BodyTooLarge, "body_too_large", 413, NotRun, false,
                  "the request body exceeds the limit"},
    ErrorResponse{ErrorKind::RateExceeded, "rate_exceeded", 429, NotRun, true,
                  "the workspace has used up its rate and burst"},
    ErrorResponse{ErrorKind::LimitUnavailable, "limit_unavailable", 503, NotRun,
                  true, "the workspace's rate limit can't be checked now"},
    ErrorResponse{ErrorKind::Overloaded, "overloaded", 503, NotRun, true,
                  "the service is overloaded"},
    ErrorResponse{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504,
                  Unknown, true,
                  "the deadline passed before an answer arrived"},
    ErrorResponse{ErrorKind::NoUpstream, "no_upstream", 503, NotRun, true,
                  "no backend server of the service can be reached"},
    ErrorResponse{ErrorKind::Draining, "draining", 503, NotRun, true,
                  "the daemon is draining"},
    ErrorResponse{ErrorKind::IdempotencyKeyInvalid, "idempotency_key_invalid",
                  400, NotRun, false, "the idempotency key is not a UUIDv7"},
    ErrorResponse{ErrorKind::IdempotencyInProgress, "idempotency_in_progress",
                  409, Unknown, true,
                  "a request with this idempotency key is in progress"},
    ErrorResponse{ErrorKind::ResponseNotStored, "answer_not_held", 409, Ran,
                  false,
                  "the request has run already; its answer is no longer held"},
    ErrorResponse{ErrorKind::HandleUnknown, "handle_unknown", 403, NotRun,
                  false, "the handle belongs to no request in flight"},
    ErrorResponse{ErrorKind::OutcomeUnknown, "outcome_unknown", 502, Unknown,
                  false, "it is unknown whether the request has run"},
    ErrorResponse{ErrorKind::Cancelled, "cancelled", 499, Unknown, false,
                  "the caller cancelled the request"},
    ErrorResponse{ErrorKind::Internal, "internal", 500, Unknown, false,
                  "internal error"},
};

} // namespace

const ErrorResponse &errorResponseFor(ErrorKind Kind) {
  const auto *Row = std::find_if(
      kErrorResponses.begin(), kErrorResponses.end(),
      [Kind](const ErrorResponse &Each) { return Each.Kind == Kind; });
  return Row != kErrorResponses.end() ? *Row : kErrorResponses.back();
}

std::optional<ErrorKind> errorKindFromName(std::string_view Name) {
  const auto *Row = std::find_if(
      kErrorResponses.begin(), kErrorResponses.end(),
      [Name](const ErrorResponse &Each) { return Each.Name == Name; });
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
