#include "http/asyncclient.h"
#include "http/asyncserver.h"
#include "http/client.h"
#include "http/functionhandler.h"
#include "http/server.h"
#include "http/tests/partsserver.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

/// Less than the timeout of the exchanges.
constexpr auto kAtOnce = 1s;

constexpr const char *kHead = "\r\nAttempt: own\r\nContent-Length: 4\r\n\r\n";

http::Request request() {
  http::Request Message;
  Message.Method = "GET";
  Message.Path = "/";
  return Message;
}

/// Sends a request with either client.
http::ExchangeResult fetch(bool Blocking, const std::string &Url) {
  if (Blocking)
    return http::Client().exchange(Url, request(), {});
  base::SystemClock Clock;
  eventloop::EventLoop Loop(Clock);
  http::AsyncClient Client(Loop);
  http::ExchangeResult Completion;
  Client.start(Url, request(), {}, [&](http::ExchangeResult Result) {
    Completion = std::move(Result);
    Loop.stop();
  });
  Loop.run();
  return Completion;
}

/// A handler of `http::Server` whose responses have a given status.
class StatusHandler final : public http::Handler {
public:
  http::Response handle(http::Request,
                        const http::CallerConnection &) override {
    return {Status, {}, "done"};
  }
  http::Response bodyTooLarge() const override { return {413, {}, ""}; }

  std::uint16_t Status = 200;
};

} // namespace

// Guards against a response with a status that is none, which counts as an
// answer of the server.
TEST_CASE("a response with an invalid status line is rejected at once") {
  for (const bool Blocking : {false, true})
    for (const std::string Line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 000",     "HTTP/1.1 001 OK",
          "HTTP/1.1 099 OK", "HTTP/1.1 99 OK",   "HTTP/1.1 600 OK",
          "HTTP/1.1 999 OK", "HTTP/1.1 1000 OK", "HTTP/1.1 2000 OK",
          "HTTP/1.1 20 OK",  "HTTP/1.1 2",       "HTTP/1.1 -20 OK",
          "HTTP/1.1 2x0 OK", "HTTP/1.1 abc OK",  "HTTP/1.1 ",
          "HTTP/1.1",        "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
          "HTTP/1.1200 OK",  "HTTP/1.1 200OK",   "HTTP/1.1 65736 OK",
          "HTTP/2 200",      "HTTP/9.9 200 OK",  "http/1.1 200",
          "ICY 200 OK",      "200 OK",           "nonsense",
          "\x01\xff 200 OK"}) {
      CAPTURE(Blocking);
      CAPTURE(Line);
      PartsServer Server({Line + kHead + "done"});
      const base::SystemClock Clock;
      const base::BootTime Started = Clock.now();
      const auto Result = fetch(Blocking, Server.url());
      CHECK(Result.Status == http::ExchangeStatus::Broken);
      CHECK(!Result.Detail.empty());
      CHECK(Clock.now() - Started < kAtOnce);
    }
}

// Guards against a valid status that is rejected with the others.
TEST_CASE("a response with a status of any class is accepted") {
  for (const bool Blocking : {false, true})
    for (const char *Status : {"200", "299", "302", "404", "503", "599"}) {
      CAPTURE(Blocking);
      CAPTURE(std::string(Status));
      PartsServer Server({std::string("HTTP/1.1 ") + Status + kHead + "done"});
      const auto Result = fetch(Blocking, Server.url());
      CHECK(Result.Status == http::ExchangeStatus::Completed);
      CHECK(std::to_string(Result.Response.Status) == Status);
      CHECK(Result.Response.Body == "done");
    }
}

// Guards against a process that ends, or a connection that is closed without a
// response, because a response to be sent has a status that is none.
TEST_CASE("a server sends 502 in place of an invalid status") {
  base::SystemClock Clock;
  for (const int Status : {0, 99, 101, 199, 600, 999, 1000, 65535}) {
    CAPTURE(Status);
    eventloop::EventLoop Loop(Clock);
    http::FunctionHandler Handler([Status](const http::Request &) {
      return http::Response{static_cast<std::uint16_t>(Status), {}, "done"};
    });
    const auto Server = http::AsyncServer::start({}, Loop, Handler).value();
    http::AsyncClient Client(Loop);
    http::ExchangeResult Completion;
    Client.start("http://127.0.0.1:" + std::to_string(Server->port()),
                 request(), {}, [&](http::ExchangeResult Result) {
                   Completion = std::move(Result);
                   Loop.stop();
                 });
    Loop.run();
    CHECK(Completion.Response.Status == 502);
    CHECK(Completion.Response.Body.empty());

    StatusHandler Blocking;
    Blocking.Status = static_cast<std::uint16_t>(Status);
    const auto Threaded = http::Server::start({}, Blocking).value();
    const auto Result = http::Client().exchange(
        "http://127.0.0.1:" + std::to_string(Threaded->port()), request(), {});
    CHECK(Result.Response.Status == 502);
    CHECK(Result.Response.Body.empty());
  }
}
