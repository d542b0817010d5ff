#include "transport/internal/connection.h"

#include "base/codec.h"

#include <cereal/types/string.hpp>

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace transport {

namespace {

/// Length prefix of a frame.
using Length = std::uint32_t;

/// Type of the frame that confirms the session keys.
constexpr std::uint8_t kConfirmType = 255;
constexpr std::size_t kReadChunkBytes = 64 << 10;
/// Limit on the bytes read from one connection per event loop iteration, so
/// that a busy peer can't starve the others.
constexpr std::size_t kMaxBytesPerRead = 1 << 20;
/// Limit on the fragments that one call of `flush` encrypts, so that a large
/// frame doesn't keep the other connections waiting.
constexpr int kMaxFragmentsPerFlush = 8;
/// Largest buffer that is kept for reuse when it is empty.
constexpr std::size_t kMaxIdleBufferBytes = 16 << 10;
/// Largest encrypted frame: one that is not fragmented, or a fragment.
constexpr std::size_t kMaxSealedBytes =
    kFragmentBytes + kFragmentHeaderBytes + kSealBytes;

/// Empties a buffer, and releases it if it is large.
void clearBuffer(std::string &Buffer) {
  // Assigning an empty string would keep the memory.
  if (Buffer.capacity() > kMaxIdleBufferBytes)
    std::string().swap(Buffer);
  else
    Buffer.clear();
}

} // namespace

Connection::Connection(FileDescriptor Socket, const base::ProcessId &Self,
                       const SecretPair &Secrets, base::BootTime Now,
                       base::MemoryBudget *Budget)
    : Liveness(Now), Socket(std::move(Socket)), Secrets(Secrets),
      StartedAt(Now), Assembler(Budget) {
  OwnHello.HelloNonce = makeNonce();
  OwnHello.Sender = Self;
}

Connection Connection::dial(FileDescriptor Socket, base::Endpoint Peer,
                            const base::ProcessId &Self,
                            const SecretPair &Secrets, bool UsePreviousSecret,
                            base::BootTime Now, base::MemoryBudget *Budget) {
  Connection Result(std::move(Socket), Self, Secrets, Now, Budget);
  Result.IsDialler = true;
  Result.UsePreviousSecret = UsePreviousSecret;
  Result.DialledAddress = std::move(Peer);
  Result.CurrentState =
      Result.Socket.valid() ? State::Connecting : State::Closed;
  Result.sendHello();
  return Result;
}

Connection Connection::accept(FileDescriptor Socket,
                              const base::ProcessId &Self,
                              const SecretPair &Secrets, base::BootTime Now,
                              base::MemoryBudget *Budget) {
  return Connection(std::move(Socket), Self, Secrets, Now, Budget);
}

bool Connection::send(Frame Message) {
  if (CurrentState == State::Closed)
    return false;
  const std::size_t Size = Message.size();
  const std::size_t Queued =
      WriteBuffer.size() - WriteOffset + PendingBytes + Fragments.queuedBytes();
  if (Size > kMaxFrameBytes || Queued + Size > kMaxQueuedBytes)
    return false;
  if (CurrentState == State::Open) {
    queueFrame(std::move(Message));
    return true;
  }
  PendingBytes += Size;
  PendingFrames.push_back(std::move(Message));
  return true;
}

std::vector<Frame> Connection::readFrames(base::BootTime Now) {
  std::vector<Frame> Frames;
  if (CurrentState == State::Connecting)
    CurrentState = State::Handshake;
  std::array<char, kReadChunkBytes> Chunk;
  std::size_t Total = 0;
  // Frames are taken out of the buffer after each chunk, so that it stays
  // small, before the peer is authenticated too.
  while (CurrentState != State::Closed && Total < kMaxBytesPerRead) {
    const ssize_t Count = recv(Socket.value(), Chunk.data(), Chunk.size(), 0);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (Count <= 0) {
      CurrentState = State::Closed;
      break;
    }
    ReadBuffer.append(Chunk.data(), static_cast<std::size_t>(Count));
    Total += static_cast<std::size_t>(Count);
    Liveness.onReceived(Now);
    consumeBuffered(Frames);
  }
  return Frames;
}

void Connection::flush() {
  if (CurrentState == State::Connecting)
    CurrentState = State::Handshake;
  for (int Sealed = 0;
       writeBuffered() && !Fragments.empty() && Sealed < kMaxFragmentsPerFlush;
       ++Sealed)
    queueSealed([this](std::string &Out) { Fragments.appendNext(Out); });
}

/// Returns whether all bytes in the buffer have been written.
bool Connection::writeBuffered() {
  while (CurrentState != State::Closed && WriteOffset < WriteBuffer.size()) {
    const ssize_t Written =
        ::send(Socket.value(), WriteBuffer.data() + WriteOffset,
               WriteBuffer.size() - WriteOffset, MSG_NOSIGNAL);
    if (Written < 0) {
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK)
        CurrentState = State::Closed;
      return false;
    }
    WriteOffset += static_cast<std::size_t>(Written);
  }
  WriteOffset = 0;
  if (Fragments.empty())
    clearBuffer(WriteBuffer);
  else
    WriteBuffer.clear();
  return CurrentState != State::Closed;
}

void Connection::queuePayload(std::string_view Payload) {
  const auto Size = static_cast<Length>(Payload.size());
  WriteBuffer.append(reinterpret_cast<const char *>(&Size), sizeof(Size));
  WriteBuffer.append(Payload);
}

