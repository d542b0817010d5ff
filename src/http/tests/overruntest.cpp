#include "http/asyncclient.h"
#include "http/client.h"
#include "http/tests/partsserver.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr base::Duration kTimeout = 2s;
/// A pause of a server that breaks off, longer than those within a response.
constexpr base::Duration kLongPause = 60ms;

const std::string kBody = "the booking is confirmed; this is the end\n";

std::string headOf(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nAttempt: own\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n";
}

const std::string kWhole = headOf(kBody) + kBody;

/// Sends a request with either client.
http::ExchangeResult fetch(bool Blocking, const std::string &Url) {
  http::Request Message;
  Message.Method = "GET";
  Message.Path = "/";
  if (Blocking) {
    http::ExchangeOptions Options;
    Options.Timeout = kTimeout;
    return http::Client().exchange(Url, Message, Options);
  }
  base::SystemClock Clock;
  eventloop::EventLoop Loop(Clock);
  http::AsyncClient Client(Loop);
  http::TransferOptions Options;
  Options.Timeout = kTimeout;
  Options.Identity = {"Attempt", "own"};
  http::ExchangeResult Completion;
  Client.start(Url, Message, Options, [&](http::ExchangeResult Result) {
    Completion = std::move(Result);
    Loop.stop();
  });
  Loop.run();
  return Completion;
}

bool isOverrun(const http::ExchangeResult &Result) {
  return Result.Status == http::ExchangeStatus::Broken &&
         Result.End == http::ResponseEnd::Overrun && !Result.Detail.empty();
}

bool isWhole(const http::ExchangeResult &Result) {
  return Result.Status == http::ExchangeStatus::Completed &&
         Result.Response.Status == 200 && Result.Response.Body == kBody;
}

} // namespace

// Guards against a body of which the end is bytes that belong to no response,
// because the server broke off and something else followed on the connection.
TEST_CASE("a truncated response is not completed by stray bytes") {
  for (const bool Blocking : {false, true})
    for (std::size_t Missing = 1; Missing <= kBody.size(); Missing += 5)
      for (const std::size_t Excess : {1, 11, 300, 20'000}) {
        CAPTURE(Blocking);
        CAPTURE(Missing);
        CAPTURE(Excess);
        const std::string Part = kWhole.substr(0, kWhole.size() - Missing);
        const std::string Stray(Missing + Excess, '#');
        PartsServer Paused({Part, Stray});
        CHECK(isOverrun(fetch(Blocking, Paused.url())));
        PartsServer AtOnce({Part + Stray}, true);
        CHECK(isOverrun(fetch(Blocking, AtOnce.url())));
      }
}

// Guards against stray bytes of which those behind the body arrive late.
TEST_CASE("a truncated response is not completed by stray bytes in parts") {
  for (const bool Blocking : {false, true})
    for (std::size_t Missing = 1; Missing <= kBody.size(); Missing += 10) {
      CAPTURE(Blocking);
      CAPTURE(Missing);
      std::vector<std::string> Parts(kLongPause / PartsServer::kArrivalTime);
      Parts.front() = kWhole.substr(0, kWhole.size() - Missing);
      Parts.push_back(std::string(Missing, '#'));
      Parts.push_back(std::string(300, '#'));
      PartsServer Server(Parts);
      CHECK(isOverrun(fetch(Blocking, Server.url())));
    }
}

// Guards against a response whose length ends where the receive buffer does,
// so that the bytes behind it have not been read.
TEST_CASE("a long truncated response is not completed by stray bytes") {
  for (const bool Blocking : {false, true})
    for (const std::size_t Size : {8'000U, 16'384U, 100'000U, 300'000U}) {
      CAPTURE(Blocking);
      CAPTURE(Size);
      const std::string Body(Size, 'x');
      const std::string Whole = headOf(Body) + Body;
      PartsServer Server(
          {Whole.substr(0, Whole.size() - 40), std::string(40 + 300, '#')});
      CHECK(isOverrun(fetch(Blocking, Server.url())));
    }
}

// Guards against a sound response that is discarded because the server sends
// another one right behind it.
TEST_CASE("a whole response counts although another one is behind it") {
  const std::string Other = "HTTP/1.1 503 Service Unavailable\r\n"
                            "Attempt: earlier\r\nContent-Length: 0\r\n\r\n";
  for (const bool Blocking : {false, true})
    for (const std::string &Behind : {kWhole, Other, kWhole + Other}) {
      CAPTURE(Blocking);
      CAPTURE(Behind);
      PartsServer AtOnce({kWhole + Behind});
      CHECK(isWhole(fetch(Blocking, AtOnce.url())));
      PartsServer Later({kWhole, Behind});
      CHECK(isWhole(fetch(Blocking, Later.url())));
    }
}

// Guards against a sound response that is discarded because the server closes
// the connection behind it or is slow.
TEST_CASE("a whole response counts however it arrives") {
  for (const bool Blocking : {false, true})
    for (std::size_t Cut = 1; Cut < kWhole.size(); Cut += 9) {
      CAPTURE(Blocking);
      CAPTURE(Cut);
      PartsServer Server({kWhole.substr(0, Cut), kWhole.substr(Cut)},
                         Cut % 2 == 0, Cut % 3 == 0 ? kLongPause : 3ms);
      CHECK(isWhole(fetch(Blocking, Server.url())));
    }
}

// Guards against a success whose body is not in question that is discarded.
TEST_CASE("a response without a body counts although bytes are behind it") {
  for (const bool Blocking : {false, true})
    for (const char *Head : {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                             "HTTP/1.1 204 No Content\r\n\r\n"}) {
      CAPTURE(Blocking);
      CAPTURE(Head);
      PartsServer Server({Head + std::string(300, '#')}, true);
      const auto Result = fetch(Blocking, Server.url());
      CHECK(Result.Status == http::ExchangeStatus::Completed);
      CHECK(Result.Response.Body.empty());
    }
}

// Guards against a chunked body that ends early, because the rest of a chunk
// size is lost with stray bytes on its line.
TEST_CASE("a truncated chunked response is not completed by stray bytes") {
  const std::string Whole = "HTTP/1.1 200 OK\r\nAttempt: own\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "0014;note=1\r\n01234567890123456789\r\n"
                            "0014\r\n01234567890123456789\r\n0\r\n";
  const std::size_t HeadEnd = Whole.find("\r\n\r\n") + 4;
  for (const bool Blocking : {false, true})
    for (const std::string Stray :
         {"panic: no memory\n\n\n", "####\r\n\r\n", "\n\r\nnote: x\r\n\r\n"})
      for (std::size_t Cut = HeadEnd; Cut + 5 < Whole.size(); ++Cut) {
        CAPTURE(Blocking);
        CAPTURE(Stray);
        CAPTURE(Whole.substr(0, Cut));
        PartsServer Server({Whole.substr(0, Cut) + Stray}, true);
        CHECK(fetch(Blocking, Server.url()).Status ==
              http::ExchangeStatus::Broken);
      }
}
