#include "relay/tests/rawcaller.h"
#include "relay/tests/scriptedbackend.h"
#include "relay/tests/testfleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

/// Time after which no more bytes follow the head of a response.
constexpr auto kQuiet = 80ms;
/// Longer than the timeout of the routes.
constexpr auto kPastTimeout = 1500ms;
const std::string kBody = "thirty bytes in a whole body..";

/// What a server states about the end of its responses.
struct ServerFraming {
  const char *Name;
  const char *StatusLine;
  const char *Header;
  std::string Body;
  const char *Method = "POST";
};

const ServerFraming kLength{"length", "HTTP/1.1 200 OK",
                            "Content-Length: 30\r\n", kBody};
const ServerFraming kChunks{"chunks", "HTTP/1.1 200 OK",
                            "Transfer-Encoding: chunked\r\n",
                            "a\r\n" + kBody.substr(0, 10) + "\r\n14\r\n" +
                                kBody.substr(10) + "\r\n0\r\n\r\n"};
const ServerFraming kTrailer{
    "trailer", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
    "1e\r\n" + kBody + "\r\n0\r\nX-Trailer: 1\r\n\r\n"};
const ServerFraming kNoLastChunk{"no last chunk", "HTTP/1.1 200 OK",
                                 "Transfer-Encoding: chunked\r\n",
                                 "1e\r\n" + kBody + "\r\n"};
const ServerFraming kNone{"none", "HTTP/1.1 200 OK", "", kBody};
const ServerFraming kNone10{"none, HTTP/1.0", "HTTP/1.0 200 OK", "", kBody};
const ServerFraming kOtherCoding{"another coding", "HTTP/1.1 200 OK",
                                 "Transfer-Encoding: gzip\r\n", kBody};
const ServerFraming kStatus000{"status 000", "HTTP/1.1 000 OK",
                               "Content-Length: 30\r\n", kBody};
const ServerFraming kStatus099{"status 099", "HTTP/1.1 099 OK",
                               "Content-Length: 30\r\n", kBody};
const ServerFraming kStatus600{"status 600", "HTTP/1.1 600 OK",
                               "Content-Length: 30\r\n", kBody};
const ServerFraming kStatus1000{"status 1000", "HTTP/1.1 1000 OK", "", kBody};
const ServerFraming kNoStatusLine{"no status line", "nonsense", "", kBody};

enum class ServerEnd {
  Open,
  Close,
  Reset,
  HalfClose,
  /// Another response follows at once.
  Response,
  /// Bytes that belong to no response follow after a pause, or at once.
  StrayAfterPause,
  Stray,
};

/// More than what is missing of a part of a response.
const std::string kStray(300, '#');

struct Cell {
  const ServerFraming *Framing;
  /// Whether the server sends the whole response or a part of it.
  bool Whole;
  ServerEnd End;
  /// What the caller is told.
  std::vector<int> Statuses;
  /// Whether a success states a length.
  bool HasLength = true;
};

std::string responseText(const ServerFraming &Framing,
                         const std::string &Attempt) {
  return std::string(Framing.StatusLine) + "\r\nAttempt: " + Attempt +
         "\r\nSignature: s\r\n" + Framing.Header + "\r\n" + Framing.Body;
}

ScriptedBackend::Reaction reactionOf(const Cell &Case,
                                     const std::string &Request) {
  const std::string Whole =
      responseText(*Case.Framing, headerIn(Request, "Attempt"));
  ScriptedBackend::Reaction Result;
  Result.Bytes = Case.Whole ? Whole : Whole.substr(0, Whole.size() - 12);
  Result.Hang = Case.End == ServerEnd::Open && !Case.Whole;
  Result.Close = Case.End == ServerEnd::Close;
  Result.Reset = Case.End == ServerEnd::Reset;
  Result.HalfClose = Case.End == ServerEnd::HalfClose;
  if (Case.End == ServerEnd::Response)
    Result.Bytes += responseText(kLength, "earlier");
  if (Case.End == ServerEnd::Stray)
    Result.Bytes += kStray;
  if (Case.End == ServerEnd::StrayAfterPause)
    Result.AfterPause = kStray;
  return Result;
}

