#include "transport/internal/sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace transport {

namespace {

constexpr int kListenBacklog = 256;
constexpr int kMaxBindAttempts = 20;
/// Bytes that the system accepts beyond those it is sending. More would delay
/// the frames behind them.
constexpr int kMaxUnsentBytes = 128 << 10;

void setOption(int Socket, int Level, int Option, int Value) {
  setsockopt(Socket, Level, Option, &Value, sizeof(Value));
}

void enableOption(int Socket, int Level, int Option) {
  setOption(Socket, Level, Option, 1);
}

void applyStreamOptions(int Socket) {
  enableOption(Socket, IPPROTO_TCP, TCP_NODELAY);
  setOption(Socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, kMaxUnsentBytes);
}

bool bindTo(const FileDescriptor &Socket, const sockaddr_in &Address) {
  return Socket.valid() &&
         bind(Socket.value(), reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0;
}

std::optional<ListeningSockets> tryListen(sockaddr_in Address) {
  ListeningSockets Result;
  Result.Tcp = FileDescriptor(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  Result.Udp = FileDescriptor(
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  enableOption(Result.Tcp.value(), SOL_SOCKET, SO_REUSEADDR);
  if (!bindTo(Result.Tcp, Address))
    return std::nullopt;
  socklen_t Length = sizeof(Address);
  getsockname(Result.Tcp.value(), reinterpret_cast<sockaddr *>(&Address),
              &Length);
  if (!bindTo(Result.Udp, Address))
    return std::nullopt;
  if (listen(Result.Tcp.value(), kListenBacklog) != 0)
    return std::nullopt;
  Result.Address = fromSocketAddress(Address);
  return Result;
}

} // namespace

FileDescriptor::~FileDescriptor() {
  if (Value >= 0)
    close(Value);
}

std::optional<sockaddr_in> toSocketAddress(const base::Endpoint &Peer) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Peer.Port);
  if (inet_pton(AF_INET, Peer.Ip.c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  return Address;
}

base::Endpoint fromSocketAddress(const sockaddr_in &Address) {
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Address.sin_addr, Text.data(), Text.size());
  return {Text.data(), ntohs(Address.sin_port)};
}

base::Result<ListeningSockets> listenOn(const base::Endpoint &Requested) {
  const auto Address = toSocketAddress(Requested);
  if (!Address)
    return base::fail(base::ErrorKind::Internal,
                      "not an IPv4 address: " + Requested.Ip);
  // The port that the system chooses for TCP may be in use for UDP; then
  // another one is tried.
  const int Attempts = Requested.Port == 0 ? kMaxBindAttempts : 1;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt)
    if (auto Result = tryListen(*Address))
      return std::move(*Result);
  return base::fail(base::ErrorKind::Internal, "can't listen on " +
                                                   Requested.str() + ": " +
                                                   std::strerror(errno));
}

FileDescriptor startConnection(const base::Endpoint &Peer) {
  const auto Address = toSocketAddress(Peer);
  if (!Address)
    return FileDescriptor();
  FileDescriptor Socket(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  applyStreamOptions(Socket.value());
  const int Status =
      connect(Socket.value(), reinterpret_cast<const sockaddr *>(&*Address),
              sizeof(*Address));
  if (Status != 0 && errno != EINPROGRESS)
    return FileDescriptor();
  return Socket;
}

FileDescriptor acceptConnection(const FileDescriptor &Listening) {
  FileDescriptor Socket(accept4(Listening.value(), nullptr, nullptr,
                                SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (Socket.valid())
    applyStreamOptions(Socket.value());
  return Socket;
}

} // namespace transport
