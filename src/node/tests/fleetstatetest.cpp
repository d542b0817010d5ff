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
  Member.Epoch = base::Incarnation(1);
  Member.State = State;
  return platformlog::encodeRecord(RecordKind::Announce, Member);
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

  void publishTwice() { Fleet.apply({record(1, First), record(2, Second)}); }

  bool grants(const node::FleetState &State, const char *Key) const {
    const auto Config = State.configuration();
    const config::Service *Service =
        Config->service(base::ServiceName("orders"));
    return Service != nullptr &&
           Service->workspaceByKey(config::digestKey(Key)) != nullptr;
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a record that comes again or late never brings an "
                           "older configuration back") {
  Fleet.apply({record(1, First)});
  CHECK(grants(Fleet, "one"));
  Fleet.apply({record(2, Second)});
  CHECK_FALSE(Fleet.apply({record(1, First)}));
  CHECK(grants(Fleet, "two"));
  CHECK_FALSE(grants(Fleet, "one"));
}

TEST_CASE_FIXTURE(Fixture, "records behind a gap wait until the gap is "
                           "filled") {
  CHECK_FALSE(Fleet.apply({record(2, Second)}));
  CHECK(Fleet.applied() == LogOffset(0));
  publishTwice();
  CHECK(grants(Fleet, "two"));
}

TEST_CASE_FIXTURE(Fixture, "a snapshot leads over records that the log has "
                           "forgotten, and an old one changes nothing") {
  publishTwice();
  const std::string Snapshot = Fleet.snapshotRecord();
  node::FleetState Other(Shared);
  CHECK(Other.apply({record(9, Snapshot)}));
  CHECK(Other.applied() == LogOffset(2));
  CHECK(grants(Other, "two"));
  CHECK_FALSE(Other.adoptSnapshot(Snapshot));
}

TEST_CASE_FIXTURE(Fixture, "a malformed record takes its offset and nothing "
                           "else") {
  CHECK(Fleet.apply({record(1, "nonsense")}));
  CHECK(Fleet.applied() == LogOffset(1));
  CHECK(Shared.Metrics.counter("log_records_malformed_total").value() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a peer gets the records it lacks, or a snapshot if "
                           "they are no longer kept") {
  publishTwice();
  const auto Records = Fleet.recordsFrom(LogOffset(2));
  REQUIRE(Records.Records.size() == 1);
  CHECK(Records.Records.front().Offset == LogOffset(2));
  CHECK(Fleet.recordsFrom(LogOffset(3)).Records.empty());

  node::FleetState Late(Shared);
  Late.adoptSnapshot(Fleet.snapshotRecord());
  const auto FromLate = Late.recordsFrom(LogOffset(1));
  CHECK(FromLate.Records.empty());
  node::FleetState New(Shared);
  CHECK(New.adoptSnapshot(FromLate.Snapshot));
  CHECK(grants(New, "two"));
}

TEST_CASE_FIXTURE(Fixture, "snapshots in the log are not copied to peers that "
                           "follow record by record") {
  publishTwice();
  Fleet.apply({record(3, Fleet.snapshotRecord())});
  CHECK(Fleet.lastSnapshot() == LogOffset(3));
  const auto Tail = Fleet.recordsFrom(LogOffset(3));
  REQUIRE(Tail.Records.size() == 1);
  CHECK(Tail.Records.front().Bytes.size() < 100);
  node::FleetState Other(Shared);
  std::vector<platformlog::LogRecord> All;
  for (const auto &Each : Fleet.recordsFrom(LogOffset(1)).Records)
    All.push_back({Each.Offset, Each.Bytes});
  CHECK(Other.apply(All));
  CHECK(Other.applied() == LogOffset(3));
}

TEST_CASE_FIXTURE(Fixture, "a stopped member is forgotten, and a late "
                           "announcement of the same process is not newer") {
  using membership::MemberState;
  Fleet.apply({record(1, announcement("b", MemberState::Draining)),
               record(2, announcement("b", MemberState::Alive))});
  REQUIRE(Fleet.announcedMembers().size() == 1);
  CHECK(Fleet.announcedMembers().front().State == MemberState::Draining);
  Fleet.apply({record(3, announcement("b", MemberState::Stopped))});
  CHECK(Fleet.announcedMembers().empty());
}