/// Checks what a caller has received for one request.
void checkResponse(const Cell &Case, const RawCaller &Caller) {
  const std::string &Text = Caller.Received;
  CAPTURE(Text);
  CAPTURE(Caller.Closed);
  REQUIRE(Text.starts_with("HTTP/1.1 "));
  const int Status = std::stoi(Text.substr(9, 3));
  CHECK(std::count(Case.Statuses.begin(), Case.Statuses.end(), Status) == 1);
  CHECK(!Caller.Reset);
  if (Status != 200)
    return;
  const std::string Head = Text.substr(0, Text.find("\r\n\r\n") + 4);
  const std::string Body = Text.substr(Head.size());
  CHECK((headerIn(Head, "Content-Length") == "30") == Case.HasLength);
  CHECK(headerIn(Head, "Transfer-Encoding").empty());
  if (Case.HasLength) {
    CHECK(Body == kBody);
  } else {
    // The end of the connection is all that the caller is told.
    CHECK(kBody.starts_with(Body));
    CHECK(headerIn(Head, "Content-Length").empty());
    CHECK(Caller.Closed);
  }
}

/// A response to `Request` without a length, which ends with its connection.
ScriptedBackend::Reaction respondUntilClose(const std::string &Request,
                                            const std::string &Body) {
  ScriptedBackend::Reaction Result;
  Result.Bytes = "HTTP/1.1 200 OK\r\nAttempt: " + headerIn(Request, "Attempt") +
                 "\r\nSignature: s\r\n\r\n" + Body;
  Result.Close = true;
  return Result;
}

} // namespace

// Guards against a part of a response that looks whole to the caller, because a
// daemon gives it the length of what has arrived.
TEST_CASE("a response that ends with its connection reaches the caller without "
          "a length") {
  const std::string Body(300, 'x');
  ScriptedBackend Front([](const std::string &Request) {
    return ScriptedBackend::Reaction{successFor(Request)};
  });
  ScriptedBackend Back([&](const std::string &Request) {
    return respondUntilClose(Request, Body);
  });
  TestFleet Fleet;
  const std::size_t Remote = Fleet.addDaemon("front", Front.url());
  const std::size_t Local = Fleet.addDaemon("back", Back.url());
  Fleet.publish(simplePolicy("back"));
  Fleet.waitUntilConnected();
  for (const std::size_t Entry : {Remote, Local}) {
    for (const char *Path : {"/safe/x", "/once/x", "/open/x"}) {
      CAPTURE(Entry);
      CAPTURE(Path);
      const auto Result = Fleet.sendAndWait(
          Entry, callerRequest("POST", Path, Path + std::to_string(Entry)));
      CHECK(Result.Status == http::ExchangeStatus::Completed);
      CHECK(Result.Response.Status == 200);
      CHECK(Result.Response.Body == Body);
      CHECK(Result.Response.Framing == http::BodyFraming::UntilClose);
    }
  }
}

