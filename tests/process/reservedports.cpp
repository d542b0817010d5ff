#include "process/reservedports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace process {

namespace {

constexpr int kFirstPort = 10000;
/// Fixed ports of other tests start at 27000.
constexpr int kEndPort = 27000;
/// Enough for the daemons of all suites, which need three ports each.
constexpr int kBlockSize = 500;
constexpr int kBlockCount = (kEndPort - kFirstPort) / kBlockSize;

/// Returns a socket bound to the port, or -1 if the port is in use. Without
/// `SO_REUSEADDR`, only one process can bind a TCP port.
int bindPort(int Type, int Port) {
  const int Socket = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw std::runtime_error("can't create a socket to reserve ports");
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

bool isFree(int Type, int Port) {
  const int Socket = bindPort(Type, Port);
  if (Socket < 0)
    return false;
  close(Socket);
  return true;
}

} // namespace

std::uint16_t ReservedPorts::next() {
  for (;;) {
    if (NextPort == EndPort)
      reserveBlock();
    const int Port = NextPort++;
    if (isFree(SOCK_STREAM, Port) && isFree(SOCK_DGRAM, Port))
      return static_cast<std::uint16_t>(Port);
  }
}

void ReservedPorts::reserveBlock() {
  for (int Try = 0; Try < kBlockCount; ++Try) {
    const int Block = (getpid() + Try) % kBlockCount;
    const int LockPort = kFirstPort + Block * kBlockSize;
    // The socket stays open as the lock of the block until the process ends.
    if (bindPort(SOCK_STREAM, LockPort) < 0)
      continue;
    NextPort = LockPort + 1;
    EndPort = LockPort + kBlockSize;
    return;
  }
  throw std::runtime_error("all port blocks for daemons under test are in use");
}

ReservedPorts &reservedPorts() {
  static ReservedPorts Ports;
  return Ports;
}

} // namespace process
