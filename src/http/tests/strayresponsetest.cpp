#include "http/asyncclient.h"
#include "http/tests/loopbacklistener.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace {

const std::string kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
    "Retry-After: 0.250\r\nAttempt: earlier\r\nContent-Length: 0\r\n\r\n";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
const std::string kChunked = "HTTP/1.1 200 OK\r\nAttempt: earlier\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
const std::string kResponse = "HTTP/1.1 200 OK\r\nAttempt: own\r\n"
                              "Content-Length: 4\r\n\r\ndone";

/// Far longer than an exchange on the loopback interface takes.
constexpr auto kTimeout = 1s;
/// Time in which bytes on the loopback interface arrive.
constexpr auto kArrivalTime = 20ms;

/// Seed and number of the random cases.
constexpr unsigned kSeed = 20261205;
constexpr int kRounds = 400;
constexpr int kIdleRounds = 40;

/// A server whose first connection is spoiled: `BehindFirst` follows its first
/// response in the same write, `WhileIdle` a moment later, and `BeforeSecond`
/// and `Second` are the bytes for its second request. All other requests get
/// `kResponse`.
class SpoilingServer {
public:
  std::string BehindFirst;
  std::string WhileIdle;
  std::string BeforeSecond;
  std::string Second = kResponse;
  bool CloseAfterSecond = false;

  void start() {
    Acceptor = std::thread([this] { acceptAll(); });
  }

  ~SpoilingServer() {
    Listener.stop();
    Acceptor.join();
    for (const int Each : Sockets)
      shutdown(Each, SHUT_RDWR);
    for (std::thread &Each : Workers)
      Each.join();
    for (const int Each : Sockets)
      close(Each);
  }

  std::string url() const { return Listener.url(); }

  std::atomic<int> Connections = 0;

private:
  void acceptAll() {
    for (;;) {
      const int Socket = Listener.acceptOne();
      if (Socket < 0)
        return;
      const bool Spoiled = Connections++ == 0;
      Sockets.push_back(Socket);
      Workers.emplace_back([this, Socket, Spoiled] { serve(Socket, Spoiled); });
    }
  }

  void serve(int Socket, bool Spoiled) {
    char Buffer[4096];
    for (int Count = 0; read(Socket, Buffer, sizeof(Buffer)) > 0; ++Count) {
      if (!Spoiled || Count > 1) {
        write(Socket, kResponse);
      } else if (Count == 1) {
        write(Socket, BeforeSecond + Second);
        if (CloseAfterSecond)
          shutdown(Socket, SHUT_WR);
      } else {
        write(Socket, kResponse + BehindFirst);
        if (!WhileIdle.empty()) {
          std::this_thread::sleep_for(kArrivalTime / 4);
          write(Socket, WhileIdle);
        }
      }
    }
    // Closes the connection for the client; the descriptor stays open.
    shutdown(Socket, SHUT_RDWR);
  }

  static void write(int Socket, const std::string &Bytes) {
    (void)!send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  LoopbackListener Listener;
  std::thread Acceptor;
  std::vector<std::thread> Workers;
  std::vector<int> Sockets;
};

http::Request request() {
  http::Request Message;
  Message.Method = "GET";
  Message.Path = "/";
  return Message;
}

/// A client of the event loop, or a blocking one.
struct Fixture {
  http::ExchangeResult exchange(const std::string &Url) {
    if (Blocking) {
      http::ExchangeOptions Options;
      Options.Timeout = kTimeout;
      return Client.exchange(Url, request(), Options);
    }
    http::ExchangeResult Completion;
    http::TransferOptions Options;
    Options.Timeout = kTimeout;
    AsyncClient.start(Url, request(), Options,
                      [&](http::ExchangeResult Result) {
                        Completion = std::move(Result);
                        Loop.stop();
                      });
    Loop.run();
    return Completion;
  }

  bool Blocking = false;
  base::SystemClock Clock;
  eventloop::EventLoop Loop{Clock};
  http::AsyncClient AsyncClient{Loop};
  http::Client Client;
};

/// Whether the client can tell that these bytes right behind a response are not
/// the end of its body: they begin another response.
bool mayBeginResponse(const std::string &Behind) {
  const std::string Pattern = "HTTP/1.0 000";
  return std::equal(Behind.begin(),
                    Behind.begin() + std::min(Behind.size(), Pattern.size()),
                    Pattern.begin(), [](char Actual, char Expected) {
                      return Expected == '0' ? Actual >= '0' && Actual <= '9'
                                             : Actual == Expected;
                    });
}

/// Whether a result is the server's whole response to the request.
bool isOwnResponse(const http::ExchangeResult &Result) {
  return Result.Status == http::ExchangeStatus::Completed &&
         Result.Response.Status == 200 && Result.Response.Body == "done" &&
         http::findHeader(Result.Response.Headers, "attempt") == "own";
}

} // namespace

