#ifndef JACKDAW_NODE_FLEETSTATE_H
#define JACKDAW_NODE_FLEETSTATE_H

#include "config/configstate.h"
#include "membership/member.h"
#include "node/messages.h"
#include "node/runtime.h"
#include "ownership/ownershipstate.h"
#include "platformlog/fleetrecord.h"
#include "platformlog/logclient.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace node {

/// This daemon's replica of the fleet state: configuration, shard owners and
/// announced members, built from the records of the `fleet` stream in offset
/// order. It only moves forward. Safe to use from any thread.
class FleetState {
public:
  explicit FleetState(Runtime &Shared);

  /// Offset of the last record applied.
  base::LogOffset applied() const;

  /// Applies the records that follow the last applied one without a gap and
  /// passes over those that are applied already. Returns whether the state has
  /// moved.
  bool apply(const std::vector<platformlog::LogRecord> &Records);

  /// Takes over a snapshot, in the encoding of `snapshotRecord`, if it is
  /// further in the log than this state.
  bool adoptSnapshot(const std::string &Record);

  /// Offset of the newest snapshot in the log that this daemon knows of.
  base::LogOffset lastSnapshot() const;

  /// The whole state as a log record of kind `Snapshot`.
  std::string snapshotRecord() const;

  /// Records for a peer that has applied everything before `From`.
  FetchedRecords recordsFrom(base::LogOffset From) const;

  /// The configuration in force. Never null.
  std::shared_ptr<const config::Configuration> configuration() const;

  /// Members announced in the log and not stopped, by instance.
  std::vector<membership::Member> announcedMembers() const;

  /// Copy of the shard owners.
  ownership::OwnershipState owners() const;

private:
  bool applyOne(const platformlog::LogRecord &Record);
  void applyEnvelope(platformlog::RecordKind Kind, const std::string &Payload);
  void keep(const platformlog::LogRecord &Record);
  bool adoptLocked(const std::string &Payload);
  void announce(const membership::Member &Announced);

  Runtime &Shared;
  mutable std::mutex Mutex;
  base::LogOffset Applied;
  base::LogOffset LastSnapshot;
  config::ConfigState Config;
  ownership::OwnershipState Owners;
  std::map<base::InstanceId, membership::Member> Members;
  /// The newest records, for peers that fetch them.
  std::deque<platformlog::LogRecord> Kept;
  std::size_t KeptBytes = 0;
};

} // namespace node

#endif // JACKDAW_NODE_FLEETSTATE_H
