#include "publish/tests/support.h"

#include <doctest/doctest.h>

#include <thread>

using namespace publish;
using namespace publish::testing;
using namespace std::chrono_literals;
using platformlog::LogErrorKind;
using standins::LogStandIn;

namespace {

const std::string kFile = "orders.toml";

/// Two operators read the same state; then one publishes before the other.
/// Checks that the first is accepted and the second rejected.
void publishFromSameState(bool AnnPublishesFirst) {
  LogStandIn Log;
  Operator Ann(Log, "ann");
  Operator Bob(Log, "bob");
  REQUIRE(readState(Ann.OwnPublisher));
  REQUIRE(readState(Bob.OwnPublisher));
  Operator &First = AnnPublishesFirst ? Ann : Bob;
  Operator &Second = AnnPublishesFirst ? Bob : Ann;
  const auto FirstResults = First.publish({{kFile, serviceText("first")}});
  const auto SecondResults = Second.publish({{kFile, serviceText("second")}});
  REQUIRE(FirstResults.size() == 1);
  REQUIRE(SecondResults.size() == 1);
  CHECK(FirstResults[0].Outcome == PublishOutcome::Accepted);
  CHECK(SecondResults[0].Outcome == PublishOutcome::VersionConflict);
  CHECK(SecondResults[0].LogOutcome->CurrentOperator ==
        (AnnPublishesFirst ? "ann" : "bob"));
  CHECK(SecondResults[0].str().find("was first with version 1") !=
        std::string::npos);
  Operator Reader(Log, "reader");
  REQUIRE(readState(Reader.OwnPublisher));
  for (const auto &Result : {FirstResults[0], SecondResults[0]})
    CHECK(Reader.OwnPublisher.state().outcomeFor(Result.Change.Id) ==
          Result.LogOutcome);
}

} // namespace

TEST_CASE(
    "of two changes based on the same state, the first in the log is accepted, "
    "whichever it is, and every reader agrees") {
  publishFromSameState(true);
  publishFromSameState(false);
}

TEST_CASE("only changed files are appended, the fleet file first") {
  LogStandIn Log;
  Operator Ann(Log, "ann");
  REQUIRE(readState(Ann.OwnPublisher));
  FileMap Files{{"a.toml", serviceText()}, {"fleet.toml", fleetText()}};
  const auto Results = Ann.publish(Files);
  REQUIRE(Results.size() == 2);
  CHECK(Results[0].Change.File == "fleet.toml");
  CHECK(Ann.publish(Files).empty());
  Files["a.toml"] = serviceText("other");
  CHECK(Ann.publish(Files).size() == 1);
  CHECK(Log.end() == 3);
}

TEST_CASE("absent files are removed only if that is allowed") {
  LogStandIn Log;
  Operator Ann(Log, "ann");
  REQUIRE(readState(Ann.OwnPublisher));
  Ann.publish({{"a.toml", serviceText("a")}, {"b.toml", serviceText("b")}});
  const FileMap Fewer{{"a.toml", serviceText("a")}};
  CHECK(Ann.OwnPublisher.plan(Fewer).Retained ==
        std::vector<std::string>{"b.toml"});
  CHECK(Ann.publish(Fewer).empty());
  Operator Bob(Log, "bob", 5s, /*AllowRemoval=*/true);
  REQUIRE(readState(Bob.OwnPublisher));
  const auto Results = Bob.publish(Fewer);
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Outcome == PublishOutcome::Accepted);
  CHECK_FALSE(
      Bob.OwnPublisher.state().current()->service(base::ServiceName("b")));
  CHECK(Bob.publish(Fewer).empty());
}

TEST_CASE("files based on an older version don't silently revert a newer "
          "change") {
  LogStandIn Log;
  Operator Ann(Log, "ann");
  REQUIRE(readState(Ann.OwnPublisher));
  Ann.publish({{kFile, serviceText("one")}});
  Ann.publish({{kFile, serviceText("two")}});
  Publisher Outdated(Ann.Client, Ann.Clock,
                     {.Timeout = 5s,
                      .AllowRemoval = true,
                      .Operator = "bob",
                      .Since = base::LogOffset(1)});
  REQUIRE(readState(Outdated));
  const Plan Planned = Outdated.plan({{kFile, serviceText("one")}});
  CHECK(Planned.Conflicts == std::vector<std::string>{kFile});
  CHECK(Outdated.publish(Planned).empty());
  CHECK(Outdated.plan({{"b.toml", serviceText()}}).Conflicts.size() == 1);
  CHECK(Outdated.plan({{kFile, serviceText("two")}}).Conflicts.empty());
}

