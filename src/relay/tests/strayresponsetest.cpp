#include "http/client.h"
#include "relay/tests/scriptedbackend.h"
#include "relay/tests/testfleet.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace std::chrono_literals;

namespace {

ScriptedBackend::Reaction succeed(const std::string &Request) {
  return {successFor(Request)};
}

std::string refusalOf(const std::string &Attempt) {
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
         "Retry-After: 0.250\r\nAttempt: " +
         Attempt + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a request that runs at a second server because the beginning
// of an earlier refusal stands before the response of the first.
TEST_CASE("the beginning of an earlier refusal is no proof that a request has "
          "not run") {
  const std::string Refusal = refusalOf("earlier");
  for (std::size_t Length = 1; Length < Refusal.size(); Length += 5) {
    CAPTURE(Refusal.substr(0, Length));
    std::atomic<int> Runs = 0;
    const auto Spoil = [&](const std::string &Request) {
      if (headerIn(Request, "Attempt") != "spoiled")
        return succeed(Request);
      ++Runs;
      return ScriptedBackend::Reaction{Refusal.substr(0, Length) +
                                       successFor(Request)};
    };
    ScriptedBackend Front(&succeed);
    ScriptedBackend First(Spoil);
    ScriptedBackend Second(Spoil);
    TestFleet Fleet;
    Fleet.addDaemon("front", Front.url());
    Fleet.addDaemon("back", First.url());
    Fleet.addDaemon("back", Second.url());
    Fleet.publish(simplePolicy("back"));
    Fleet.waitUntilConnected();
    Fleet.sendAndWait(0, callerRequest("POST", "/once/x", "earlier"));
    const auto Result =
        Fleet.sendAndWait(0, callerRequest("POST", "/once/x", "spoiled"));
    CHECK(Runs == 1);
    CHECK(Result.Response.Status == 502);
  }
}

// Guards against a call that has run and is answered as not run, because a
// second copy of the refusal of its first attempt arrives late.
TEST_CASE(
    "a call that is sent to the same server again gets a new connection") {
  ScriptedBackend Back([Count = 0](const std::string &Request) mutable {
    if (headerIn(Request, "Attempt") != "inner" || Count++ > 0)
      return succeed(Request);
    ScriptedBackend::Reaction Refused;
    Refused.Bytes = Refused.Late = refusalOf("inner");
    return Refused;
  });
  std::string OwnDaemon;
  std::atomic<int> InnerStatus = 0;
  ScriptedBackend Front([&](const std::string &Request) {
    http::Request Inner = callerRequest("POST", "/once/x", "inner");
    Inner.Headers = {{"Host", "a.example"},
                     {"Attempt", "inner"},
                     {"Time-Left-Ms", headerIn(Request, "Time-Left-Ms")}};
    http::Client Client;
    InnerStatus = Client.exchange(OwnDaemon, Inner, {}).Response.Status;
    return succeed(Request);
  });
  TestFleet Fleet;
  Fleet.addDaemon("front", Front.url());
  Fleet.addDaemon("back", Back.url());
  OwnDaemon = Fleet.callerUrl(0);
  config::FleetPolicyContent Policy = simplePolicy("back");
  for (config::HostRoute &Each : Policy.Routes)
    Each.OpenToAll = true;
  config::HostRoute Outer = Policy.Routes.front();
  Outer.Name = Outer.Prefix = "/front/";
  Outer.Targets = {{base::ServiceName("front"), 1}};
  Policy.Routes.push_back(Outer);
  Fleet.publish(Policy);
  Fleet.waitUntilConnected();
  Fleet.sendAndWait(0, callerRequest("POST", "/once/x", "earlier"));
  Fleet.sendAndWait(0, callerRequest("GET", "/front/x", "outer"));
  CHECK(Back.requests().size() == 3);
  CHECK(InnerStatus == 200);
}

// Guards against a refusal of an earlier request that counts for one that has
// no id by which the two can be told apart.
TEST_CASE("a request without an attempt id gets a new connection") {
  ScriptedBackend Back([](const std::string &Request) {
    ScriptedBackend::Reaction Chosen = succeed(Request);
    Chosen.Late = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n";
    return Chosen;
  });
  TestFleet Fleet;
  Fleet.addDaemon("back", Back.url());
  Fleet.publish(simplePolicy("back"));
  http::Request Sent = callerRequest("POST", "/once/x");
  std::erase_if(Sent.Headers, [](const http::Header &Each) {
    return Each.Name == "Attempt";
  });
  for (int Count = 0; Count < 3; ++Count)
    CHECK(Fleet.sendAndWait(0, Sent).Response.Status == 200);
}

// Guards against a response that names the request among others.
TEST_CASE("a response with two attempt ids is no proof") {
  ScriptedBackend Back([](const std::string &Request) {
    std::string Response = refusalOf("other");
    Response.insert(Response.find("Attempt: "),
                    "Attempt: " + headerIn(Request, "Attempt") + "\r\n");
    return ScriptedBackend::Reaction{Response};
  });
  TestFleet Fleet;
  Fleet.addDaemon("back", Back.url());
  Fleet.publish(simplePolicy("back"));
  CHECK(
      Fleet.sendAndWait(0, callerRequest("POST", "/once/x")).Response.Status ==
      502);
}