// Guards against a caller that is told more about the end of a response than
// its server has stated.
TEST_CASE("a caller is told of each end of a response what its server stated") {
  using End = ServerEnd;
  const std::vector<Cell> Cells = {
      {&kLength, true, End::Open, {200}},
      {&kLength, true, End::Close, {200}},
      {&kLength, true, End::HalfClose, {200}},
      {&kLength, true, End::Response, {200}},
      {&kLength, false, End::Open, {504}},
      {&kLength, false, End::Close, {502}},
      {&kLength, false, End::Reset, {502}},
      {&kLength, false, End::HalfClose, {502}},
      {&kLength, false, End::Response, {502}},
      {&kLength, true, End::Stray, {502}},
      {&kLength, false, End::StrayAfterPause, {502}},
      {&kLength, false, End::Stray, {502}},
      {&kChunks, true, End::Open, {200}},
      {&kChunks, true, End::Close, {200}},
      {&kChunks, true, End::HalfClose, {200}},
      {&kChunks, true, End::Response, {200}},
      {&kChunks, false, End::Open, {504}},
      {&kChunks, false, End::Close, {502}},
      {&kChunks, false, End::Reset, {502}},
      {&kChunks, false, End::HalfClose, {502}},
      {&kChunks, false, End::Response, {502, 504}},
      {&kChunks, true, End::Stray, {200}},
      {&kChunks, false, End::StrayAfterPause, {502}},
      {&kChunks, false, End::Stray, {502}},
      {&kTrailer, true, End::Open, {200}},
      {&kTrailer, true, End::Close, {200}},
      {&kTrailer, true, End::Response, {200}},
      {&kTrailer, false, End::Open, {504}},
      {&kTrailer, false, End::Close, {502}},
      {&kTrailer, false, End::Reset, {502}},
      {&kNoLastChunk, true, End::Open, {502, 504}},
      {&kNoLastChunk, true, End::Close, {502}},
      {&kNoLastChunk, true, End::Reset, {502}},
      {&kNoLastChunk, true, End::HalfClose, {502}},
      {&kNoLastChunk, true, End::Response, {502, 504}},
      {&kNoLastChunk, true, End::StrayAfterPause, {502}},
      {&kNoLastChunk, true, End::Stray, {502}},
      {&kNone, true, End::Open, {504}},
      {&kNone, true, End::Close, {200}, false},
      {&kNone, true, End::HalfClose, {200}, false},
      {&kNone, true, End::Reset, {502}},
      {&kNone, false, End::StrayAfterPause, {504}},
      {&kNone, false, End::Open, {504}},
      {&kNone, false, End::Close, {200}, false},
      {&kNone, false, End::HalfClose, {200}, false},
      {&kNone, false, End::Reset, {502}},
      {&kNone10, true, End::Close, {200}, false},
      {&kNone10, true, End::Reset, {502}},
      {&kNone10, false, End::Open, {504}},
      {&kNone10, false, End::Close, {200}, false},
      {&kNone10, false, End::HalfClose, {200}, false},
      {&kOtherCoding, true, End::Close, {502}},
      {&kOtherCoding, false, End::Reset, {502}},
      {&kOtherCoding, false, End::Close, {502}},
      {&kStatus000, true, End::Open, {502}},
      {&kStatus000, false, End::Close, {502}},
      {&kStatus099, true, End::Open, {502}},
      {&kStatus099, true, End::Response, {502}},
      {&kStatus600, true, End::Open, {502}},
      {&kStatus1000, true, End::Close, {502}},
      {&kNoStatusLine, true, End::Open, {502}},
  };
  for (const Cell &Case : Cells) {
    ScriptedBackend Front([](const std::string &Request) {
      return ScriptedBackend::Reaction{successFor(Request)};
    });
    ScriptedBackend Back([&](const std::string &Request) {
      if (headerIn(Request, "Attempt") == "earlier")
        return ScriptedBackend::Reaction{successFor(Request)};
      return reactionOf(Case, Request);
    });
    TestFleet Fleet;
    Fleet.addDaemon("front", Front.url());
    Fleet.addDaemon("back", Back.url());
    Fleet.publish(simplePolicy("back"));
    Fleet.waitUntilConnected();
    std::vector<std::unique_ptr<RawCaller>> Callers;
    for (const std::size_t Entry : {0, 1})
      for (const char *Path : {"/safe/x", "/once/x", "/open/x"}) {
        auto &Caller =
            *Callers.emplace_back(std::make_unique<RawCaller>(Fleet, Entry));
        const bool Kept = Callers.size() % 2 == 0;
        if (Kept) {
          Caller.send(requestText(callerRequest("POST", Path, "earlier")));
          Caller.receive(kPastTimeout);
          CHECK(Caller.Received.starts_with("HTTP/1.1 200 "));
          Caller.Received.clear();
        }
        // Callers of HTTP/1.0 expect the connection to end with the response.
        Caller.send(requestText(
            callerRequest("POST", Path, Path + std::to_string(Entry)),
            Callers.size() % 3 == 0 ? "1.0" : "1.1"));
      }
    for (const auto &Each : Callers) {
      CAPTURE(Case.Framing->Name);
      CAPTURE(Case.Whole);
      CAPTURE(int(Case.End));
      Each->receive(kPastTimeout);
      checkResponse(Case, *Each);
    }
  }
}

// Guards against a sound response that is discarded, or one behind it that is
// spoiled, because of bytes that follow it later.
TEST_CASE("a whole response counts although stray bytes follow it later") {
  for (const ServerFraming *Framing : {&kLength, &kChunks, &kTrailer}) {
    const Cell Case{Framing, true, ServerEnd::StrayAfterPause, {200}};
    ScriptedBackend Back(
        [&](const std::string &Request) { return reactionOf(Case, Request); });
    TestFleet Fleet;
    Fleet.addDaemon("back", Back.url());
    Fleet.publish(simplePolicy("back"));
    for (int Count = 0; Count < 4; ++Count) {
      CAPTURE(Framing->Name);
      CAPTURE(Count);
      const auto Result = Fleet.sendAndWait(
          0,
          callerRequest("POST", "/once/x", "attempt-" + std::to_string(Count)));
      CHECK(Result.Response.Status == 200);
      CHECK(Result.Response.Body == kBody);
      Fleet.runFor(kQuiet);
    }
  }
}