// Guards against bytes of an earlier response that are read as the beginning of
// the next one.
TEST_CASE_FIXTURE(Fixture, "a connection with bytes that belong to no response "
                           "is not reused") {
  SUBCASE("event loop") {}
  SUBCASE("blocking") { Blocking = true; }
  for (const std::string &Late : {kRefusal, kInterim, kChunked, kResponse})
    for (const bool Behind : {true, false})
      for (std::size_t Length = 1; Length <= Late.size(); Length += 7) {
        CAPTURE(Late.substr(0, Length));
        CAPTURE(Behind);
        SpoilingServer Server;
        (Behind ? Server.BehindFirst : Server.WhileIdle) =
            Late.substr(0, Length);
        Server.start();
        CHECK(isOwnResponse(exchange(Server.url())));
        std::this_thread::sleep_for(kArrivalTime);
        CHECK(isOwnResponse(exchange(Server.url())));
        CHECK(Server.Connections == 2);
      }
}

// Guards against the beginning of an earlier response that arrives after the
// request was sent and lends its status to the response.
TEST_CASE_FIXTURE(Fixture, "a response behind the beginning of another one is "
                           "not taken for a whole response") {
  SUBCASE("event loop") {}
  SUBCASE("blocking") { Blocking = true; }
  for (const std::string &Late : {kRefusal, kInterim, kChunked})
    for (std::size_t Length = 1; Length < Late.find("\r\n\r\n") + 4; ++Length) {
      CAPTURE(Late.substr(0, Length));
      SpoilingServer Server;
      Server.BeforeSecond = Late.substr(0, Length);
      Server.start();
      CHECK(isOwnResponse(exchange(Server.url())));
      const http::ExchangeResult Second = exchange(Server.url());
      CHECK(Second.Status == http::ExchangeStatus::Broken);
      CHECK(!Second.Detail.empty());
    }
}

// Guards against a response that is cut within its headers and looks like a
// whole one without a body.
TEST_CASE_FIXTURE(Fixture, "a response that ends within its headers is not a "
                           "whole response") {
  SUBCASE("event loop") {}
  SUBCASE("blocking") { Blocking = true; }
  for (std::size_t Length = 0; Length < kResponse.size(); ++Length) {
    CAPTURE(kResponse.substr(0, Length));
    SpoilingServer Server;
    Server.Second = kResponse.substr(0, Length);
    Server.CloseAfterSecond = true;
    Server.start();
    CHECK(isOwnResponse(exchange(Server.url())));
    // The blocking client lets libcurl repeat the request if the reused
    // connection ends before a header.
    const http::ExchangeResult Second = exchange(Server.url());
    CHECK((Second.Status == http::ExchangeStatus::Broken ||
           (Blocking && isOwnResponse(Second))));
  }
}

// Guards against a body whose end two readers see at different places, and
// against headers that aren't what the server meant.
TEST_CASE_FIXTURE(Fixture, "a response with ambiguous headers is rejected") {
  std::string Lines;
  SUBCASE("two lengths") { Lines = "Content-Length: 4\r\nContent-Length: 3"; }
  SUBCASE("a length and chunks") {
    Lines = "Content-Length: 4\r\nTransfer-Encoding: chunked";
  }
  SUBCASE("a continued line") { Lines = "X: 1\r\n Content-Length: 4"; }
  SUBCASE("a space before the colon") { Lines = "Content-Length : 4"; }
  SUBCASE("no name") { Lines = ": 4"; }
  SUBCASE("a carriage return") { Lines = "X: 1\rContent-Length: 4"; }
  SpoilingServer Server;
  Server.Second = "HTTP/1.1 200 OK\r\n" + Lines + "\r\n\r\ndone";
  Server.CloseAfterSecond = true;
  Server.start();
  CHECK(isOwnResponse(exchange(Server.url())));
  CHECK(exchange(Server.url()).Status == http::ExchangeStatus::Broken);
}

// Guards against a part of a response that passes for a whole one because its
// length can be read in several ways, or not at all.
TEST_CASE_FIXTURE(Fixture, "a response with a malformed length is rejected") {
  for (const char *Length :
       {"99999999999999999999", "9223372036854775808", "4 0", "0x4", "4, 4",
        "4, 3", "4a", "4;", "+4", "-4", "4.0", "", "a"}) {
    CAPTURE(std::string(Length));
    SpoilingServer Server;
    Server.Second = "HTTP/1.1 200 OK\r\nAttempt: own\r\nContent-Length: " +
                    std::string(Length) + "\r\n\r\ndone";
    Server.CloseAfterSecond = true;
    Server.start();
    CHECK(isOwnResponse(exchange(Server.url())));
    CHECK(exchange(Server.url()).Status == http::ExchangeStatus::Broken);
  }
}

