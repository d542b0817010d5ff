#include "http/internal/connectionsockets.h"

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <iterator>

namespace http {

namespace {

/// State of a connection whose server has closed its side (`TCP_CLOSE_WAIT` of
/// netinet/tcp.h, which can't be included together with linux/tcp.h).
constexpr std::uint8_t kCloseWait = 8;

std::uint32_t portKey(std::uint16_t LocalPort, std::uint16_t RemotePort) {
  return std::uint32_t{LocalPort} << 16U | RemotePort;
}

/// Whether a read from the socket would wait.
bool hasNoInput(curl_socket_t Socket) {
  char Byte = 0;
  return recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::uint64_t bytesReceived(curl_socket_t Socket) {
  tcp_info Info{};
  socklen_t Length = sizeof(Info);
  if (getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Length) != 0 ||
      Length < offsetof(tcp_info, tcpi_bytes_received) +
                   sizeof(Info.tcpi_bytes_received))
    return 0;
  // The system counts the end of the server's side as a byte.
  const bool Ended = Info.tcpi_state == kCloseWait;
  const std::uint64_t Count = Info.tcpi_bytes_received;
  return Ended && Count > 0 ? Count - 1 : Count;
}

std::string peekInput(curl_socket_t Socket, std::size_t MaxBytes) {
  std::string Result(MaxBytes, '\0');
  const ssize_t Count =
      recv(Socket, Result.data(), MaxBytes, MSG_PEEK | MSG_DONTWAIT);
  Result.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
  return Result;
}

void waitForInput(curl_socket_t Socket, base::Duration Timeout) {
  pollfd Watched{Socket, POLLIN, 0};
  poll(&Watched, 1,
       static_cast<int>(
           std::chrono::ceil<std::chrono::milliseconds>(Timeout).count()));
}

void ConnectionSockets::attach(CURL *Handle) {
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION, &onClose);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, this);
}

curl_socket_t ConnectionSockets::open(const curl_sockaddr &Address) {
  const curl_socket_t Socket =
      socket(Address.family, Address.socktype, Address.protocol);
  if (Socket != CURL_SOCKET_BAD)
    Opened.push_back(Socket);
  return Socket;
}

int ConnectionSockets::onClose(void *Self, curl_socket_t Socket) {
  auto &Sockets = *static_cast<ConnectionSockets *>(Self);
  std::erase(Sockets.Opened, Socket);
  std::erase_if(Sockets.Connected, [Socket](const auto &Each) {
    return Each.second.Socket == Socket;
  });
  return close(Socket);
}

void ConnectionSockets::readPorts() {
  std::erase_if(Opened, [this](curl_socket_t Socket) {
    sockaddr_in Local{};
    sockaddr_in Remote{};
    socklen_t LocalLength = sizeof(Local);
    socklen_t RemoteLength = sizeof(Remote);
    if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Local),
                    &LocalLength) != 0 ||
        getpeername(Socket, reinterpret_cast<sockaddr *>(&Remote),
                    &RemoteLength) != 0)
      return false;
    Connected.emplace(portKey(ntohs(Local.sin_port), ntohs(Remote.sin_port)),
                      Connection{Socket, ConnectionNumber(++LastNumber)});
    return true;
  });
}

bool ConnectionSockets::isIdle(std::uint16_t LocalPort,
                               std::uint16_t RemotePort) {
  readPorts();
  // Connections to two servers may have the same ports. Then input on either
  // counts, which only costs a new connection.
  const auto [First, Last] =
      Connected.equal_range(portKey(LocalPort, RemotePort));
  return std::all_of(First, Last, [](const auto &Each) {
    return hasNoInput(Each.second.Socket);
  });
}

ConnectionSockets::Connection
ConnectionSockets::connectionBetween(std::uint16_t LocalPort,
                                     std::uint16_t RemotePort) {
  readPorts();
  const auto [First, Last] =
      Connected.equal_range(portKey(LocalPort, RemotePort));
  const bool IsUnique = std::distance(First, Last) == 1;
  return IsUnique ? First->second : Connection();
}

} // namespace http
