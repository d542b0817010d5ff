#include "relay/localserverstate.h"

#include <doctest/doctest.h>

using relay::ReportResult;

namespace {

relay::ServerReport report(std::string Id, std::uint64_t Born,
                           std::uint64_t Sequence, bool Draining = false) {
  relay::ServerReport Made;
  Made.Server = {std::move(Id), Born};
  Made.Sequence = Sequence;
  Made.Slots = 4;
  Made.Draining = Draining;
  return Made;
}

} // namespace

TEST_CASE("a server is available from its first report on") {
  relay::LocalServerState Server;
  CHECK(!Server.available());
  CHECK(Server.report(report("a", 10, 1)) == ReportResult::Changed);
  CHECK(Server.available());
  CHECK(Server.report(report("a", 10, 2)) == ReportResult::Unchanged);
}

// Guards against a late report that reopens a server that drains.
TEST_CASE("a server that leaves stays closed") {
  relay::LocalServerState Server;
  Server.report(report("a", 10, 5));
  CHECK(Server.report(report("a", 10, 6, true)) == ReportResult::Changed);
  CHECK(!Server.available());
  CHECK(Server.report(report("a", 10, 4)) == ReportResult::Stale);
  Server.report(report("a", 10, 7));
  CHECK(!Server.available());
}

TEST_CASE("a server that says it is going is closed") {
  relay::LocalServerState Server;
  Server.report(report("a", 10, 5));
  CHECK(!Server.leave("b"));
  CHECK(Server.available());
  CHECK(Server.leave("a"));
  CHECK(!Server.available());
}

// Guards against a delayed report of a dead incarnation that replaces the one
// that followed it, and against counts that start anew under the same id.
TEST_CASE("the incarnation that was born last counts") {
  relay::LocalServerState Server;
  Server.report(report("a", 10, 50));
  CHECK(Server.report(report("b", 20, 1)) == ReportResult::Changed);
  CHECK(Server.report(report("a", 10, 51)) == ReportResult::Stale);
  CHECK(Server.current()->Server.Id == "b");
  CHECK(Server.report(report("b", 30, 1)) == ReportResult::Changed);
  CHECK(Server.available());
}
