#include "process/byterelay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace process {

namespace {

constexpr int kPollMilliseconds = 5;

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

int tcpSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

/// Passes what has arrived; false once the source has closed or the sink is
/// gone.
bool pass(int From, int To) {
  std::array<char, 65536> Block;
  const ssize_t Size = recv(From, Block.data(), Block.size(), 0);
  if (Size <= 0)
    return false;
  for (ssize_t Sent = 0; Sent < Size;) {
    const ssize_t Part =
        send(To, Block.data() + Sent, static_cast<std::size_t>(Size - Sent),
             MSG_NOSIGNAL);
    if (Part <= 0)
      return false;
    Sent += Part;
  }
  return true;
}

} // namespace

ByteRelay::ByteRelay(std::uint16_t TargetPort)
    : Target(TargetPort), Listener(tcpSocket()) {
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof(Address);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      listen(Listener, SOMAXCONN) != 0 ||
      getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    throw std::runtime_error("the relay can't listen");
  Port = ntohs(Address.sin_port);
  Acceptor = std::thread([this] { acceptLoop(); });
}

ByteRelay::~ByteRelay() {
  Stopping = true;
  Acceptor.join();
  std::unique_lock Lock(Mutex);
  LinkEnded.wait(Lock, [this] { return Links.empty(); });
  close(Listener);
}

void ByteRelay::cut() {
  const std::lock_guard Lock(Mutex);
  for (Link &Each : Links)
    Each.Cut = true;
}

void ByteRelay::silenceOpen() {
  const std::lock_guard Lock(Mutex);
  for (Link &Each : Links)
    Each.Silent = true;
}

void ByteRelay::holdResponses(bool Hold) {
  Holding = Hold;
  Held = false;
}

void ByteRelay::acceptLoop() {
  while (!Stopping) {
    pollfd Ready{Listener, POLLIN, 0};
    if (poll(&Ready, 1, kPollMilliseconds) <= 0)
      continue;
    const int Caller = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Caller < 0)
      continue;
    const std::lock_guard Lock(Mutex);
    const auto Place = Links.emplace(Links.end());
    Place->Caller = Caller;
    // There are too many connections over time to keep their threads for
    // joining; the destructor waits for the links to end.
    std::thread([this, Place] { linkLoop(Place); }).detach();
  }
}

void ByteRelay::linkLoop(std::list<Link>::iterator Place) {
  Link &Current = *Place;
  Current.Server = tcpSocket();
  const sockaddr_in Address = loopback(Target);
  if (connect(Current.Server, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0)
    while (!Stopping && !Current.Cut && passBytes(Current)) {
    }
  close(Current.Server);
  close(Current.Caller);
  const std::lock_guard Lock(Mutex);
  Links.erase(Place);
  LinkEnded.notify_all();
}

bool ByteRelay::passBytes(Link &Current) {
  std::array<pollfd, 2> Ready{
      {{Current.Caller, POLLIN, 0}, {Current.Server, POLLIN, 0}}};
  if (poll(Ready.data(), Ready.size(), kPollMilliseconds) <= 0)
    return true;
  if (Current.Silent || (Holding && Ready[1].revents != 0)) {
    Held = Held || Holding;
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMilliseconds));
    if (Current.Silent)
      return true;
    Ready[1].revents = 0;
  }
  if (Ready[0].revents != 0 && !pass(Current.Caller, Current.Server))
    return false;
  return Ready[1].revents == 0 || pass(Current.Server, Current.Caller);
}

} // namespace process
