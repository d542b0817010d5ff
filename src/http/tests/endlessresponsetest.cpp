#include "http/asyncclient.h"
#include "http/client.h"
#include "http/tests/partsserver.h"

#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;

namespace {

/// Server that answers each request with a prefix and then repeats a text until
/// the client closes the connection.
class EndlessServer {
public:
  EndlessServer(std::string Prefix, std::string Repeated)
      : Prefix(std::move(Prefix)), Repeated(std::move(Repeated)),
        Worker([this] { serve(); }) {}

  ~EndlessServer() {
    Listener.stop();
    Worker.join();
  }

  std::string url() const { return Listener.url(); }

  std::atomic<std::size_t> BytesSent = 0;
  std::atomic<int> ClosedByClient = 0;

private:
  void serve() {
    for (;;) {
      const int Socket = Listener.acceptOne();
      if (Socket < 0)
        return;
      char Buffer[4096];
      (void)!read(Socket, Buffer, sizeof(Buffer));
      std::string Block = Prefix;
      while (Block.size() < kBlockBytes)
        Block += Repeated;
      std::string Next;
      while (Next.size() < kBlockBytes)
        Next += Repeated;
      while (send(Socket, Block.data(), Block.size(), MSG_NOSIGNAL) > 0) {
        BytesSent += Block.size();
        Block = Next;
      }
      ++ClosedByClient;
      close(Socket);
    }
  }

  static constexpr std::size_t kBlockBytes = 64 << 10;

  const std::string Prefix;
  const std::string Repeated;
  LoopbackListener Listener;
  std::thread Worker;
};

constexpr std::size_t kMaxBodyBytes = 1 << 20;
/// Bytes that the server may send at most: the body, and what the buffers of
/// both sockets hold.
constexpr std::size_t kMaxSentBytes = 32 << 20;

http::Request request() {
  http::Request Message;
  Message.Method = "GET";
  Message.Path = "/";
  return Message;
}

http::ExchangeResult exchange(const std::string &Url) {
  base::SystemClock Clock;
  eventloop::EventLoop Loop(Clock);
  http::AsyncClient Client(Loop);
  http::TransferOptions Options;
  Options.MaxResponseBytes = kMaxBodyBytes;
  http::ExchangeResult Completed;
  Client.start(Url, request(), Options, [&](http::ExchangeResult Result) {
    Completed = std::move(Result);
    Loop.stop();
  });
  Loop.run();
  return Completed;
}

http::ExchangeResult exchangeBlocking(const std::string &Url) {
  http::ExchangeOptions Options;
  Options.MaxResponseBytes = kMaxBodyBytes;
  return http::Client().exchange(Url, request(), Options);
}

} // namespace

