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
/// order. The applied offset never decreases. Safe to use from any thread.
class FleetState {
public:
  explicit FleetState(Runtime &Shared);

  /// Offset of the last applied record.
  base::LogOffset appliedOffset() const;

  /// Applies the records that follow the last applied one without a gap and
  /// skips those already applied. After a gap, only a snapshot is applied.
  /// Returns whether the applied offset has advanced.
  bool apply(const std::vector<platformlog::LogRecord> &Records);

  /// Replaces the state by a snapshot, encoded as by `snapshotRecord`, if the
  /// snapshot is newer. Returns whether it was installed.
  bool installSnapshot(const std::string &Record);

  /// Offset of the newest applied snapshot record; zero if there is none.
  base::LogOffset lastSnapshotOffset() const;

  /// Encodes the whole state as a log record of kind `Snapshot`.
  std::string snapshotRecord() const;

  /// Records for a peer that has applied all records before `From`, limited in
  /// size; a snapshot if the records from `From` on are no longer retained.
  FetchedRecords recordsFrom(base::LogOffset From) const;

  /// The current configuration. Never null.
  std::shared_ptr<const config::Configuration> configuration() const;

  /// Members announced in the log that haven't stopped, ordered by instance.
  std::vector<membership::Member> announcedMembers() const;

  /// A copy of the shard owners.
  ownership::OwnershipState owners() const;

private:
  bool applyOne(const platformlog::LogRecord &Record);
  void applyEnvelope(platformlog::RecordKind Kind, const std::string &Payload);
  void retainRecord(const platformlog::LogRecord &Record);
  bool installSnapshotLocked(const std::string &Payload);
  void applyAnnouncement(const membership::Member &Announced);

  Runtime &Shared;
  mutable std::mutex Mutex;
  base::LogOffset AppliedOffset;
  base::LogOffset LastSnapshotOffset;
  config::ConfigState Config;
  ownership::OwnershipState Owners;
  std::map<base::InstanceId, membership::Member> Members;
  /// The newest records in offset order, for peers that fetch them.
  std::deque<platformlog::LogRecord> RecentRecords;
  std::size_t RecentBytes = 0;
};

} // namespace node

#endif // JACKDAW_NODE_FLEETSTATE_H