// Guards against a refusal that counts as a request which may have run, because
// its body is spoiled.
TEST_CASE("a refusal with a spoiled body still says that the request has not "
          "run") {
  ScriptedBackend Front([](const std::string &Request) {
    return ScriptedBackend::Reaction{successFor(Request)};
  });
  ScriptedBackend Back([](const std::string &Request) {
    return ScriptedBackend::Reaction{
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt: " +
        headerIn(Request, "Attempt") + "\r\nContent-Length: 30\r\n\r\n" +
        kBody.substr(12) + kStray};
  });
  TestFleet Fleet;
  Fleet.addDaemon("front", Front.url());
  Fleet.addDaemon("back", Back.url());
  Fleet.publish(simplePolicy("back"));
  Fleet.waitUntilConnected();
  for (const std::size_t Entry : {0, 1}) {
    CAPTURE(Entry);
    const auto Result = Fleet.sendAndWait(
        Entry,
        callerRequest("POST", "/once/x", "attempt-" + std::to_string(Entry)));
    CHECK(Result.Response.Status == 503);
    CHECK(Result.Response.Body.find('#') == std::string::npos);
  }
}

// Guards against a length that no server stated, and against the loss of one
// that a server did state.
TEST_CASE(
    "a response without a body states the length that its server stated") {
  struct Expectation {
    const char *Method;
    std::string Response;
    std::string Length;
  };
  const std::string Names = "Attempt: a\r\nSignature: s\r\n";
  for (const Expectation &Each : std::vector<Expectation>{
           {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n", "600"},
           {"HEAD", "HTTP/1.1 200 OK\r\n", ""},
           {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", ""},
           {"HEAD", "HTTP/1.1 404 No\r\nContent-Length: 7\r\n", "7"},
           {"GET", "HTTP/1.1 204 No Content\r\n", ""},
           {"HEAD", "HTTP/1.1 204 No Content\r\n", ""},
           {"GET", "HTTP/1.1 304 Not Modified\r\n", ""},
           {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 600\r\n",
            "600"}}) {
    ScriptedBackend Back([&](const std::string &) {
      return ScriptedBackend::Reaction{Each.Response + Names + "\r\n"};
    });
    TestFleet Fleet;
    Fleet.addDaemon("front", Back.url());
    Fleet.addDaemon("back", Back.url());
    Fleet.publish(simplePolicy("back"));
    Fleet.waitUntilConnected();
    for (const std::size_t Entry : {0, 1}) {
      RawCaller Caller(Fleet, Entry);
      Caller.send(requestText(callerRequest(Each.Method, "/safe/x", "a")));
      Caller.receive(kQuiet);
      CAPTURE(Each.Method);
      CAPTURE(Each.Response);
      CAPTURE(Caller.Received);
      CHECK(Caller.Received.substr(0, 12) == Each.Response.substr(0, 12));
      CHECK(headerIn(Caller.Received, "Content-Length") == Each.Length);
      CHECK(Caller.Received.ends_with("\r\n\r\n"));
      CHECK(!Caller.Closed);
    }
  }
}

// Guards against a part of a response without a length that looks whole,
// because the daemon's process ends before the caller has read the rest.
TEST_CASE("a response without a length that a daemon can't send whole ends "
          "with a reset") {
  const std::string Body(std::size_t{7} << 20, 'x');
  ScriptedBackend Back([&](const std::string &Request) {
    return respondUntilClose(Request, Body);
  });
  TestFleet Fleet;
  Fleet.addDaemon("back", Back.url());
  Fleet.publish(simplePolicy("back"));
  RawCaller Caller(Fleet, 0);
  Caller.send(requestText(callerRequest("POST", "/once/x")));
  Fleet.runFor(500ms);
  Fleet.restartDaemon(0);
  Caller.receive(kPastTimeout);
  CHECK(Caller.Received.size() < Body.size());
  CHECK(Caller.Reset);
  CHECK(!Caller.Closed);
}
