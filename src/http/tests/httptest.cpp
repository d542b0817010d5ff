#include "http/client.h"
#include "http/server.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace std::chrono_literals;

namespace {

/// Echoes the request. For the path `/slow`, waits until the caller has closed
/// the connection, 5 s at most.
class EchoHandler final : public http::Handler {
public:
  http::Response handle(http::Request Received,
                        const http::CallerConnection &Connection) override {
    for (int Round = 0; Received.Path == "/slow" && Round < 500; ++Round) {
      if (Connection.closed()) {
        SawClose = true;
        break;
      }
      std::this_thread::sleep_for(10ms);
    }
    http::Response Response;
    Response.CloseConnection = Received.Path == "/last";
    Response.Headers = {{"X-Path", Received.Path}, {"X-Query", Received.Query}};
    Response.Body = Received.Method + " " + Received.Body;
    return Response;
  }

  http::Response bodyTooLarge() const override { return {413, {}, "large"}; }

  std::atomic<bool> SawClose = false;
};

struct Fixture {
  EchoHandler Handler;
  std::unique_ptr<http::Server> Server;
  http::Client Client;

  Fixture() {
    http::ServerSettings Settings;
    Settings.MaxBodyBytes = 1000;
    Server = http::Server::start(Settings, Handler).value();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Server->port());
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture,
                  "path and query are received unchanged and percent-encoded") {
  const auto Result =
      Client.exchange(url(), {"PUT", "/a%2Fb/../c", "x=%20&y", {}, "body"}, {});
  REQUIRE(Result.Status == http::ExchangeStatus::Completed);
  CHECK(Result.Response.Body == "PUT body");
  CHECK(http::findHeader(Result.Response.Headers, "x-path") == "/a%2Fb/../c");
  CHECK(http::findHeader(Result.Response.Headers, "X-QUERY") == "x=%20&y");
}

TEST_CASE_FIXTURE(Fixture, "a body over the limit is refused, and the server "
                           "continues to serve requests") {
  const http::Request Large{"POST", "/", "", {}, std::string(1001, 'x')};
  const auto Refused = Client.exchange(url(), Large, {});
  CHECK(Refused.Response.Status == 413);
  const http::Request Fits{"POST", "/", "", {}, std::string(1000, 'x')};
  CHECK(Client.exchange(url(), Fits, {}).Response.Status == 200);
}

// A refusal may claim that a request was not run only if it was never sent.
TEST_CASE_FIXTURE(Fixture, "a failed connection gives the status NotSent") {
  const std::string Url = url();
  Server.reset();
  const auto Result = Client.exchange(Url, {"GET", "/", "", {}, ""}, {});
  CHECK(Result.Status == http::ExchangeStatus::NotSent);
}

TEST_CASE("a connection attempt that times out gives the status NotSent") {
  // The kernel doesn't respond to connection attempts while the accept queue of
  // a listening socket is full.
  const int Listening = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  auto *Raw = reinterpret_cast<sockaddr *>(&Address);
  REQUIRE(bind(Listening, Raw, Length) == 0);
  REQUIRE(listen(Listening, 0) == 0);
  getsockname(Listening, Raw, &Length);
  const int Filler = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(Filler, Raw, Length) == 0);

  http::Client Client;
  http::ExchangeOptions Options;
  Options.ConnectTimeout = 200ms;
  const std::string Url =
      "http://127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  const auto Result = Client.exchange(Url, {"GET", "/", "", {}, ""}, Options);
  CHECK(Result.Status == http::ExchangeStatus::NotSent);
  close(Filler);
  close(Listening);
}

TEST_CASE_FIXTURE(Fixture, "a server that does not respond in time gives the "
                           "status TimedOut, since it may run the request") {
  http::ExchangeOptions Options;
  Options.Timeout = 200ms;
  for (int Round = 0; Round < 2; ++Round) {
    const auto Result =
        Client.exchange(url(), {"GET", "/slow", "", {}, ""}, Options);
    CHECK(Result.Status == http::ExchangeStatus::TimedOut);
    Client.exchange(url(), {"GET", "/", "", {}, ""}, {});
  }
}

TEST_CASE_FIXTURE(Fixture, "the handler detects that a cancelled exchange has "
                           "closed its connection") {
  std::atomic<bool> Cancel = false;
  std::thread Canceller([&Cancel] {
    std::this_thread::sleep_for(50ms);
    Cancel = true;
  });
  http::ExchangeOptions Options;
  Options.Cancel = &Cancel;
  Options.FreshConnection = true;
  const auto Result =
      Client.exchange(url(), {"GET", "/slow", "", {}, ""}, Options);
  Canceller.join();
  CHECK(Result.Status == http::ExchangeStatus::Cancelled);
  for (int Round = 0; Round < 500 && !Handler.SawClose; ++Round)
    std::this_thread::sleep_for(10ms);
  CHECK(Handler.SawClose);
}

TEST_CASE_FIXTURE(Fixture, "a response can close its connection, so that "
                           "callers move away from a draining server") {
  const auto Kept = Client.exchange(url(), {"GET", "/", "", {}, ""}, {});
  CHECK_FALSE(http::findHeader(Kept.Response.Headers, "connection") == "close");
  const auto Last = Client.exchange(url(), {"GET", "/last", "", {}, ""}, {});
  CHECK(http::findHeader(Last.Response.Headers, "connection") == "close");
}

TEST_CASE("percent-decoding rejects malformed escapes and zero bytes") {
  CHECK(http::percentDecode("a%2fb") == "a/b");
  CHECK_FALSE(http::percentDecode("%"));
  CHECK_FALSE(http::percentDecode("%2"));
  CHECK_FALSE(http::percentDecode("%zz"));
  CHECK_FALSE(http::percentDecode("%00"));
}
