#include "tools/eventlist.h"

#include "http/server.h"

#include <doctest/doctest.h>

namespace {

/// HTTP server that responds to `/events` with a fixed body.
class EventsServer final : public http::Handler {
public:
  explicit EventsServer(std::string Body) : Body(std::move(Body)) {
    Server = http::Server::start({}, *this).value();
  }

  base::Endpoint address() const { return {"127.0.0.1", Server->port()}; }

  http::Response handle(http::Request Received,
                        const http::CallerConnection &) override {
    if (Received.Path != "/events")
      return {404, {}, ""};
    return {200, {}, Body};
  }
  http::Response bodyTooLarge() const override { return {413, {}, ""}; }

private:
  std::string Body;
  std::unique_ptr<http::Server> Server;
};

std::string event(int AtUs, int Sequence, const std::string &Instance) {
  return R"({"at_us":)" + std::to_string(AtUs) + R"(,"sequence":)" +
         std::to_string(Sequence) + R"(,"instance":")" + Instance +
         R"(","kind":"k","detail":"d"})";
}

/// An address on which nothing listens.
base::Endpoint unusedAddress() {
  const EventsServer Closed("[]");
  return Closed.address();
}

} // namespace

TEST_CASE(
    "a response body that is not a list of complete events is rejected "
    "entirely, so that events missing from a timeline are always reported") {
  CHECK(tools::parseEvents("[]")->empty());
  CHECK(tools::parseEvents("[" + event(1, 1, "a") + "]")->size() == 1);
  for (const char *Text :
       {"", "{}", "[", "[1]", "[{}]",
        R"([{"at_us":"1","sequence":1,"instance":"a","kind":"k","detail":""}])",
        R"([{"at_us":1,"sequence":-1,"instance":"a","kind":"k","detail":""}])",
        R"([{"at_us":1,"sequence":1,"instance":"a","kind":"k"}])"})
    CHECK_MESSAGE(!tools::parseEvents(Text), Text);
}

TEST_CASE("events of several daemons are sorted by wall clock time, then "
          "instance and sequence, whatever the order of the addresses") {
  const EventsServer First("[" + event(2, 1, "b") + "," + event(2, 2, "b") +
                           "," + event(9, 3, "b") + "]");
  const EventsServer Second("[" + event(1, 7, "a") + "," + event(2, 8, "a") +
                            "]");
  const auto Result =
      tools::collectTimeline({First.address(), Second.address()});
  CHECK(Result.Errors.empty());
  std::string Order;
  for (const base::Event &Each : Result.Events)
    Order += Each.Instance.str() + std::to_string(Each.Sequence) + " ";
  CHECK(Order == "a7 a8 b1 b2 b3 ");
}

TEST_CASE("an unreachable daemon and one with a malformed body are reported, "
          "and the events of the others are returned") {
  const EventsServer Good("[" + event(1, 1, "a") + "]");
  const EventsServer Bad("no events");
  const base::Endpoint Unreachable = unusedAddress();
  const auto Result =
      tools::collectTimeline({Unreachable, Good.address(), Bad.address()});
  CHECK(Result.Events.size() == 1);
  REQUIRE(Result.Errors.size() == 2);
  CHECK(Result.Errors[0].starts_with(Unreachable.str() + ": "));
  CHECK(Result.Errors[1].starts_with(Bad.address().str() + ": "));
}

TEST_CASE("a formatted event contains the time in UTC, and a line end in the "
          "detail does not start another line") {
  base::Event Event;
  Event.At = base::WallTime(std::chrono::microseconds(1'700'000'000'000'042));
  Event.Instance = base::InstanceId("north-1");
  Event.Kind = "member";
  Event.Detail = "x\ny";
  CHECK(tools::formatEvent(Event) ==
        "2023-11-14T22:13:20.000042Z north-1 member x y");
}
