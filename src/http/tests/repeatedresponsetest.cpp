#include "http/asyncclient.h"
#include "http/tests/partsserver.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr auto kTimeout = 2s;

/// Just below the longest head.
constexpr std::size_t kSearchedBytes = 60'000;
/// Far longer than a search that looks at each byte a few times takes.
constexpr auto kMaxSearchTime = 5s;

const std::string kBody = "a body with HTTP/1.1 in it, then the end";

std::string headOf(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nDate: today\r\nAttempt: own\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n";
}

struct Fixture {
  http::ExchangeResult exchange(const std::string &Url) {
    http::Request Message;
    Message.Method = "GET";
    Message.Path = "/";
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

  base::SystemClock Clock;
  eventloop::EventLoop Loop{Clock};
  http::AsyncClient Client{Loop};
};

bool beganAgain(const http::ExchangeResult &Result) {
  return Result.Status == http::ExchangeStatus::Broken &&
         Result.End == http::ResponseEnd::BeganAgain;
}

} // namespace

// Guards against a body that is the first part of one copy of a response and
// the beginning of another.
TEST_CASE_FIXTURE(Fixture, "a response that is cut and sent again is rejected "
                           "wherever it is cut") {
  const std::string Whole = headOf(kBody) + kBody;
  for (std::size_t Cut = headOf(kBody).size(); Cut < Whole.size(); ++Cut) {
    CAPTURE(Cut);
    PartsServer Server({Whole.substr(0, Cut), Whole});
    CHECK(beganAgain(exchange(Server.url())));
  }
}

// Guards against a second copy that isn't noticed because only what the first
// one lacks of its length has arrived yet.
TEST_CASE_FIXTURE(Fixture, "a response that is cut and sent again in parts is "
                           "rejected") {
  const std::string Whole = headOf(kBody) + kBody;
  for (std::size_t Missing = 1; Missing <= kBody.size(); ++Missing) {
    CAPTURE(Missing);
    PartsServer Server({Whole.substr(0, Whole.size() - Missing),
                        Whole.substr(0, Missing), Whole.substr(Missing)});
    CHECK(beganAgain(exchange(Server.url())));
  }
}

// Guards against a body that is filled with the response to an earlier request.
TEST_CASE_FIXTURE(Fixture, "a response that is cut before another one is "
                           "rejected") {
  const std::string Whole = headOf(kBody) + kBody;
  std::string Other = Whole;
  SUBCASE("with another id") { Other.replace(Other.find("own"), 3, "earlier"); }
  SUBCASE("without an id") { Other.erase(Other.find("Attempt"), 14); }
  for (std::size_t Missing = 1; Missing <= kBody.size(); ++Missing) {
    CAPTURE(Missing);
    PartsServer Server(
        {Whole.substr(0, Whole.size() - Missing), Other + Other});
    CHECK(exchange(Server.url()).Status == http::ExchangeStatus::Broken);
  }
  const std::string Long(400, 'x');
  const std::string LongWhole = headOf(Long) + Long;
  for (std::size_t Missing = 1; Missing < Other.size(); Missing += 3) {
    CAPTURE(Missing);
    PartsServer Server(
        {LongWhole.substr(0, LongWhole.size() - Missing), Other});
    CHECK(exchange(Server.url()).Status == http::ExchangeStatus::Broken);
  }
}

// Guards against the parts of a long response that is sent again after many
// reads.
TEST_CASE_FIXTURE(Fixture, "a long response that is cut and sent again is "
                           "rejected") {
  const std::string Body(200'000, 'H');
  const std::string Whole = headOf(Body) + Body;
  for (const std::size_t Missing : {1, 5, 20, 40, 60, 100, 100'000}) {
    CAPTURE(Missing);
    PartsServer Server({Whole.substr(0, Whole.size() - Missing), Whole});
    CHECK(beganAgain(exchange(Server.url())));
  }
}

// Guards against a second copy that is taken for the trailers of the first one,
// because that was cut within a chunk size with leading zeros.
TEST_CASE_FIXTURE(Fixture, "a chunked response that is cut and sent again is "
                           "rejected wherever it is cut") {
  const std::string Head = "HTTP/1.1 200 OK\r\nAttempt: own\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Whole = Head + "0014\r\n" + std::string(20, 'x') +
                            "\r\n0014\r\n" + std::string(20, 'y') +
                            "\r\n0000\r\n\r\n";
  const std::size_t LastChunk = Whole.find("0000");
  for (std::size_t Cut = Head.size(); Cut <= LastChunk; ++Cut) {
    CAPTURE(Cut);
    PartsServer Server({Whole.substr(0, Cut), Whole}, true);
    CHECK(exchange(Server.url()).Status == http::ExchangeStatus::Broken);
  }
}

// Guards against a server that keeps the client busy with the search of a body
// that it sends byte by byte.
TEST_CASE_FIXTURE(Fixture, "a body in small chunks is searched in a short "
                           "time") {
  std::string Body = "HTTP/1.1 200 OK\r\n";
  while (Body.size() < kSearchedBytes)
    Body += "a: b\r\n";
  std::string Chunks;
  for (const char Each : Body)
    Chunks += std::string("1\r\n") + Each + "\r\n";
  PartsServer Server({"HTTP/1.1 200 OK\r\nAttempt: own\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" +
                      Chunks + "0\r\n\r\n"});
  const base::BootTime Started = Clock.now();
  const auto Result = exchange(Server.url());
  CHECK(Clock.now() - Started < kMaxSearchTime);
  CHECK(Result.Status == http::ExchangeStatus::Completed);
  CHECK(Result.Response.Body == Body);
}

// Guards against whole responses that are rejected, or whose connections aren't
// reused, because of what their bodies contain or end with.
TEST_CASE_FIXTURE(Fixture, "a whole response is accepted whatever its body "
                           "contains or ends with") {
  for (const std::string &Body :
       {std::string("H"), std::string("GET / HTTP/1.1\" 200"),
        std::string("HTTP/1.1 200"), headOf("").substr(0, 30),
        std::string("GET / HTTP/1.1\r\nAttempt: own\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nAttempt: other\r\n\r\ndone")}) {
    CAPTURE(Body);
    const std::string Whole = headOf(Body) + Body;
    for (const std::size_t Cut : {Whole.size(), Whole.size() - 1}) {
      PartsServer Server({Whole.substr(0, Cut), Whole.substr(Cut)});
      for (int Count = 0; Count < 3; ++Count) {
        const auto Result = exchange(Server.url());
        CHECK(Result.Status == http::ExchangeStatus::Completed);
        CHECK(Result.Response.Body == Body);
      }
      CHECK(Server.Connections == 1);
    }
    PartsServer Closing({Whole}, true);
    CHECK(exchange(Closing.url()).Response.Body == Body);
    const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    PartsServer WithInterim({Interim + Whole});
    for (int Count = 0; Count < 3; ++Count)
      CHECK(exchange(WithInterim.url()).Response.Body == Body);
    CHECK(WithInterim.Connections == 1);
  }
}