/// Queues what `AppendPlain` appends to the buffer that it is given, encrypted.
template <typename Append>
void Connection::queueSealed(const Append &AppendPlain) {
  const std::size_t Start = WriteBuffer.size();
  WriteBuffer.append(sizeof(Length), '\0');
  AppendPlain(WriteBuffer);
  SendCipher->sealInPlace(WriteBuffer, Start + sizeof(Length));
  const auto Size =
      static_cast<Length>(WriteBuffer.size() - Start - sizeof(Length));
  std::memcpy(WriteBuffer.data() + Start, &Size, sizeof(Size));
}

void Connection::queueFrame(Frame Message) {
  if (isFragmented(Message)) {
    Fragments.push(std::move(Message));
    return;
  }
  queueSealed([&Message](std::string &Out) {
    Out += static_cast<char>(Message.Type);
    Out += Message.Body;
  });
}

void Connection::sendHello() { queuePayload(base::encode(OwnHello)); }

/// Returns the next payload in the read buffer, which is valid until more is
/// read.
std::optional<std::span<char>> Connection::nextPayload() {
  Length Size = 0;
  const std::size_t Available = ReadBuffer.size() - ReadOffset;
  if (Available < sizeof(Size))
    return std::nullopt;
  std::memcpy(&Size, ReadBuffer.data() + ReadOffset, sizeof(Size));
  const std::size_t Limit =
      CurrentState == State::Open ? kMaxSealedBytes : kMaxHandshakeFrameBytes;
  if (Size > Limit) {
    CurrentState = State::Closed;
    return std::nullopt;
  }
  if (Available < sizeof(Size) + Size)
    return std::nullopt;
  const std::span Payload(ReadBuffer.data() + ReadOffset + sizeof(Size), Size);
  ReadOffset += sizeof(Size) + Size;
  return Payload;
}

/// Takes the complete payloads out of the read buffer.
void Connection::consumeBuffered(std::vector<Frame> &Frames) {
  while (CurrentState != State::Closed) {
    const auto Payload = nextPayload();
    if (!Payload)
      break;
    onPayload(*Payload, Frames);
  }
  if (ReadOffset == ReadBuffer.size())
    clearBuffer(ReadBuffer);
  else
    ReadBuffer.erase(0, ReadOffset);
  ReadOffset = 0;
}

void Connection::onPayload(std::span<char> Payload,
                           std::vector<Frame> &Frames) {
  bool Accepted = false;
  if (CurrentState == State::Handshake) {
    const std::string_view Text(Payload.data(), Payload.size());
    Accepted = HelloReceived ? onConfirmation(Text) : onHello(Text);
  } else if (const auto Plain = ReceiveCipher->openInPlace(Payload)) {
    Accepted = onOpened(*Plain, Frames);
  }
  if (!Accepted)
    CurrentState = State::Closed;
}

/// Handles a decrypted frame. Returns false if it is malformed.
bool Connection::onOpened(std::string_view Plain, std::vector<Frame> &Frames) {
  if (Plain.empty())
    return false;
  const auto Type = static_cast<std::uint8_t>(Plain[0]);
  Plain.remove_prefix(1);
  if (Type != kFirstFragmentType && Type != kNextFragmentType) {
    Frames.push_back({Type, std::string(Plain)});
    return true;
  }
  Frame Completed;
  const auto Result = Type == kFirstFragmentType
                          ? Assembler.addFirst(Plain, Completed)
                          : Assembler.addNext(Plain, Completed);
  if (Result == FragmentAssembler::Result::Complete)
    Frames.push_back(std::move(Completed));
  return Result != FragmentAssembler::Result::Malformed;
}

bool Connection::onHello(std::string_view Payload) {
  const auto Received = base::decode<Hello>(Payload);
  if (!Received || Received->Protocol != Hello::kProtocol)
    return false;
  PeerHello = *Received;
  HelloReceived = true;
  if (!IsDialler) {
    sendHello();
    return true;
  }
  deriveCiphers(UsePreviousSecret ? Secrets.Previous : Secrets.Current);
  queueFrame({kConfirmType, ""});
  return true;
}

bool Connection::onConfirmation(std::string_view Payload) {
  if (!IsDialler)
    deriveCiphers(Secrets.Current);
  auto Plain = ReceiveCipher->open(Payload);
  // The dialler may still use the secret from before the rotation.
  if (!Plain && !IsDialler && !Secrets.Previous.empty()) {
    deriveCiphers(Secrets.Previous);
    Plain = ReceiveCipher->open(Payload);
  }
  if (!Plain || Plain->size() != 1 ||
      static_cast<std::uint8_t>((*Plain)[0]) != kConfirmType)
    return false;
  if (!IsDialler)
    queueFrame({kConfirmType, ""});
  onAuthenticated();
  return true;
}

void Connection::deriveCiphers(const std::string &Secret) {
  const Hello &Dialler = IsDialler ? OwnHello : PeerHello;
  const Hello &Acceptor = IsDialler ? PeerHello : OwnHello;
  SendCipher.emplace(deriveSessionKey(Secret, Dialler, Acceptor, IsDialler));
  ReceiveCipher.emplace(
      deriveSessionKey(Secret, Dialler, Acceptor, !IsDialler));
}

void Connection::onAuthenticated() {
  CurrentState = State::Open;
  EverOpen = true;
  for (Frame &Message : PendingFrames)
    queueFrame(std::move(Message));
  PendingFrames.clear();
  PendingBytes = 0;
}

} // namespace transport
