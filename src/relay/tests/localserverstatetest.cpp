#include "relay/localserverstate.h"

#include <doctest/doctest.h>

using relay::ReportResult;

namespace {

relay::ServerReport report(std::string Id, std::uint64_t StartTimeMillis,
                           std::uint64_t Sequence, bool Draining = false) {
  relay::ServerReport Result;
  Result.Server = {std::move(Id), StartTimeMillis};
  Result.Sequence = Sequence;
  Result.Slots = 4;
  Result.Draining = Draining;
  return Result;
}

} // namespace

TEST_CASE("a server is available from its first report on") {
  relay::LocalServerState Server;
  CHECK(!Server.available());
  CHECK(Server.apply(report("a", 10, 1)) == ReportResult::Changed);
  CHECK(Server.available());
  CHECK(Server.apply(report("a", 10, 2)) == ReportResult::Unchanged);
}

// Guards against a late report that makes a draining server available again.
TEST_CASE("a server that is shutting down stays unavailable") {
  relay::LocalServerState Server;
  Server.apply(report("a", 10, 5));
  CHECK(Server.apply(report("a", 10, 6, true)) == ReportResult::Changed);
  CHECK(!Server.available());
  CHECK(Server.apply(report("a", 10, 4)) == ReportResult::Stale);
  Server.apply(report("a", 10, 7));
  CHECK(!Server.available());
}

TEST_CASE("a server that announces its shutdown is unavailable") {
  relay::LocalServerState Server;
  Server.apply(report("a", 10, 5));
  CHECK(!Server.markLeaving("b"));
  CHECK(Server.available());
  CHECK(Server.markLeaving("a"));
  CHECK(!Server.available());
}

// Guards against a delayed report of an earlier incarnation that replaces its
// successor, and against ignoring a restarted server because its sequence
// numbers start again under the same id.
TEST_CASE("the incarnation that started last is the current one") {
  relay::LocalServerState Server;
  Server.apply(report("a", 10, 50));
  CHECK(Server.apply(report("b", 20, 1)) == ReportResult::Changed);
  CHECK(Server.apply(report("a", 10, 51)) == ReportResult::Stale);
  CHECK(Server.latestReport()->Server.Id == "b");
  CHECK(Server.apply(report("b", 30, 1)) == ReportResult::Changed);
  CHECK(Server.available());
}