// Guards against memory that grows until a deadline, and against a processor
// that is busy until then, because a server sends bytes that are no response.
TEST_CASE("a response without an end is given up early") {
  std::string Prefix = "HTTP/1.1 200 OK\r\n";
  std::string Repeated;
  SUBCASE("header lines") { Repeated = "X-More: 1234567890\r\n"; }
  SUBCASE("one header line") {
    Prefix += "X-Long: ";
    Repeated = "0123456789";
  }
  SUBCASE("interim responses") {
    Prefix = "";
    Repeated = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SUBCASE("a body without a length") {
    Prefix += "\r\n";
    Repeated = "0123456789";
  }
  SUBCASE("chunks") {
    Prefix += "Transfer-Encoding: chunked\r\n\r\n";
    Repeated = "a\r\n0123456789\r\n";
  }
  SUBCASE("a chunk size") {
    Prefix += "Transfer-Encoding: chunked\r\n\r\n";
    Repeated = "0";
  }
  SUBCASE("a chunk extension") {
    Prefix += "Transfer-Encoding: chunked\r\n\r\na;";
    Repeated = "extension";
  }
  SUBCASE("trailers") {
    Prefix += "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    Repeated = "X-Trailer: 1234567890\r\n";
  }
  SUBCASE("bytes that are not HTTP") {
    Prefix = "";
    Repeated = "nonsense";
  }
  SUBCASE("lines that are not HTTP") {
    Prefix = "";
    Repeated = "nonsense\r\n";
  }
  SUBCASE("a status line") {
    Prefix = "HTTP/1.1 200 ";
    Repeated = "fine";
  }
  SUBCASE("a body beyond its length") {
    Prefix += "Content-Length: 1000\r\n\r\n";
    Repeated = "0123456789";
  }
  SUBCASE("a body of a great length") {
    Prefix += "Content-Length: 1000000000000\r\n\r\n";
    Repeated = "0123456789";
  }
  SUBCASE("chunk sizes without chunks") {
    Prefix += "Transfer-Encoding: chunked\r\n\r\n";
    Repeated = "5\r\n";
  }
  for (const bool Blocking : {false, true}) {
    CAPTURE(Blocking);
    EndlessServer Server(Prefix, Repeated);
    const base::SystemClock Clock;
    const base::BootTime Started = Clock.now();
    const http::ExchangeResult Completed =
        Blocking ? exchangeBlocking(Server.url()) : exchange(Server.url());
    CHECK(Completed.Status == http::ExchangeStatus::Broken);
    CHECK(!Completed.Detail.empty());
    CHECK(Clock.now() - Started < 5s);
    CHECK(Completed.Response.Body.size() <= kMaxBodyBytes);
    while (Server.ClosedByClient == 0 && Clock.now() - Started < 8s)
      std::this_thread::sleep_for(5ms);
    CHECK(Server.ClosedByClient == 1);
    CHECK(Server.BytesSent <= kMaxSentBytes);
  }
}

// Guards against memory that grows with the number of such responses.
TEST_CASE("the bodies of all responses together are bounded") {
  const std::string Prefix = "HTTP/1.1 200 OK\r\n\r\n";
  EndlessServer Servers[] = {{Prefix, "0123456789"}, {Prefix, "0123456789"}};
  base::SystemClock Clock;
  eventloop::EventLoop Loop(Clock);
  http::AsyncClientSettings Settings;
  Settings.MaxBodyBytes = kMaxBodyBytes;
  http::AsyncClient Client(Loop, Settings);
  http::Request Message;
  Message.Method = "GET";
  Message.Path = "/";
  http::TransferOptions Options;
  Options.MaxResponseBytes = 64 * kMaxBodyBytes;
  std::vector<std::size_t> Sizes;
  for (const EndlessServer &Each : Servers)
    Client.start(Each.url(), Message, Options,
                 [&](http::ExchangeResult Result) {
                   CHECK(Result.Status == http::ExchangeStatus::Broken);
                   CHECK(Result.Detail == "response too large");
                   Sizes.push_back(Result.Response.Body.size());
                   if (Sizes.size() == std::size(Servers))
                     Loop.stop();
                 });
  Loop.run();
  for (const std::size_t Size : Sizes)
    CHECK(Size <= kMaxBodyBytes);
}

// Guards against the same with the blocking clients of many threads.
TEST_CASE("the bodies of all responses of blocking clients are bounded") {
  constexpr std::size_t MaxBytesTogether = std::size_t{64} << 20;
  constexpr std::size_t HeldBytes = std::size_t{40} << 20;
  http::ExchangeOptions Options;
  Options.MaxResponseBytes = 2 * MaxBytesTogether;
  std::atomic<bool> Cancel = false;
  PartsServer Stalled({"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" +
                       std::string(HeldBytes, 'x')});
  std::thread Holder([&] {
    http::ExchangeOptions HeldOptions = Options;
    HeldOptions.Cancel = &Cancel;
    http::Client().exchange(Stalled.url(), request(), HeldOptions);
  });
  std::this_thread::sleep_for(500ms);
  EndlessServer Endless("HTTP/1.1 200 OK\r\n\r\n", "0123456789");
  const auto Result =
      http::Client().exchange(Endless.url(), request(), Options);
  Cancel = true;
  Holder.join();
  CHECK(Result.Status == http::ExchangeStatus::Broken);
  CHECK(Result.Detail == "response too large");
  CHECK(Result.Response.Body.size() <= MaxBytesTogether - HeldBytes);
}
