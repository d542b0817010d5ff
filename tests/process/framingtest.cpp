#include "http/tests/rawcaller.h"
#include "http/tests/rawserver.h"
#include "process/fleet.h"

#include <doctest/doctest.h>

#include <string>

using namespace process;

namespace {

constexpr std::size_t kLargeBytes = std::size_t{12} << 20;
constexpr int kSmallBufferBytes = 4096;

const std::string kPart(300, 'x');

/// The response of the backend server, which the query of the request chooses.
std::string respondTo(const std::string &Request) {
  const auto Chooses = [&Request](const char *Name) {
    return Request.substr(0, Request.find('\r')).find(Name) !=
           std::string::npos;
  };
  std::string Version = Chooses("old") ? "HTTP/1.0 " : "HTTP/1.1 ";
  const std::string Ok = Version + "200 OK\r\n";
  for (const char *Invalid : {"000", "099", "600", "999", "1000"})
    if (Chooses(Invalid))
      return Version.append(Invalid)
          .append(" OK\r\nContent-Length: 300\r\n\r\n")
          .append(kPart);
  if (Chooses("204"))
    return Version + "204 No Content\r\n\r\n";
  if (Chooses("304"))
    return Version + "304 Not Modified\r\n\r\n";
  if (Request.starts_with("HEAD"))
    return Ok + (Chooses("length") ? "Content-Length: 600\r\n\r\n" : "\r\n");
  if (Chooses("stray"))
    return Ok + "Content-Length: 600\r\n\r\n" + kPart + std::string(600, '#');
  if (Chooses("again"))
    return Ok + "Content-Length: 600\r\n\r\n" + kPart + Ok +
           "Content-Length: 600\r\n\r\n" + kPart + kPart;
  if (Chooses("padded"))
    return Ok + "Transfer-Encoding: chunked\r\n\r\n12c\r\n" + kPart +
           "\r\n0panic: no memory\n\n\n";
  if (Chooses("length"))
    return Ok + "Content-Length: 600\r\n\r\n" + kPart;
  if (Chooses("whole"))
    return Ok + "Content-Length: 300\r\n\r\n" + kPart;
  if (Chooses("chunk"))
    return Ok + "Transfer-Encoding: chunked\r\n\r\n12c\r\n" + kPart + "\r\n" +
           (Chooses("last") ? "0\r\n\r\n" : "");
  if (Chooses("large"))
    return Ok + "\r\n" + std::string(kLargeBytes, 'x');
  if (Chooses("empty"))
    return Ok + "\r\n";
  return Ok + "\r\n" + kPart;
}

std::uint16_t portOf(const DaemonUnderTest &Daemon) {
  const std::string Url = Daemon.callerUrl();
  return static_cast<std::uint16_t>(std::stoul(Url.substr(Url.rfind(':') + 1)));
}

std::string requestFor(const std::string &Method, const std::string &Target,
                       const std::string &Headers = "",
                       const std::string &Version = "1.1") {
  return Method + " /bookings" + Target + " HTTP/" + Version +
         "\r\nHost: a\r\nJackdaw-Key: " + kGoldKey + "\r\n" + Headers + "\r\n";
}

/// A response as received, to the end of its connection.
struct Received {
  std::string Head;
  std::string Body;
  bool Clean = false;

