#include "http/asyncserver.h"
#include "http/functionhandler.h"
#include "http/server.h"
#include "http/tests/rawcaller.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBodyBytes = 36'000;
/// Time in which all that can be sent to a caller that doesn't read is sent.
constexpr auto kUntilFull = 100ms;

/// The path of the request, and bytes up to `kBodyBytes`.
std::string bodyFor(const std::string &Path) {
  std::string Result = Path + " ";
  Result.resize(kBodyBytes, 'x');
  return Result;
}

/// Both kinds of servers, with the same responses.
class BothServers final : public http::Handler {
public:
  BothServers()
      : AsyncHandler([](const http::Request &Received) {
          return http::Response{200, {}, bodyFor(Received.Path)};
        }),
        Async(http::AsyncServer::start({}, Loop, AsyncHandler).value()),
        Threaded(http::Server::start({}, *this).value()),
        Runner([this] { Loop.run(); }) {}

  ~BothServers() override {
    Loop.post([this] { Loop.stop(); });
    Runner.join();
  }

  http::Response handle(http::Request Received,
                        const http::CallerConnection &) override {
    return {200, {}, bodyFor(Received.Path)};
  }
  http::Response bodyTooLarge() const override { return {413, {}, ""}; }

  std::uint16_t port(bool IsAsync) const {
    return IsAsync ? Async->port() : Threaded->port();
  }

private:
  base::SystemClock Clock;
  eventloop::EventLoop Loop{Clock};
  http::FunctionHandler AsyncHandler;
  std::unique_ptr<http::AsyncServer> Async;
  std::unique_ptr<http::Server> Threaded;
  std::thread Runner;
};

std::string requests(int Count) {
  std::string Result;
  for (int Number = 1; Number <= Count; ++Number)
    Result += "GET /" + std::to_string(Number) + " HTTP/1.1\r\nHost: a\r\n" +
              (Number == Count ? "Connection: close\r\n" : "") + "\r\n";
  return Result;
}

/// Number of responses in order, from the first request on.
int responsesInOrder(const std::string &Received) {
  std::size_t At = 0;
  for (int Number = 1;; ++Number) {
    const std::size_t HeadEnd = Received.find("\r\n\r\n", At);
    if (HeadEnd == std::string::npos)
      return Number - 1;
    const std::string Body = Received.substr(HeadEnd + 4, kBodyBytes);
    if (Body != bodyFor("/" + std::to_string(Number)))
      return Number - 1;
    At = HeadEnd + 4 + kBodyBytes;
  }
}

} // namespace

// Guards against requests that are read while the caller doesn't read its
// responses, and are never answered.
TEST_CASE("all pipelined requests of a caller that reads late get a response") {
  const BothServers Servers;
  for (const bool IsAsync : {true, false})
    for (const int Count : {1, 2, 16, 17, 33, 170, 500}) {
      CAPTURE(IsAsync);
      CAPTURE(Count);
      RawCaller Caller(Servers.port(IsAsync));
      Caller.send(requests(Count));
      std::this_thread::sleep_for(kUntilFull);
      CHECK(responsesInOrder(Caller.readToEnd()) == Count);
      CHECK(Caller.endedCleanly());
    }
}

// Guards against the same with a caller that reads in small parts, so that the
// server can send a part at a time.
TEST_CASE("all pipelined requests of a caller that reads slowly get a "
          "response") {
  const BothServers Servers;
  for (const bool IsAsync : {true, false}) {
    CAPTURE(IsAsync);
    constexpr int Count = 60;
    constexpr std::size_t PartBytes = 20'000;
    RawCaller Caller(Servers.port(IsAsync), 4096);
    Caller.send(requests(Count));
    std::string Received;
    for (std::size_t Before = 1; Before != Received.size();) {
      Before = Received.size();
      Received += Caller.read(PartBytes);
      std::this_thread::sleep_for(1ms);
    }
    CHECK(responsesInOrder(Received) == Count);
    CHECK(Caller.endedCleanly());
  }
}

// Guards against a malformed request behind others that is never answered.
TEST_CASE("a malformed request behind unread responses gets a response") {
  const BothServers Servers;
  constexpr int Count = 60;
  std::string Sent = requests(Count);
  Sent.erase(Sent.rfind("Connection: close\r\n"), 19);
  RawCaller Caller(Servers.port(true));
  Caller.send(Sent + "nonsense\r\n\r\n");
  std::this_thread::sleep_for(kUntilFull);
  const std::string Received = Caller.readToEnd();
  CHECK(responsesInOrder(Received) == Count);
  CHECK(Received.find("HTTP/1.1 400 ") != std::string::npos);
}
