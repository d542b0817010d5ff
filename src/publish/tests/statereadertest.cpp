#include "publish/tests/support.h"

#include <doctest/doctest.h>

using namespace publish;
using namespace publish::testing;
using namespace std::chrono_literals;
using standins::LogStandIn;

namespace {

/// Publishes `Count` versions of one file.
void publishVersions(LogStandIn &Log, int Count) {
  Operator Ann(Log, "ann");
  REQUIRE(readState(Ann.OwnPublisher));
  for (int Index = 0; Index < Count; ++Index)
    Ann.publish({{"orders.toml", serviceText(std::to_string(Log.end()))}});
}

} // namespace

TEST_CASE("a log that no longer retains its first records is read from the "
          "snapshot on") {
  LogStandIn Log;
  publishVersions(Log, 3);
  config::ConfigState State;
  catchUp(Log, State);
  publishVersions(Log, 1);
  appendSnapshot(Log, State);
  publishVersions(Log, 1);
  // Retains the change at 4, the snapshot of 1 to 3 and the change at 6.
  Log.setRetention(3);
  Operator Late(Log, "late");
  REQUIRE(readState(Late.OwnPublisher));
  CHECK(Late.OwnPublisher.state().applied() == base::LogOffset(6));
  CHECK(Late.OwnPublisher.state().version() == base::LogOffset(6));
  CHECK(Late.publish({{"orders.toml", serviceText("new")}})[0].Outcome ==
        PublishOutcome::Accepted);
}

TEST_CASE("without a snapshot that covers the gap nothing is published, "
          "because the current versions are unknown") {
  LogStandIn Log;
  publishVersions(Log, 2);
  config::ConfigState State;
  catchUp(Log, State);
  publishVersions(Log, 2);
  appendSnapshot(Log, State);
  // The snapshot covers the log up to 2, and the change at 3 is not retained.
  Log.setRetention(2);
  Operator Late(Log, "late", 200ms);
  platformlog::LogErrorKind Kind{};
  CHECK_FALSE(readState(Late.OwnPublisher, &Kind));
  CHECK(Kind == platformlog::LogErrorKind::Unavailable);
  CHECK(Late.OwnPublisher.state().applied() == base::LogOffset());
}

TEST_CASE("a reader that falls behind the retention continues from the next "
          "snapshot and never reverts") {
  LogStandIn Log;
  publishVersions(Log, 2);
  platformlog::HttpLogClient Client(clientSettings(Log.url()));
  StateReader Reader(Client);
  REQUIRE(Reader.readPage(0ms).value() == ReadProgress::AtEnd);
  config::ConfigState State;
  publishVersions(Log, 4);
  catchUp(Log, State);
  Log.setRetention(2);
  CHECK(Reader.readPage(0ms).value() == ReadProgress::SnapshotMissing);
  CHECK(Reader.state().version() == base::LogOffset(2));
  appendSnapshot(Log, State);
  CHECK(Reader.readPage(0ms).value() == ReadProgress::AtEnd);
  CHECK(Reader.state().version() == base::LogOffset(6));
  CHECK(Reader.state().applied() == base::LogOffset(7));
}

TEST_CASE("records that can't be decoded or are of other kinds are skipped") {
  LogStandIn Log;
  Log.append("garbage");
  Log.append(platformlog::encodeRecord(platformlog::RecordKind::Announcement,
                                       std::string("member")));
  Log.append(platformlog::encodeRecord(platformlog::RecordKind::ConfigChange,
                                       std::string("no change")));
  Log.append(platformlog::encodeRecord(platformlog::RecordKind::Snapshot,
                                       std::string("no snapshot")));
  publishVersions(Log, 1);
  Operator ReadingOperator(Log, "reader");
  REQUIRE(readState(ReadingOperator.OwnPublisher));
  CHECK(ReadingOperator.OwnPublisher.state().version() == base::LogOffset(5));
}

TEST_CASE("a log that has lost records read earlier is reported as malformed") {
  auto Log = std::make_unique<LogStandIn>();
  publishVersions(*Log, 2);
  const std::uint16_t Port = Log->port();
  platformlog::HttpLogClient Client(clientSettings(Log->url()));
  StateReader Reader(Client);
  REQUIRE(Reader.readPage(0ms).value() == ReadProgress::AtEnd);
  Log.reset();
  const LogStandIn Empty(Port);
  const bool ReportedMalformed = boost::leaf::try_handle_all(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(Reader.readPage(0ms));
        return false;
      },
      [](const platformlog::LogError &Error) {
        return Error.Kind == platformlog::LogErrorKind::MalformedResponse;
      },
      [] { return false; });
  CHECK(ReportedMalformed);
  CHECK(Reader.state().version() == base::LogOffset(2));
}
