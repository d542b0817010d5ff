#include "node/daemonsettings.h"
#include "node/idempotencyservice.h"
#include "node/replytable.h"
#include "node/upstreamselector.h"

#include <doctest/doctest.h>

#include <thread>

using namespace std::chrono_literals;

TEST_CASE("a reply that arrives after its timeout isn't delivered to the next "
          "wait") {
  node::ReplyTable<int, std::string> Replies;
  Replies.expect(1);
  CHECK_FALSE(Replies.wait(1, 0ms));
  CHECK_FALSE(Replies.deliver(1, "late"));
  Replies.expect(2);
  std::thread Sender([&Replies] { Replies.deliver(2, "own"); });
  CHECK(Replies.wait(2, 20s) == "own");
  Sender.join();
}

TEST_CASE("the result of a call for its upstream depends on the error kind "
          "and the outcome") {
  using base::ErrorKind;
  using base::Outcome;
  using routing::CallResult;
  execution::CallCompletion Completion;
  const auto ResultOf = [&Completion](ErrorKind Kind, Outcome RunOutcome) {
    Completion.Error = Kind;
    Completion.Outcome = RunOutcome;
    return node::toCallResult(Completion);
  };
  CHECK(ResultOf(ErrorKind::Overloaded, Outcome::NotRun) ==
        CallResult::Overloaded);
  CHECK(ResultOf(ErrorKind::Draining, Outcome::NotRun) == CallResult::Draining);
  CHECK(ResultOf(ErrorKind::DeadlineExceeded, Outcome::NotRun) ==
        CallResult::Overloaded);
  CHECK(ResultOf(ErrorKind::DeadlineExceeded, Outcome::Unknown) ==
        CallResult::Failed);
  CHECK(ResultOf(ErrorKind::Cancelled, Outcome::Unknown) ==
        CallResult::Abandoned);
  Completion = {};
  Completion.Response = std::make_shared<execution::Response>();
  CHECK(node::toCallResult(Completion) == CallResult::Responded);
}

TEST_CASE("all invalid addresses and URLs and an incomplete TLS pair are "
          "reported together") {
  setenv("JACKDAW_FLEET_SECRET", "s", 1);
  const auto Read = base::readSettings(
      node::daemonSettingsTable(), "test",
      {"jackdawd", "--instance", std::string(64, 'x'), "--data-centre", "dc1",
       "--region", "r", "--log-url", "ftp://x", "--seeds", "nonsense",
       "--peer-ip", "localhost", "--tls-key", "key.pem"});
  unsetenv("JACKDAW_FLEET_SECRET");
  REQUIRE(Read.Errors.empty());
  std::vector<std::string> Errors;
  node::makeDaemonSettings(Read.Values, Errors);
  CHECK(Errors.size() == 5);
}

TEST_CASE("idempotency records of a workspace are stored in its configured "
          "data centre, else in one that all daemons choose alike by hash") {
  config::ServiceConfig Orders;
  Orders.Name = base::ServiceName("orders");
  Orders.Workspaces.resize(3);
  Orders.Workspaces[0].Name = base::WorkspaceName("named");
  Orders.Workspaces[0].RecordDataCentre = base::DataCentreId("dc2");
  Orders.Workspaces[1].Name = base::WorkspaceName("hashed");
  Orders.Workspaces[2].Name = base::WorkspaceName("unknown-place");
  Orders.Workspaces[2].RecordDataCentre = base::DataCentreId("dc9");
  auto Fleet = std::make_shared<config::FleetConfig>();
  for (const char *Name : {"dc1", "dc2", "dc3"})
    Fleet->DataCentres.push_back(
        {base::DataCentreId(Name), base::RegionId("r")});
  const auto Service = std::make_shared<config::Service>(Orders);
  const config::Configuration Config(base::LogOffset(1),
                                     {{Orders.Name, Service}}, Fleet);
  const auto DataCentreOf = [&](const char *Workspace) {
    return node::recordDataCentre(Config, Orders.Name,
                                  base::WorkspaceName(Workspace))
        .str();
  };
  CHECK(DataCentreOf("named") == "dc2");
  CHECK(DataCentreOf("hashed").starts_with("dc"));
  CHECK(DataCentreOf("unknown-place") != "dc9");
  CHECK(node::recordDataCentre({}, Orders.Name, base::WorkspaceName("named"))
            .empty());
}
