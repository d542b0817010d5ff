#include "node/fleetstate.h"
#include "config/tests/examples.h"

#include <doctest/doctest.h>

using base::LogOffset;
using platformlog::RecordKind;

namespace {

platformlog::LogRecord record(std::uint64_t Offset, std::string Bytes) {
  return {LogOffset(Offset), std::move(Bytes)};
}

std::string change(const std::string &File, const std::string &Content,
                   std::uint64_t BaseVersion) {
  config::ConfigChange Change;
  Change.Id = base::makeRandomId<config::PublishId>();
  Change.File = File;
  Change.Content = Content;
  Change.BaseVersion = LogOffset(BaseVersion);
  return platformlog::encodeRecord(RecordKind::ConfigChange, Change);
}

std::string announcement(const char *Instance, membership::MemberState State) {
  membership::Member Member;
  Member.Instance = base::InstanceId(Instance);
  Member.Incarnation = base::Incarnation(1);
  Member.State = State;
  return platformlog::encodeRecord(RecordKind::Announcement, Member);
}

struct Fixture {
  base::ManualClock Clock;
  node::Runtime Shared{Clock,
                       {base::InstanceId("a"), base::Incarnation(1)},
                       base::DataCentreId("dc1"),
                       base::RegionId("north")};
  node::FleetState Fleet{Shared};
  const std::string First =
      change("orders.toml", config::examples::serviceText("one"), 0);
  const std::string Second =
      change("orders.toml", config::examples::serviceText("two"), 1);

  void applyBoth() { Fleet.apply({record(1, First), record(2, Second)}); }

  bool hasKey(const node::FleetState &State, const char *Key) const {
    const auto Config = State.configuration();
    const config::Service *Service =
        Config->service(base::ServiceName("orders"));
    return Service != nullptr &&
           Service->workspaceByKey(config::digestKey(Key)) != nullptr;
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture,
                  "a duplicate or late record doesn't restore an older "
                  "configuration") {
  Fleet.apply({record(1, First)});
  CHECK(hasKey(Fleet, "one"));
  Fleet.apply({record(2, Second)});
  CHECK_FALSE(Fleet.apply({record(1, First)}));
  CHECK(hasKey(Fleet, "two"));
  CHECK_FALSE(hasKey(Fleet, "one"));
}

TEST_CASE_FIXTURE(Fixture,
                  "records after a gap aren't applied until the gap is "
                  "filled") {
  CHECK_FALSE(Fleet.apply({record(2, Second)}));
  CHECK(Fleet.appliedOffset() == LogOffset(0));
  applyBoth();
  CHECK(hasKey(Fleet, "two"));
}

TEST_CASE_FIXTURE(Fixture, "a snapshot is applied across a gap, and an old "
                           "snapshot is ignored") {
  applyBoth();
  const std::string Snapshot = Fleet.snapshotRecord();
  node::FleetState Other(Shared);
  CHECK(Other.apply({record(9, Snapshot)}));
  CHECK(Other.appliedOffset() == LogOffset(2));
  CHECK(hasKey(Other, "two"));
  CHECK_FALSE(Other.installSnapshot(Snapshot));
}

TEST_CASE_FIXTURE(Fixture, "a malformed record only advances the applied "
                           "offset") {
  CHECK(Fleet.apply({record(1, "nonsense")}));
  CHECK(Fleet.appliedOffset() == LogOffset(1));
  CHECK(Shared.Metrics.counter("log_records_malformed_total").value() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a peer gets the records it lacks, or a snapshot if "
                           "they are no longer retained") {
  applyBoth();
  const auto Records = Fleet.recordsFrom(LogOffset(2));
  REQUIRE(Records.Records.size() == 1);
  CHECK(Records.Records.front().Offset == LogOffset(2));
  CHECK(Fleet.recordsFrom(LogOffset(3)).Records.empty());

  node::FleetState Late(Shared);
  Late.installSnapshot(Fleet.snapshotRecord());
  const auto FromLate = Late.recordsFrom(LogOffset(1));
  CHECK(FromLate.Records.empty());
  node::FleetState New(Shared);
  CHECK(New.installSnapshot(FromLate.Snapshot));
  CHECK(hasKey(New, "two"));
}

TEST_CASE_FIXTURE(Fixture, "snapshots in the log aren't sent to peers that "
                           "apply record by record") {
  applyBoth();
  Fleet.apply({record(3, Fleet.snapshotRecord())});
  CHECK(Fleet.lastSnapshotOffset() == LogOffset(3));
  const auto Tail = Fleet.recordsFrom(LogOffset(3));
  REQUIRE(Tail.Records.size() == 1);
  CHECK(Tail.Records.front().Bytes.size() < 100);
  node::FleetState Other(Shared);
  std::vector<platformlog::LogRecord> All;
  for (const auto &Each : Fleet.recordsFrom(LogOffset(1)).Records)
    All.push_back({Each.Offset, Each.Bytes});
  CHECK(Other.apply(All));
  CHECK(Other.appliedOffset() == LogOffset(3));
}

TEST_CASE_FIXTURE(Fixture, "a stopped member is removed, and a late "
                           "announcement of the same process is ignored") {
  using membership::MemberState;
  Fleet.apply({record(1, announcement("b", MemberState::Draining)),
               record(2, announcement("b", MemberState::Alive))});
  REQUIRE(Fleet.announcedMembers().size() == 1);
  CHECK(Fleet.announcedMembers().front().State == MemberState::Draining);
  Fleet.apply({record(3, announcement("b", MemberState::Stopped))});
  CHECK(Fleet.announcedMembers().empty());
}
