#include "transport/internal/connection.h"

#include "base/codec.h"

#include <cereal/types/string.hpp>

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace transport {

namespace {

using Length = std::uint32_t;

constexpr std::uint8_t kConfirmType = 255;
constexpr std::size_t kMaxQueuedBytes = 64 << 20;
constexpr std::size_t kReadChunkBytes = 64 << 10;
/// Bytes read in one turn, so that one busy peer can't keep the others waiting.
constexpr std::size_t kMaxBytesPerTurn = 1 << 20;

} // namespace

Connection::Connection(FileDescriptor Socket, const base::ProcessId &Self,
                       const SecretPair &Secrets, base::BootTime Now)
    : LastReceived(Now), LastUsed(Now), LastPing(Now),
      Socket(std::move(Socket)), Secrets(Secrets), StartedAt(Now) {
  OwnHello.Fresh = makeNonce();
  OwnHello.Sender = Self;
}

Connection Connection::dial(FileDescriptor Socket, base::PeerAddress Peer,
                            const base::ProcessId &Self,
                            const SecretPair &Secrets, bool UsePrevious,
                            base::BootTime Now) {
  Connection Result(std::move(Socket), Self, Secrets, Now);
  Result.Dialled = true;
  Result.UsePrevious = UsePrevious;
  Result.Target = std::move(Peer);
  Result.Current = Result.Socket.valid() ? State::Connecting : State::Closed;
  Result.sendHello();
  return Result;
}

Connection Connection::accept(FileDescriptor Socket,
                              const base::ProcessId &Self,
                              const SecretPair &Secrets, base::BootTime Now) {
  return Connection(std::move(Socket), Self, Secrets, Now);
}

bool Connection::send(Frame Message) {
  if (Current == State::Closed)
    return false;
  const std::size_t Queued = Out.size() - OutOffset + WaitingBytes;
  if (Queued + Message.Body.size() > kMaxQueuedBytes)
    return false;
  if (Current == State::Open) {
    sendSealed(Message);
    return true;
  }
  WaitingBytes += Message.Body.size();
  Waiting.push_back(std::move(Message));
  return true;
}

std::vector<Frame> Connection::readFrames(base::BootTime Now) {
  std::vector<Frame> Frames;
  if (Current == State::Connecting)
    Current = State::Handshake;
  const bool Alive = receive(Now);
  while (Current != State::Closed) {
    const auto Payload = nextPayload();
    if (!Payload)
      break;
    onPayload(*Payload, Frames);
  }
  if (!Alive)
    Current = State::Closed;
  return Frames;
}

void Connection::flush() {
  if (Current == State::Connecting)
    Current = State::Handshake;
  while (Current != State::Closed && OutOffset < Out.size()) {
    const ssize_t Written = ::send(Socket.value(), Out.data() + OutOffset,
                                   Out.size() - OutOffset, MSG_NOSIGNAL);
    if (Written < 0) {
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK)
        Current = State::Closed;
      return;
    }
    OutOffset += static_cast<std::size_t>(Written);
  }
  Out.clear();
  OutOffset = 0;
}

void Connection::sendRaw(std::string_view Payload) {
  const auto Size = static_cast<Length>(Payload.size());
  Out.append(reinterpret_cast<const char *>(&Size), sizeof(Size));
  Out.append(Payload);
}

void Connection::sendSealed(const Frame &Message) {
  std::string Plain(1, static_cast<char>(Message.Type));
  Plain += Message.Body;
  sendRaw(Sending->seal(Plain));
}

void Connection::sendHello() { sendRaw(base::encode(OwnHello)); }

/// Returns false once the peer has closed or the socket has failed.
bool Connection::receive(base::BootTime Now) {
  std::array<char, kReadChunkBytes> Chunk;
  std::size_t Total = 0;
  while (Total < kMaxBytesPerTurn) {
    const ssize_t Count = recv(Socket.value(), Chunk.data(), Chunk.size(), 0);
    if (Count == 0)
      return false;
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK;
    In.append(Chunk.data(), static_cast<std::size_t>(Count));
    Total += static_cast<std::size_t>(Count);
    LastReceived = Now;
    // Before authentication nothing may pile up.
    if (Current != State::Open && In.size() > 4 * kMaxHandshakeFrameBytes)
      return true;
  }
  return true;
}

std::optional<std::string> Connection::nextPayload() {
  Length Size = 0;
  if (In.size() < sizeof(Size))
    return std::nullopt;
  std::memcpy(&Size, In.data(), sizeof(Size));
  const std::size_t Limit =
      Current == State::Open ? kMaxFrameBytes : kMaxHandshakeFrameBytes;
  if (Size > Limit) {
    Current = State::Closed;
    return std::nullopt;
  }
  if (In.size() < sizeof(Size) + Size)
    return std::nullopt;
  std::string Payload = In.substr(sizeof(Size), Size);
  In.erase(0, sizeof(Size) + Size);
  return Payload;
}

void Connection::onPayload(const std::string &Payload,
                           std::vector<Frame> &Frames) {
  if (Current == State::Handshake) {
    const bool Good = HaveHello ? onFirstSealed(Payload) : onHello(Payload);
    if (!Good)
      Current = State::Closed;
    return;
  }
  const auto Plain = Receiving->open(Payload);
  if (!Plain || Plain->empty()) {
    Current = State::Closed;
    return;
  }
  Frames.push_back({static_cast<std::uint8_t>((*Plain)[0]), Plain->substr(1)});
}

bool Connection::onHello(const std::string &Payload) {
  const auto Received = base::decode<Hello>(Payload);
  if (!Received || Received->Protocol != Hello::kProtocol)
    return false;
  PeerHello = *Received;
  HaveHello = true;
  if (!Dialled) {
    sendHello();
    return true;
  }
  makeStreams(UsePrevious ? Secrets.Previous : Secrets.Current);
  sendSealed({kConfirmType, ""});
  return true;
}

bool Connection::onFirstSealed(const std::string &Payload) {
  if (!Dialled)
    makeStreams(Secrets.Current);
  auto Plain = Receiving->open(Payload);
  if (!Plain && !Dialled && !Secrets.Previous.empty()) {
    makeStreams(Secrets.Previous);
    Plain = Receiving->open(Payload);
  }
  if (!Plain || Plain->size() != 1 ||
      static_cast<std::uint8_t>((*Plain)[0]) != kConfirmType)
    return false;
  if (!Dialled)
    sendSealed({kConfirmType, ""});
  becomeOpen();
  return true;
}

void Connection::makeStreams(const std::string &Secret) {
  const Hello &Dialler = Dialled ? OwnHello : PeerHello;
  const Hello &Acceptor = Dialled ? PeerHello : OwnHello;
  Sending.emplace(deriveSessionKey(Secret, Dialler, Acceptor, Dialled));
  Receiving.emplace(deriveSessionKey(Secret, Dialler, Acceptor, !Dialled));
}

void Connection::becomeOpen() {
  Current = State::Open;
  OpenedOnce = true;
  for (const Frame &Message : Waiting)
    sendSealed(Message);
  Waiting.clear();
  WaitingBytes = 0;
}

} // namespace transport
