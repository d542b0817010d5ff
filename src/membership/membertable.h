#ifndef JACKDAW_MEMBERSHIP_MEMBERTABLE_H
#define JACKDAW_MEMBERSHIP_MEMBERTABLE_H

#include "base/clock.h"
#include "membership/member.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace membership {

/// How long a dead or stopped member is kept before a tombstone replaces it.
inline constexpr base::Duration kMemberRetention = std::chrono::minutes(10);

/// How long a tombstone is kept, so that a late message does not bring the
/// process back.
inline constexpr base::Duration kTombstoneRetention = std::chrono::hours(24);

/// Maximum number of tombstones.
inline constexpr std::size_t kMaxTombstones = 4096;

/// Number of groups of members whose digests two daemons compare.
inline constexpr std::size_t kDigestBuckets = 128;

using BucketDigests = std::array<std::uint32_t, kDigestBuckets>;

/// A member and this daemon's observations of it.
struct MemberEntry {
  Member Record;
  /// Stable hash of the instance name.
  std::uint64_t NameHash = 0;
  base::BootTime StateSince;
  /// The process did not reply to this daemon, and nothing has been received
  /// from it since.
  bool Silent = false;
};

/// The last claim about a process that was removed from the table.
struct Tombstone {
  StateClaim Claim;
  base::Endpoint Peer;
  base::BootTime CreatedAt;
};

/// Effect of a merge on the table.
enum class MergeResult : std::uint8_t {
  /// The table is unchanged, for example because its claim or tombstone is at
  /// least as new.
  Ignored,
  /// The table is unchanged, because it has no record of the claim's instance
  /// and incarnation.
  Unknown,
  /// The entry of the process has changed.
  Changed,
  /// A process was added; it may replace an earlier one of its instance.
  Added,
};

/// All known members, one entry for each instance. Not thread-safe.
class MemberTable {
public:
  /// Merges a whole record.
  MergeResult merge(const Member &Incoming, base::BootTime Now);

  /// Merges a claim. Returns `Unknown` if the claim is not older than what is
  /// in the table, but the table has no record of that instance and
  /// incarnation.
  MergeResult merge(const StateClaim &Incoming, base::BootTime Now);

  /// The entry of `Instance`, or null. Valid until the next change.
  const MemberEntry *find(const base::InstanceId &Instance) const;

  const std::vector<MemberEntry> &entries() const { return Entries; }

  /// Members that are alive, suspect or draining.
  std::size_t presentCount() const { return Present; }

  /// Whether routing may use the process: alive and not silent.
  bool isUsable(const base::ProcessId &Process) const;

  /// Records that a process has become silent, or that it was heard from again.
  void setSilent(const base::ProcessId &Process, bool Silent);

  /// Raises the known applied offset of a process; never lowers it.
  void raiseAppliedOffset(const base::ProcessId &Process,
                          base::LogOffset Offset);

  /// The highest applied offset ever known of any process.
  base::LogOffset highestOffset() const { return HighestOffset; }

  /// Replaces members that have been dead or stopped for `kMemberRetention` by
  /// tombstones and drops expired tombstones. Returns the instances removed.
  std::vector<base::InstanceId> removeExpired(base::BootTime Now);

  /// The tombstone of `Instance`, or null. Valid until the next change.
  const Tombstone *tombstone(const base::InstanceId &Instance) const;

  /// All tombstones, for attempts to contact the processes again.
  const std::unordered_map<base::InstanceId, Tombstone> &tombstones() const {
    return Tombstones;
  }

  /// Digest over all present members: equal in two daemons if their views are
  /// equal.
  std::uint64_t digest() const { return Digest; }

  /// The digest of each bucket.
  const BucketDigests &bucketDigests() const { return Buckets; }

  /// The digest bucket that holds an entry.
  static std::size_t bucketOf(const MemberEntry &Entry) {
    return Entry.NameHash % kDigestBuckets;
  }

  /// The two usable members of the data centre with the lowest rendezvous hash,
  /// which read the platform log; fewer if fewer are usable.
  std::vector<Member> logReaders(const base::DataCentreId &DataCentre) const;

  /// Position of `Instance` in the order by which `logReaders` selects, over
  /// all usable members of its data centre; their number if it isn't usable.
  std::size_t logReaderRank(const base::InstanceId &Instance) const;

  /// Instances whose entry changed, appeared or disappeared since the last
  /// call, each once.
  std::vector<base::InstanceId> takeChanges();

  /// Estimate of the heap memory in use, in bytes.
  std::size_t memoryBytes() const;

private:
  MergeResult store(std::size_t Index, const Member &Record,
                    base::BootTime Now);
  MergeResult add(const Member &Record, base::BootTime Now);
  void setState(MemberEntry &Entry, const StateClaim &Claim,
                base::BootTime Now);
  Member resolveAddress(const Member &Record, base::BootTime Now);
  void toggleDigest(const MemberEntry &Entry);
  void remove(std::size_t Index, base::BootTime Now);
  void dropExpiredTombstones(base::BootTime Now);

  std::vector<MemberEntry> Entries;
  std::unordered_map<base::InstanceId, std::size_t> ByInstance;
  std::map<base::Endpoint, base::InstanceId> ByAddress;
  std::unordered_map<base::InstanceId, Tombstone> Tombstones;
  std::unordered_set<base::InstanceId> Changes;
  BucketDigests Buckets{};
  std::uint64_t Digest = 0;
  std::size_t Present = 0;
  base::LogOffset HighestOffset;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_MEMBERTABLE_H
