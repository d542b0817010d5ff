#include "process/fleet.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>

using namespace process;

namespace {

constexpr int kInvalidSettingsExit = 2;
constexpr int kStartFailureExit = 1;

/// Sends bytes to a port and returns what is received until the peer closes the
/// connection, or "silent" if the peer keeps the connection open without
/// sending for `kWaitLimit`.
std::string exchangeBytes(const std::string &Address,
                          const std::string &Bytes) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(static_cast<std::uint16_t>(
      std::stoul(Address.substr(Address.rfind(':') + 1))));
  Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const timeval Limit{kWaitLimit.count(), 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  std::string Received;
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Target),
              sizeof(Target)) == 0) {
    send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    shutdown(Socket, SHUT_WR);
    std::array<char, 4096> Block{};
    ssize_t Size = 0;
    while ((Size = recv(Socket, Block.data(), Block.size(), 0)) > 0)
      Received.append(Block.data(), static_cast<std::size_t>(Size));
    if (Size < 0 && errno == EAGAIN)
      Received = "silent";
  }
  close(Socket);
  return Received;
}

/// Runs jackdawd with flags that must prevent its start; returns the exit
/// status and the output.
std::pair<int, std::string> runDaemonWith(std::vector<std::string> Flags) {
  std::vector<std::string> Arguments{
      "--instance", "x",     "--data-centre", "dc1",
      "--region",   "north", "--log-url",     "http://127.0.0.1:1"};
  Arguments.insert(Arguments.end(), Flags.begin(), Flags.end());
  ProcessUnderTest Daemon("jackdawd", Arguments);
  const int Status = Daemon.waitForExit().value_or(-1);
  return {Status, Daemon.output()};
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_SUITE_BEGIN("bad input");

// Guards against daemons that crash, hang or forward input that they can't
// parse.
TEST_CASE("malformed, oversized and unknown requests are refused, and the "
          "daemon keeps serving") {
  FleetUnderTest Fleet;
  DaemonUnderTest &Daemon =
      Fleet.addDaemon({.Instance = "serving", .Service = "bookings"});
  Fleet.configure(
      {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
  const BackendUnderTest &Backend = Fleet.addBackend(Daemon);
  REQUIRE(FleetUnderTest::waitUntilServed(Daemon, "/bookings/open"));
  const std::string Before = fetchPage(Backend.url(), "/-/last");

  const std::string Start = "POST /bookings/open HTTP/1.1\r\nHost: x\r\n";
  const std::string Requests[] = {
      "GARBAGE\r\n\r\n",
      std::string("\0\1\2\3\r\n\r\n", 8),
      Start + "X-Large: " + std::string(200'000, 'x') + "\r\n\r\n",
      "POST /" + std::string(200'000, 'p') + " HTTP/1.1\r\nHost: x\r\n\r\n",
      Start + "Content-Length: -5\r\n\r\n",
      Start + "Content-Length: 99999999999999999999\r\n\r\n",
      Start + "Content-Length: 100\r\n\r\nshort",
      Start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"};
  for (const std::string &Bytes : Requests) {
    CAPTURE(Bytes.substr(0, 80));
    const std::string Received = exchangeBytes(Daemon.callerUrl(), Bytes);
    CHECK(Received != "silent");
    CHECK_FALSE(Received.starts_with("HTTP/1.1 2"));
  }
  CHECK(exchangeBytes(Daemon.peerAddress(), std::string(100'000, '\xff')) !=
        "silent");
  CHECK(fetchPage(Backend.url(), "/-/last") == Before);

  const auto Post = [&](const std::string &Path, std::size_t Size) {
    return send(Daemon.callerUrl(),
                {"POST", Path, "", {}, std::string(Size, 'b')});
  };
  CHECK(Post("/bookings/nothing", 1).Error == "route_unknown");
  CHECK(Post("/nothing/open", 1).Error == "route_unknown");
  CHECK(Post("/bookings/open", 3'000'000).Error == "body_too_large");
  CHECK(Post("/bookings/open", 3'000'000).Outcome == "not-run");
  CHECK(send(Daemon.callerUrl(),
             {"POST",
              "/bookings/orders",
              "",
              {{"Jackdaw-Key", kGoldKey}, {"Idempotency-Key", "not a UUID"}},
              ""})
            .Error == "idempotency_key_invalid");
  CHECK(send(Daemon.callerUrl(), {"POST",
                                  "/bookings/open",
                                  "",
                                  {{"Jackdaw-Handle", "not a handle"}},
                                  ""})
            .Error == "handle_unknown");
  CHECK(Post("/bookings/open", 1).Outcome == "ran");
}

// Guards against invalid settings that are ignored without an error.
TEST_CASE(
    "invalid settings and unreadable files prevent a daemon from starting") {
  const auto Unknown = runDaemonWith({"--no-such-flag", "1"});
  CHECK(Unknown.first == kInvalidSettingsExit);
  CHECK(contains(Unknown.second, "no-such-flag"));
  const auto Range = runDaemonWith({"--caller-port", "70000"});
  CHECK(Range.first == kInvalidSettingsExit);
  CHECK(contains(Range.second, "caller-port"));
  const auto Ip = runDaemonWith({"--peer-ip", "no-address"});
  CHECK(Ip.first == kInvalidSettingsExit);
  CHECK(contains(Ip.second, "peer-ip"));
  const auto File =
      runDaemonWith({"--tls-certificate", "/nowhere/certificate.pem",
                     "--tls-key", "/nowhere/key.pem"});
  CHECK(File.first == kStartFailureExit);
  CHECK(contains(File.second, "/nowhere/certificate.pem"));
}

TEST_SUITE_END();