TEST_CASE("an invalid file prevents all files from being published") {
  LogStandIn Log;
  Operator Ann(Log, "ann");
  REQUIRE(readState(Ann.OwnPublisher));
  const Plan Planned = Ann.OwnPublisher.plan(
      {{"a.toml", serviceText()}, {"b.toml", "[backend]\nslots = 0\n"}});
  // In b.toml: no [[route]], no "connections", and "slots" below 1.
  CHECK(Planned.Errors.size() == 3);
  CHECK(Planned.Changes.empty());
  CHECK(Ann.OwnPublisher.publish(Planned).empty());
  CHECK(Log.end() == 0);
}

TEST_CASE("after a lost append response, the outcome is found by the id "
          "of the change without a second record") {
  LogStandIn Log;
  Operator Ann(Log, "ann");
  REQUIRE(readState(Ann.OwnPublisher));
  Log.setFaults({.LoseAppendResponses = true});
  const auto Results = Ann.publish({{kFile, serviceText()}});
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Outcome == PublishOutcome::Accepted);
  CHECK(Log.end() == 1);
}

TEST_CASE("during an outage nothing is published, and after a short outage "
          "each change is published once") {
  LogStandIn Log;
  Operator Ann(Log, "ann", 300ms);
  REQUIRE(readState(Ann.OwnPublisher));
  Log.setFaults({.Unavailable = true});
  const auto Results = Ann.publish({{kFile, serviceText()}});
  CHECK(Results[0].Outcome == PublishOutcome::NotAppended);
  CHECK(Log.end() == 0);
  LogErrorKind Kind{};
  CHECK_FALSE(readState(Ann.OwnPublisher, &Kind));
  CHECK(Kind == LogErrorKind::Unavailable);
  const std::uint64_t CallsBefore = Log.calls();
  std::vector<ChangeResult> Retried;
  Operator Bob(Log, "bob", 10s);
  std::thread Publishing([&] {
    if (readState(Bob.OwnPublisher))
      Retried = Bob.publish({{kFile, serviceText()}});
  });
  // The outage ends after two failed calls.
  while (Log.calls() < CallsBefore + 2)
    std::this_thread::yield();
  Log.setFaults({});
  Publishing.join();
  REQUIRE(Retried.size() == 1);
  CHECK(Retried[0].Outcome == PublishOutcome::Accepted);
  CHECK(Log.end() == 1);
}

TEST_CASE("an append that succeeds while the log can't be read is reported as "
          "unknown, and the next invocation of jackdaw-publish finds it") {
  LogStandIn Log;
  Operator Ann(Log, "ann", 400ms);
  REQUIRE(readState(Ann.OwnPublisher));
  Log.setFaults({.MalformedResponses = true});
  const auto Results = Ann.publish({{kFile, serviceText()}});
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Outcome == PublishOutcome::Unknown);
  CHECK(Log.end() == 1);
  LogErrorKind Kind{};
  CHECK_FALSE(readState(Ann.OwnPublisher, &Kind));
  CHECK(Kind == LogErrorKind::MalformedResponse);
  Log.setFaults({});
  REQUIRE(readState(Ann.OwnPublisher));
  CHECK(Ann.publish({{kFile, serviceText()}}).empty());
  CHECK(Log.end() == 1);
}

TEST_CASE("connections that stop responding between reading the state and "
          "publishing, or before the next read, don't prevent a publication") {
  LogStandIn Log;
  Operator Ann(Log, "ann");
  REQUIRE(readState(Ann.OwnPublisher));
  Log.silenceOpenConnections();
  const auto Results = Ann.publish({{kFile, serviceText()}});
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Outcome == PublishOutcome::Accepted);
  Log.silenceOpenConnections();
  CHECK(readState(Ann.OwnPublisher));
  CHECK(Log.end() == 1);
}

TEST_CASE("a log that does not respond results in an unknown outcome within "
          "the timeout") {
  LogStandIn Log;
  Operator Ann(Log, "ann", 400ms);
  REQUIRE(readState(Ann.OwnPublisher));
  Log.setFaults({.Unresponsive = true});
  const auto Results = Ann.publish({{kFile, serviceText()}});
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Outcome == PublishOutcome::Unknown);
  CHECK(Results[0].str().find("unknown") != std::string::npos);
}
