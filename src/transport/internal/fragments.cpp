#include "transport/internal/fragments.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace transport {

namespace {

/// Size of a part of a frame, as sent.
using PartSize = std::uint32_t;

/// The stream, the type of the frame, whether the payload is optional, and the
/// sizes of both parts.
constexpr std::size_t kFirstHeaderBytes = 3 + 2 * sizeof(PartSize);
static_assert(kFragmentHeaderBytes == 1 + kFirstHeaderBytes);

void appendSize(std::string &Out, std::size_t Value) {
  const auto Size = static_cast<PartSize>(Value);
  Out.append(reinterpret_cast<const char *>(&Size), sizeof(Size));
}

/// A received payload and its share of the budget.
struct ChargedPayload {
  base::MemoryReservation Memory;
  std::string Bytes;
};

std::size_t readSize(std::string_view Bytes) {
  PartSize Size = 0;
  std::memcpy(&Size, Bytes.data(), sizeof(Size));
  return Size;
}

} // namespace

void FragmentQueue::push(Frame Message) {
  ++Frames;
  Bytes += Message.size();
  Waiting.push_back(std::move(Message));
}

void FragmentQueue::appendNext(std::string &Out) {
  for (std::optional<Outgoing> &Stream : Streams) {
    if (Stream || Waiting.empty())
      continue;
    Stream.emplace(Outgoing{std::move(Waiting.front())});
    Waiting.pop_front();
  }
  while (!Streams[Turn])
    Turn = (Turn + 1) % kFragmentStreams;
  Outgoing &Current = *Streams[Turn];
  const Frame &Message = Current.Message;
  const bool IsFirst = Current.Taken == 0;
  Out += static_cast<char>(IsFirst ? kFirstFragmentType : kNextFragmentType);
  Out += static_cast<char>(Turn);
  if (IsFirst) {
    Out += static_cast<char>(Message.Type);
    Out += static_cast<char>(Message.PayloadIsOptional ? 1 : 0);
    appendSize(Out, Message.Body.size());
    appendSize(Out, Message.size() - Message.Body.size());
  }
  appendContent(Out, Current);
  if (Current.Taken == Message.size()) {
    --Frames;
    Bytes -= Message.size();
    Streams[Turn].reset();
  }
  Turn = (Turn + 1) % kFragmentStreams;
}

void FragmentQueue::appendContent(std::string &Out, Outgoing &Current) {
  std::size_t Room = kFragmentBytes;
  const std::string &Body = Current.Message.Body;
  if (Current.Taken < Body.size()) {
    const std::size_t Count = std::min(Room, Body.size() - Current.Taken);
    Out.append(Body, Current.Taken, Count);
    Current.Taken += Count;
    Room -= Count;
  }
  if (Current.Taken < Body.size() || !Current.Message.Payload)
    return;
  const std::string &Payload = *Current.Message.Payload;
  const std::size_t From = Current.Taken - Body.size();
  const std::size_t Count = std::min(Room, Payload.size() - From);
  Out.append(Payload, From, Count);
  Current.Taken += Count;
}

FragmentAssembler::Result FragmentAssembler::addFirst(std::string_view Fragment,
                                                      Frame &Completed) {
  if (Fragment.size() < kFirstHeaderBytes)
    return Result::Malformed;
  const auto Stream = static_cast<std::uint8_t>(Fragment[0]);
  Incoming Started;
  Started.Type = static_cast<std::uint8_t>(Fragment[1]);
  const bool IsOptional = Fragment[2] != 0;
  Started.BodyBytes = readSize(Fragment.substr(3));
  Started.PayloadBytes = readSize(Fragment.substr(3 + sizeof(PartSize)));
  const std::size_t Size = Started.BodyBytes + Started.PayloadBytes;
  if (Stream >= kFragmentStreams || Streams[Stream] ||
      Started.Type >= kFirstReservedType || Size > kMaxFrameBytes ||
      Bytes + Size > kMaxQueuedBytes)
    return Result::Malformed;
  Started.Memory = base::MemoryReservation(Budget);
  if (!IsOptional)
    Started.Memory.resize(Started.PayloadBytes);
  else if (!Started.Memory.tryResize(Started.PayloadBytes))
    Started.DropsPayload = true;
  // The system provides the memory as it is used.
  Started.Body.reserve(Started.BodyBytes);
  if (!Started.DropsPayload)
    Started.Payload.reserve(Started.PayloadBytes);
  Bytes += Size;
  Streams[Stream] = std::move(Started);
  return addContent(Stream, Fragment.substr(kFirstHeaderBytes), Completed);
}

FragmentAssembler::Result FragmentAssembler::addNext(std::string_view Fragment,
                                                     Frame &Completed) {
  if (Fragment.empty())
    return Result::Malformed;
  const auto Stream = static_cast<std::uint8_t>(Fragment[0]);
  if (Stream >= kFragmentStreams || !Streams[Stream])
    return Result::Malformed;
  return addContent(Stream, Fragment.substr(1), Completed);
}

FragmentAssembler::Result
FragmentAssembler::addContent(std::size_t Stream, std::string_view Content,
                              Frame &Completed) {
  Incoming &Current = *Streams[Stream];
  const std::size_t InBody =
      std::min(Content.size(), Current.BodyBytes - Current.Body.size());
  Current.Body.append(Content.substr(0, InBody));
  Content.remove_prefix(InBody);
  if (Content.size() > Current.PayloadBytes - Current.PayloadReceived)
    return Result::Malformed;
  Current.PayloadReceived += Content.size();
  if (!Current.DropsPayload)
    Current.Payload.append(Content);
  if (Current.Body.size() < Current.BodyBytes ||
      Current.PayloadReceived < Current.PayloadBytes)
    return Result::Incomplete;
  Completed.Type = Current.Type;
  Completed.Body = std::move(Current.Body);
  Completed.Payload.reset();
  Completed.PayloadDropped = Current.DropsPayload;
  if (Current.PayloadBytes > 0 && !Current.DropsPayload) {
    const auto Held = std::make_shared<ChargedPayload>();
    Held->Memory = std::move(Current.Memory);
    Held->Bytes = std::move(Current.Payload);
    Completed.Payload = {Held, &Held->Bytes};
  }
  Bytes -= Current.BodyBytes + Current.PayloadBytes;
  Streams[Stream].reset();
  return Result::Complete;
}

} // namespace transport