// Guards against a response that counts as the request's own although a part of
// it belongs to another one, wherever that part is cut.
TEST_CASE_FIXTURE(Fixture, "random stray bytes never change what counts as the "
                           "own response") {
  std::mt19937 Random(kSeed);
  const auto Below = [&](std::size_t Bound) { return Random() % Bound; };
  // No request with this id was sent on the connection before.
  std::string Earlier = kResponse;
  Earlier.replace(Earlier.find("own"), 3, "earlier");
  const std::string Sources[] = {kRefusal,
                                 kInterim,
                                 kChunked,
                                 Earlier,
                                 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                                 "\r\n",
                                 "0\r\n\r\n",
                                 "nonsense: \x01\xff\r\n"};
  const auto Stray = [&] {
    std::string Result;
    for (std::size_t Parts = 1 + Below(3); Parts > 0; --Parts) {
      const std::string &Source = Sources[Below(std::size(Sources))];
      const std::size_t From = Below(3) == 0 ? Below(Source.size()) : 0;
      Result += Source.substr(From, Below(Source.size() - From) + 1);
    }
    return Result;
  };
  for (int Round = 0; Round < kRounds; ++Round) {
    SpoilingServer Server;
    const std::string Bytes = Stray();
    CAPTURE(Round);
    CAPTURE(Bytes);
    (Below(2) == 0 ? Server.BeforeSecond : Server.BehindFirst) = Bytes;
    Server.CloseAfterSecond = Below(2) == 0;
    Server.start();
    const http::ExchangeResult First = exchange(Server.url());
    CHECK(isOwnResponse(First) == mayBeginResponse(Server.BehindFirst));
    CHECK((isOwnResponse(First) || First.End == http::ResponseEnd::Overrun));
    const http::ExchangeResult Second = exchange(Server.url());
    const bool NamesRequest =
        http::findSingularHeader(Second.Response.Headers, "attempt") == "own";
    CHECK((Second.Status != http::ExchangeStatus::Completed || !NamesRequest ||
           isOwnResponse(Second)));
  }
}

// Guards against bytes that have come late and are taken for a part of a
// response, or spoil it.
TEST_CASE_FIXTURE(Fixture, "random stray bytes on an idle connection change no "
                           "response") {
  std::mt19937 Random(kSeed);
  for (int Round = 0; Round < kIdleRounds; ++Round) {
    SpoilingServer Server;
    for (std::size_t Count = 1 + Random() % 100; Count > 0; --Count)
      Server.WhileIdle += static_cast<char>(Random());
    CAPTURE(Round);
    Server.start();
    CHECK(isOwnResponse(exchange(Server.url())));
    std::this_thread::sleep_for(kArrivalTime);
    CHECK(isOwnResponse(exchange(Server.url())));
    CHECK(Server.Connections == 2);
  }
}

// Guards against a switch of protocols, which nobody asked for, that is passed
// on as a final response.
TEST_CASE_FIXTURE(Fixture, "a response that switches protocols is rejected") {
  SpoilingServer Server;
  Server.Second = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                  "Connection: upgrade\r\nAttempt: own\r\n\r\ndone";
  Server.CloseAfterSecond = true;
  Server.start();
  CHECK(isOwnResponse(exchange(Server.url())));
  CHECK(exchange(Server.url()).Status == http::ExchangeStatus::Broken);
}

// Guards against a check that is too strict for servers.
TEST_CASE_FIXTURE(Fixture, "unusual but valid responses are accepted") {
  std::string Head;
  SUBCASE("no reason phrase") { Head = "HTTP/1.1 200\r\n"; }
  SUBCASE("HTTP/1.0") { Head = "HTTP/1.0 200 OK\r\n"; }
  SUBCASE("bare line feeds") { Head = "HTTP/1.1 200 OK\nX: 1\n"; }
  SUBCASE("a protocol in a value") {
    Head = "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n";
  }
  SUBCASE("an interim response") { Head = kInterim + "HTTP/1.1 200 OK\r\n"; }
  SUBCASE("the same length twice") {
    Head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n";
  }
  SUBCASE("an empty value") { Head = "HTTP/1.1 200 OK\r\nX:\r\n"; }
  SpoilingServer Server;
  Server.Second = Head + "Attempt: own\r\nContent-Length: 4\r\n\r\ndone";
  Server.start();
  CHECK(isOwnResponse(exchange(Server.url())));
  CHECK(isOwnResponse(exchange(Server.url())));
  CHECK(Server.Connections == 1);
}
