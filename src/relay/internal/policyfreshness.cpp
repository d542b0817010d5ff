#include "relay/policyfreshness.h"

#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Longer than a daemon that reaches the store takes to read what another one
/// has read: a failed read and its retry.
constexpr base::Duration kCatchUpTime = 1s;
/// Longer than any single read of the stream takes. One that ends later than
/// this after a report was sent after it.
constexpr base::Duration kMaxReadTime = 3s;

} // namespace

void PolicyFreshness::onAdopted(config::PolicyVersion Version) {
  Current = Version;
  AdoptedAt = Clock.now();
  Rejected.reset();
}

void PolicyFreshness::onRejected(std::optional<config::PolicyVersion> Version) {
  if (!Version || (Current && *Version <= *Current))
    return;
  Rejected = Version;
  RejectedBefore = false;
}

void PolicyFreshness::onHistoryReplaced() {
  HistoryUnread = true;
  RejectedBefore = Rejected.has_value();
}

void PolicyFreshness::onPositions(const base::StreamPosition &Own,
                                  const base::StreamPosition &Known) {
  // A position in a history of which nothing has been read proves nothing.
  if (HistoryUnread || (Missing && Own < *Missing))
    return;
  Missing.reset();
  if (Own < Known && (!Refuted || *Refuted < Known)) {
    Missing = Known;
    MissingSince = Clock.now();
  }
}

void PolicyFreshness::onReadToEnd(const base::StreamPosition &Own) {
  if (std::exchange(HistoryUnread, false) &&
      std::exchange(RejectedBefore, false))
    Rejected.reset();
  if (!Missing || Own >= *Missing || behindFor() < kMaxReadTime)
    return;
  Refuted = Missing;
  Missing.reset();
}

bool PolicyFreshness::isOutdated() const {
  return Rejected || behindFor() > kCatchUpTime;
}

base::Duration PolicyFreshness::age() const {
  return Current ? Clock.now() - AdoptedAt : base::Duration::zero();
}

base::Duration PolicyFreshness::behindFor() const {
  return Missing ? Clock.now() - MissingSince : base::Duration::zero();
}

} // namespace relay