  bool has(const std::string &Text) const {
    return Head.find(Text) != std::string::npos;
  }
  bool statesFraming() const {
    return has("Content-Length") || has("Transfer-Encoding");
  }
};

Received receive(RawCaller &Caller) {
  const std::string Bytes = Caller.readToEnd();
  const std::size_t End = Bytes.find("\r\n\r\n");
  Received Result;
  Result.Head = Bytes.substr(0, End);
  Result.Body = End == std::string::npos ? "" : Bytes.substr(End + 4);
  Result.Clean = Caller.endedCleanly();
  return Result;
}

Received sendTo(const DaemonUnderTest &Entry, const std::string &Request) {
  RawCaller Caller(portOf(Entry));
  Caller.send(Request);
  return receive(Caller);
}

/// A fleet with a daemon beside the backend server and another one.
struct FramingFleet {
  FramingFleet()
      : Remote(Fleet.addDaemon({.Instance = "remote"})),
        Local(Fleet.addDaemon({.Instance = "local", .Service = "bookings"})) {
    Fleet.configure(
        {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
    Local.registerBackend(Backend.port());
    waitUntilServed("/bookings/open");
  }

  /// Waits until each daemon passes requests to the path on.
  void waitUntilServed(const std::string &Path) const {
    for (const DaemonUnderTest *Each : {&Remote, &Local})
      REQUIRE(FleetUnderTest::waitUntilServed(*Each, Path, kGoldKey));
  }

  RawServer Backend{respondTo};
  FleetUnderTest Fleet;
  DaemonUnderTest &Remote;
  DaemonUnderTest &Local;
};

/// Value of a counter of the daemon; 0 if it has none of that name.
unsigned long counterOf(const DaemonUnderTest &Daemon,
                        const std::string &Name) {
  const std::string Page = fetchPage(Daemon.administrationUrl(), "/metrics");
  const std::string Start = "\n" + Name + " ";
  const std::size_t At = Page.find(Start);
  return At == std::string::npos ? 0
                                 : std::stoul(Page.substr(At + Start.size()));
}

constexpr const char *kClose = "Connection: close\r\n";

} // namespace

TEST_SUITE_BEGIN("framing");

// Guards against a part of a response that looks whole to the caller, because a
// daemon gives it the length of what has arrived.
TEST_CASE_FIXTURE(FramingFleet, "a response without a length reaches the "
                                "caller without one") {
  waitUntilServed("/bookings/orders");
  for (const DaemonUnderTest *Entry : {&Remote, &Local})
    for (const char *Path : {"/pages", "/open", "/orders"})
      for (const char *Server : {"?new", "?old", "?empty"})
        for (const char *Version : {"1.0", "1.1"}) {
          CAPTURE(Entry->Options.Instance);
          CAPTURE(Path);
          CAPTURE(Server);
          CAPTURE(Version);
          const Received Result =
              sendTo(*Entry, requestFor("GET", std::string(Path) + Server,
                                        "Connection: keep-alive\r\n", Version));
          CHECK(Result.has(" 200 OK"));
          CHECK(Result.has("Jackdaw-Outcome: ran"));
          CHECK_FALSE(Result.statesFraming());
          CHECK(Result.has("Connection: close"));
          CHECK(Result.Body == (std::string(Server) == "?empty" ? "" : kPart));
          CHECK(Result.Clean);
        }
  // The requests that waited for the fleet count as well.
  CHECK(counterOf(Local, "responses_until_close_total") > 36);
}

// Guards against a stored response that looks whole when it is returned again.
TEST_CASE_FIXTURE(FramingFleet, "a stored response without a length is "
                                "returned without one") {
  waitUntilServed("/bookings/orders");
  std::string Request;
  // The owner of a record doesn't let a key run that is older than itself.
  REQUIRE(waitUntil([&] {
    Request = requestFor("POST", "/orders",
                         "Idempotency-Key: " + makeIdempotencyKey() + "\r\n" +
                             "Content-Length: 0\r\n" + kClose);
    return sendTo(Remote, Request).has("Jackdaw-Outcome: ran");
  }));
  const int Before = Backend.Requests;
  for (const DaemonUnderTest *Entry : {&Remote, &Local}) {
    CAPTURE(Entry->Options.Instance);
    const Received Repeat = sendTo(*Entry, Request);
    CHECK(Repeat.has("Jackdaw-Outcome: ran"));
    CHECK_FALSE(Repeat.statesFraming());
    CHECK(Repeat.Body == kPart);
    CHECK(Repeat.Clean);
  }
  CHECK(Backend.Requests == Before);
}

// Guards against a response that is cut and passed on as a success.
TEST_CASE_FIXTURE(FramingFleet, "a response that ends before its length or its "
                                "last chunk fails") {
  for (const DaemonUnderTest *Entry : {&Remote, &Local})
    for (const char *Path : {"/pages", "/open"})
      for (const char *Server : {"?length", "?chunk", "?length-old", "?stray",
                                 "?again", "?padded"}) {
        CAPTURE(Entry->Options.Instance);
        CAPTURE(Path);
        CAPTURE(Server);
        const Received Result = sendTo(
            *Entry, requestFor("GET", std::string(Path) + Server, kClose));
        CHECK_FALSE(Result.has(" 200 OK"));
        CHECK(Result.has("Jackdaw-Outcome: unknown"));
        CHECK(Result.Body.find(kPart) == std::string::npos);
      }
  for (const char *Server : {"?whole", "?chunk-last"}) {
    CAPTURE(Server);
    const Received Result = sendTo(
        Remote, requestFor("GET", std::string("/pages") + Server, kClose));
    CHECK(Result.has("Content-Length: 300"));
    CHECK(Result.Body == kPart);
  }
}

// Guards against a status that is none, which counts as an answer of the server
// or ends the connection without one.
TEST_CASE_FIXTURE(FramingFleet, "a response with an invalid status fails") {
  for (const DaemonUnderTest *Entry : {&Remote, &Local})
    for (const char *Path : {"/pages", "/open"})
      for (const char *Server : {"?000", "?099", "?600", "?999", "?1000"}) {
        CAPTURE(Entry->Options.Instance);
        CAPTURE(Path);
        CAPTURE(Server);
        const Received Result = sendTo(
            *Entry, requestFor("GET", std::string(Path) + Server, kClose));
        CHECK(Result.has("HTTP/1.1 502 "));
        CHECK(Result.has("Jackdaw-Outcome: unknown"));
        CHECK(Result.Body.find(kPart) == std::string::npos);
      }
}

// Guards against a length that the backend server didn't state.
TEST_CASE_FIXTURE(FramingFleet, "a response without a body has no length but "
                                "the server's") {
  for (const DaemonUnderTest *Entry : {&Remote, &Local}) {
    CAPTURE(Entry->Options.Instance);
    const auto Send = [&](const char *Method, const char *Target) {
      return sendTo(*Entry, requestFor(Method, Target, kClose));
    };
    const Received Plain = Send("HEAD", "/pages?new");
    CHECK(Plain.has(" 200 OK"));
    CHECK_FALSE(Plain.statesFraming());
    const Received Sized = Send("HEAD", "/pages?length");
    CHECK(Sized.has(" 200 OK"));
    CHECK(Sized.has("Content-Length: 600"));
    CHECK(Sized.Body.empty());
    for (const char *Target : {"/pages?204", "/open?204", "/pages?304"}) {
      CAPTURE(Target);
      const Received Result = Send("GET", Target);
      CHECK(Result.has("HTTP/1.1 "));
      CHECK_FALSE(Result.statesFraming());
      CHECK(Result.Body.empty());
    }
  }
}

// Guards against a request that runs although its response can't be sent.
TEST_CASE_FIXTURE(FramingFleet, "a kept connection ends with a response "
                                "without a length, and requests behind it "
                                "don't run") {
  RawCaller Caller(portOf(Remote));
  Caller.send(requestFor("GET", "/open?whole"));
  CHECK(Caller.read(12) == "HTTP/1.1 200");
  const int Before = Backend.Requests;
  Caller.send(requestFor("GET", "/open?new") + requestFor("GET", "/open?new") +
              requestFor("GET", "/open?whole"));
  const std::string Bytes = Caller.readToEnd();
  CHECK(Bytes.ends_with("\r\n\r\n" + kPart));
  CHECK(Bytes.find("HTTP/1.1 200") == Bytes.rfind("HTTP/1.1 200"));
  CHECK(Caller.endedCleanly());
  CHECK(Backend.Requests == Before + 1);
}

// Guards against a part of a response that looks whole, because the process
// ends while the rest is unsent.
TEST_CASE_FIXTURE(FramingFleet, "a response without a length is reset if the "
                                "daemon ends before it is sent") {
  RawCaller Caller(portOf(Local), kSmallBufferBytes);
  Caller.send(requestFor("GET", "/pages?large"));
  CHECK(Caller.read(100).size() == 100);
  Local.process().kill();
  CHECK(Caller.readToEnd().size() < kLargeBytes);
  CHECK(Caller.wasReset());
}

TEST_SUITE_END();
