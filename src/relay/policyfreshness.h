#ifndef JACKDAW_RELAY_POLICYFRESHNESS_H
#define JACKDAW_RELAY_POLICYFRESHNESS_H

#include "base/clock.h"
#include "base/types.h"
#include "config/fleetpolicy.h"

#include <optional>

namespace relay {

/// Tracks whether this daemon knows of a newer policy than the one that it
/// applies: another daemon has read the policy stream further, or a newer
/// record could not be read as a policy. Such a daemon can't tell that a route
/// or key doesn't exist.
class PolicyFreshness {
public:
  explicit PolicyFreshness(const base::Clock &Clock) : Clock(Clock) {}

  /// A policy is applied from now on.
  void onAdopted(config::PolicyVersion Version);

  /// A record can't be read as a policy. One that states no version says
  /// nothing about the policy that is in force.
  void onRejected(std::optional<config::PolicyVersion> Version);

  /// A record states the policy in force again, so it is the newest one.
  void onCurrentStated() { Rejected.reset(); }

  /// The store has come back from an older copy, which is read from its
  /// beginning now. What is known of newer records holds until then.
  void onHistoryReplaced();

  /// A read of the policy stream has ended at `Own`, the end of the stream.
  void onReadToEnd(const base::StreamPosition &Own);

  /// Compares this daemon's position in the policy stream with the highest one
  /// that it knows of.
  void onPositions(const base::StreamPosition &Own,
                   const base::StreamPosition &Known);

  /// Time since the current policy was adopted; zero if there is none.
  base::Duration age() const;

  /// Time since which this daemon has known of records that it has not read;
  /// zero if it knows of none.
  base::Duration behindFor() const;

  /// Whether routes and keys that the current policy doesn't have may exist.
  /// Records that another daemon has just read don't count until a read of the
  /// store has had time to complete.
  bool isOutdated() const;

  /// Version of the newest record that could not be read as a policy, if it is
  /// newer than the policy in force.
  std::optional<config::PolicyVersion> rejectedVersion() const {
    return Rejected;
  }

private:
  const base::Clock &Clock;
  std::optional<config::PolicyVersion> Current;
  base::BootTime AdoptedAt;
  std::optional<config::PolicyVersion> Rejected;
  /// The store has come back from an older copy, and its end hasn't been
  /// reached since.
  bool HistoryUnread = false;
  /// `Rejected` is from before that.
  bool RejectedBefore = false;
  /// A position that others have reached and this daemon has not, and since
  /// when that is known.
  std::optional<base::StreamPosition> Missing;
  base::BootTime MissingSince;
  /// A position up to which the store has no records, although it has been
  /// reported: offsets may start anew where a platform states no era.
  std::optional<base::StreamPosition> Refuted;
};

} // namespace relay

#endif // JACKDAW_RELAY_POLICYFRESHNESS_H
