#include "tools/eventlist.h"

#include "http/server.h"

#include <doctest/doctest.h>

namespace {

/// Answers `/events` with a fixed text.
class FixedEvents final : public http::Handler {
public:
  explicit FixedEvents(std::string Body) : Body(std::move(Body)) {
    Server = http::Server::start({}, *this).value();
  }

  base::PeerAddress address() const { return {"127.0.0.1", Server->port()}; }

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

std::string event(int At, int Sequence, const std::string &Instance) {
  return R"({"at_us":)" + std::to_string(At) + R"(,"sequence":)" +
         std::to_string(Sequence) + R"(,"instance":")" + Instance +
         R"(","kind":"k","detail":"d"})";
}

/// An address on which nothing listens.
base::PeerAddress unreachable() {
  const FixedEvents Closed("[]");
  return Closed.address();
}

} // namespace

TEST_CASE("a page that is not a list of complete events is refused whole, so "
          "that a time line never lacks events silently") {
  CHECK(tools::parseEvents("[]")->empty());
  CHECK(tools::parseEvents("[" + event(1, 1, "a") + "]")->size() == 1);
  for (const char *Text :
       {"", "{}", "[", "[1]", "[{}]",
        R"([{"at_us":"1","sequence":1,"instance":"a","kind":"k","detail":""}])",
        R"([{"at_us":1,"sequence":-1,"instance":"a","kind":"k","detail":""}])",
        R"([{"at_us":1,"sequence":1,"instance":"a","kind":"k"}])"})
    CHECK_MESSAGE(!tools::parseEvents(Text), Text);
}

TEST_CASE("events of several daemons come in the order of the wall clock, "
          "then instance and sequence, whatever the order of the addresses") {
  const FixedEvents First("[" + event(2, 1, "b") + "," + event(2, 2, "b") +
                          "," + event(9, 3, "b") + "]");
  const FixedEvents Second("[" + event(1, 7, "a") + "," + event(2, 8, "a") +
                           "]");
  const auto Result =
      tools::collectTimeline({First.address(), Second.address()});
  CHECK(Result.Problems.empty());
  std::string Order;
  for (const base::Event &Each : Result.Events)
    Order += Each.Instance.str() + std::to_string(Each.Sequence) + " ";
  CHECK(Order == "a7 a8 b1 b2 b3 ");
}

TEST_CASE("an unreachable daemon and one with a malformed page are named, and "
          "the events of the others are kept") {
  const FixedEvents Good("[" + event(1, 1, "a") + "]");
  const FixedEvents Bad("no events");
  const base::PeerAddress Gone = unreachable();
  const auto Result =
      tools::collectTimeline({Gone, Good.address(), Bad.address()});
  CHECK(Result.Events.size() == 1);
  REQUIRE(Result.Problems.size() == 2);
  CHECK(Result.Problems[0].starts_with(Gone.str() + ": "));
  CHECK(Result.Problems[1].starts_with(Bad.address().str() + ": "));
}

TEST_CASE("a line has the time in UTC, and a line end in the detail does not "
          "start another line") {
  base::Event Event;
  Event.At = base::WallTime(std::chrono::microseconds(1'700'000'000'000'042));
  Event.Instance = base::InstanceId("north-1");
  Event.Kind = "member";
  Event.Detail = "x\ny";
  CHECK(tools::formatEvent(Event) ==
        "2023-11-14T22:13:20.000042Z north-1 member x y");
}
