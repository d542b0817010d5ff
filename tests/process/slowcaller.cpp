#include "process/slowcaller.h"

#include "process/processundertest.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace process {

SlowCaller::SlowCaller(const std::string &Url, const std::string &Head,
                       std::size_t BodyBytes)
    : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int ReceiveBytes = 4096;
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
             sizeof(ReceiveBytes));
  const timeval Limit{kWaitLimit.count(), 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(
      static_cast<std::uint16_t>(std::stoul(Url.substr(Url.rfind(':') + 1))));
  Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Target),
              sizeof(Target)) != 0)
    throw std::runtime_error("the slow caller can't connect to " + Url);
  const std::string Request = Head +
                              "Content-Length: " + std::to_string(BodyBytes) +
                              "\r\n\r\n" + std::string(BodyBytes, 'x');
  for (std::size_t Sent = 0; Sent < Request.size();) {
    const ssize_t Count = send(Socket, Request.data() + Sent,
                               Request.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      throw std::runtime_error("the slow caller can't send its request");
    Sent += static_cast<std::size_t>(Count);
  }
}

SlowCaller::~SlowCaller() { close(Socket); }

bool SlowCaller::waitForResponse() const {
  pollfd Entry{Socket, POLLIN, 0};
  const std::chrono::milliseconds Limit = kWaitLimit;
  return poll(&Entry, 1, static_cast<int>(Limit.count())) > 0;
}

std::string SlowCaller::readToEnd() const {
  std::array<char, 4096> Block{};
  std::string Received;
  ssize_t Count = 0;
  while ((Count = recv(Socket, Block.data(), Block.size(), 0)) > 0)
    Received.append(Block.data(), static_cast<std::size_t>(Count));
  return Received;
}

} // namespace process
