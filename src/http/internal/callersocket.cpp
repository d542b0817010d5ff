#include "http/internal/callersocket.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <charconv>
#include <utility>

namespace http {

namespace beast = boost::beast::http;

std::string_view refusalReasonName(ServerRefusalReason Reason) {
  switch (Reason) {
  case ServerRefusalReason::Malformed:
    return "malformed";
  case ServerRefusalReason::HeadTooLarge:
    return "head_too_large";
  case ServerRefusalReason::BodyTooLarge:
    return "body_too_large";
  case ServerRefusalReason::HeadTimeout:
    return "head_timeout";
  case ServerRefusalReason::BodyTimeout:
    return "body_timeout";
  case ServerRefusalReason::OutOfMemory:
    return "out_of_memory";
  case ServerRefusalReason::UnreadResponse:
    return "unread_response";
  case ServerRefusalReason::TooManyConnections:
    return "too_many_connections";
  }
  return "unknown";
}

namespace {

using namespace std::chrono_literals;

/// Limit on the requests of one connection that are in progress at once.
constexpr std::size_t kMaxPipelinedRequests = 16;
/// While more response bytes are unsent, nothing is read from the caller.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} << 10;
constexpr std::size_t kReadChunkBytes = std::size_t{16} << 10;
/// Bound on what is read at a time, so that a fast caller doesn't keep the
/// thread from the others.
constexpr int kMaxChunksPerRead = 16;
/// Parts of responses up to this size are sent as one.
constexpr std::size_t kMaxJoinedBytes = std::size_t{16} << 10;
constexpr std::size_t kMaxPartsPerSend = 8;
/// Bytes that the lines of a head must have on average if there are more than
/// `kMinMaxHeadLines`.
constexpr std::size_t kMinHeadLineBytes = 16;
constexpr std::size_t kMinMaxHeadLines = 100;
/// Time that a caller gets to close the connection after the last response.
/// Closing it immediately could reset the connection before the caller has read
/// the response.
constexpr base::Duration kLingerTime = 2s;
/// Longest time to wait for a body, whatever its caller states.
constexpr std::chrono::milliseconds kMaxRequestTimeout = std::chrono::hours(1);
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kRequestTimeout = 408;
constexpr std::uint16_t kContentTooLarge = 413;
constexpr std::uint16_t kHeaderFieldsTooLarge = 431;
constexpr std::uint16_t kUnavailable = 503;
/// Seconds after which a request that was refused for lack of memory may be
/// sent again.
constexpr const char *kRetryAfter = "0.500";
/// Memory that a connection takes without requests, and a request without its
/// body and header lines: in this process's structures and in the system's.
constexpr std::size_t kConnectionBytes = 2048;
constexpr std::size_t kRequestBytes = 2048;
/// Memory that a header line takes beside its characters, in the parser, in the
/// request and in the message to another daemon.
constexpr std::size_t kHeadLineBytes = 256;

constexpr std::uint16_t kBadGateway = 502;
/// Longest name or value of a header that the HTTP library can write.
constexpr std::size_t kMaxFieldBytes = 65'000;

bool hasOversizedHeader(const Response &Message) {
  return std::any_of(Message.Headers.begin(), Message.Headers.end(),
                     [](const Header &Each) {
                       return Each.Name.size() > kMaxFieldBytes ||
                              Each.Value.size() > kMaxFieldBytes;
                     });
}

bool excludesBody(std::uint16_t Status) {
  return Status == kNoContent || Status == kNotModified;
}

/// The length to state in a response without a body: the one in its headers, or
/// that of the body which it would have had.
std::optional<std::string> statedLength(const Response &Message) {
  if (Message.Status == kNoContent)
    return std::nullopt;
  auto Stated = findHeader(Message.Headers, "content-length");
  if (Stated || Message.Body.empty())
    return Stated;
  return std::to_string(Message.Body.size());
}

ServerRefusalReason reasonFor(const boost::system::error_code &Problem) {
  if (Problem == beast::error::body_limit)
    return ServerRefusalReason::BodyTooLarge;
  return Problem == beast::error::header_limit
             ? ServerRefusalReason::HeadTooLarge
             : ServerRefusalReason::Malformed;
}

std::uint16_t statusFor(ServerRefusalReason Reason) {
  switch (Reason) {
  case ServerRefusalReason::Malformed:
    return kBadRequest;
  case ServerRefusalReason::HeadTooLarge:
    return kHeaderFieldsTooLarge;
  case ServerRefusalReason::BodyTooLarge:
    return kContentTooLarge;
  case ServerRefusalReason::HeadTimeout:
  case ServerRefusalReason::BodyTimeout:
    return kRequestTimeout;
  case ServerRefusalReason::OutOfMemory:
    return kUnavailable;
  case ServerRefusalReason::UnreadResponse:
  case ServerRefusalReason::TooManyConnections:
    break;
  }
  return 0;
}

std::size_t memoryBytes(const Response &Message) {
  std::size_t Result = Message.Body.capacity();
  for (const Header &Each : Message.Headers)
    Result += sizeof(Header) + Each.Name.size() + Each.Value.size();
  return Result;
}

/// The status line and the headers, as they are sent.
template <class Message> std::string headText(const Message &Head) {
  std::string Result = "HTTP/1.1 " + std::to_string(Head.result_int()) + " ";
  Result += std::string_view(Head.reason());
  Result += "\r\n";
  for (const auto &Field : Head) {
    Result += std::string_view(Field.name_string());
    Result += ": ";
    Result += std::string_view(Field.value());
    Result += "\r\n";
  }
  return Result += "\r\n";
}

/// Unlike an assignment, frees the memory.
void freeText(std::string &Text) { std::string().swap(Text); }

/// Bound on the lines of a head, each of which takes far more memory than its
/// bytes.
std::size_t maxHeadLines(std::size_t MaxHeaderBytes) {
  return std::max(kMinMaxHeadLines, MaxHeaderBytes / kMinHeadLineBytes);
}

} // namespace

CallerSocket::PartialRequest::PartialRequest(const CallerLimits &Limits,
                                             base::BootTime Now)
    : MaxHeaderBytes(Limits.MaxHeaderBytes),
      RequestTimeout(Limits.RequestTimeout),
      TimeLeftHeader(Limits.TimeLeftHeader), StartedAt(Now),
      DueAt(Now + Limits.HeaderTimeout), ProgressAt(Now) {
  Parser.header_limit(static_cast<std::uint32_t>(MaxHeaderBytes));
  Parser.body_limit(Limits.MaxBodyBytes);
}

std::size_t CallerSocket::PartialRequest::memoryBytes() const {
  return kRequestBytes + 2 * HeadBytes + HeadLines * kHeadLineBytes +
         bodyBytes();
}

CallerSocket::CallerSocket(int Descriptor, base::BootTime Now,
                           base::MemoryBudget *Budget)
    : Descriptor(Descriptor), Charge(Budget), LastActivity(Now) {
  chargeAll();
}

CallerSocket::~CallerSocket() { close(Descriptor); }

bool CallerSocket::wantsRead() const {
  if (WriteClosed)
    return true;
  return !Closing && Exchanges.size() < kMaxPipelinedRequests &&
         UnsentBytes < kMaxUnsentBytes;
}

ReadResult CallerSocket::read(const CallerLimits &Limits, std::uint64_t &NextId,
                              base::BootTime Now) {
  ReadResult Result;
  std::array<char, kReadChunkBytes> Buffer;
  for (int Block = 0; Block < kMaxChunksPerRead && wantsRead(); ++Block) {
    const ssize_t Count =
        recv(Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR)) {
      Result.Disconnected = true;
      return Result;
    }
    if (Count < 0)
      break;
    LastActivity = Now;
    // The connection is closing; requests after the last response are dropped.
    if (WriteClosed)
      continue;
    const std::string_view Arrived(Buffer.data(),
                                   static_cast<std::size_t>(Count));
    for (auto &Each : parse(Arrived, Limits, NextId, Now))
      Result.Requests.push_back(std::move(Each));
    if (ShortOfMemory || static_cast<std::size_t>(Count) < Buffer.size())
      break;
  }
  return Result;
}

std::vector<std::pair<ExchangeId, Request>>
CallerSocket::parseBuffered(const CallerLimits &Limits, std::uint64_t &NextId,
                            base::BootTime Now) {
  if (ReadBuffer.empty() && !Partial)
    return {};
  return parse({}, Limits, NextId, Now);
}

/// Parses the bytes that were left over and those that have arrived, and keeps
/// what can't be parsed yet.
std::vector<std::pair<ExchangeId, Request>>
CallerSocket::parse(std::string_view Arrived, const CallerLimits &Limits,
                    std::uint64_t &NextId, base::BootTime Now) {
  std::vector<std::pair<ExchangeId, Request>> Parsed;
  const bool Buffered = !ReadBuffer.empty();
  if (Buffered)
    ReadBuffer.append(Arrived);
  std::string_view Input = Buffered ? std::string_view(ReadBuffer) : Arrived;
  ShortOfMemory = false;
  while (wantsRead() && !WriteClosed &&
         parseOne(Input, Limits, NextId, Now, Parsed)) {
  }
  // No request is read any more.
  if (Closing)
    Input = {};
  if (Input.empty())
    freeText(ReadBuffer);
  else if (Buffered)
    ReadBuffer.erase(0, ReadBuffer.size() - Input.size());
  else
    ReadBuffer = Input;
  if (Partial)
    ShortOfMemory = !tryCharge() || ShortOfMemory;
  else
    chargeAll();
  return Parsed;
}

/// Parses one request and removes its bytes from `Input`. Returns false if it
/// is incomplete or malformed.
bool CallerSocket::parseOne(
    std::string_view &Input, const CallerLimits &Limits, std::uint64_t &NextId,
    base::BootTime Now, std::vector<std::pair<ExchangeId, Request>> &Parsed) {
  if (Input.empty() && !Partial)
    return false;
  if (!Partial)
    Partial = std::make_unique<PartialRequest>(Limits, Now);
  if (!parseHead(Input, Now) || !parseBody(Input, Now))
    return false;
  if (!tryCharge()) {
    ShortOfMemory = true;
    return false;
  }
  const std::unique_ptr<PartialRequest> Complete = std::move(Partial);
  const ExchangeId Id(NextId++);
  Exchanges.push_back(
      {Id, Complete->KeepAlive, Complete->IsHead, {}, Complete->memoryBytes()});
  Complete->Received.Body = Complete->Parser.get().body().take();
  if (!Complete->KeepAlive)
    Closing = true;
  Parsed.emplace_back(Id, std::move(Complete->Received));
  return true;
}

/// Parses the request line and the headers. Returns true once they are
/// complete.
bool CallerSocket::parseHead(std::string_view &Input, base::BootTime Now) {
  PartialRequest &Current = *Partial;
  if (Current.Parser.is_header_done())
    return true;
  if (Input.empty())
    return false;
  boost::system::error_code Problem;
  const std::size_t Used = Current.Parser.put(
      boost::asio::buffer(Input.data(), Input.size()), Problem);
  Current.HeadBytes += Used;
  Current.HeadLines += static_cast<std::size_t>(
      std::count(Input.data(), Input.data() + Used, '\n'));
  Input.remove_prefix(Used);
  if (Problem && Problem != beast::error::need_more) {
    refusePartialRequest(reasonFor(Problem), Now);
    return false;
  }
  // The parser bounds the request line and what it has not taken of the
  // headers, but not their total.
  if (Current.HeadBytes > 2 * Current.MaxHeaderBytes ||
      Current.HeadLines > maxHeadLines(Current.MaxHeaderBytes)) {
    refusePartialRequest(ServerRefusalReason::HeadTooLarge, Now);
    return false;
  }
  return Current.Parser.is_header_done() && takeHead(Now);
}

/// Time from the first byte of the request to the end of its body.
base::Duration CallerSocket::requestTimeout(const PartialRequest &Current) {
  const auto Stated =
      Current.TimeLeftHeader.empty()
          ? std::nullopt
          : findHeader(Current.Received.Headers, Current.TimeLeftHeader);
  std::int64_t Milliseconds = 0;
  if (!Stated ||
      std::from_chars(Stated->data(), Stated->data() + Stated->size(),
                      Milliseconds)
              .ec != std::errc() ||
      Milliseconds < 0)
    return Current.RequestTimeout;
  return std::chrono::milliseconds(
      std::min(Milliseconds, kMaxRequestTimeout.count()));
}

/// Moves the head out of the parser, which adds the trailers to what it holds.
/// Returns false if the length of the body is ambiguous.
bool CallerSocket::takeHead(base::BootTime Now) {
  PartialRequest &Current = *Partial;
  auto &Head = Current.Parser.get();
  // The parser takes a request whose last transfer coding isn't `chunked` for
  // one without a body; the body would be parsed as the next request.
  if (!Current.Parser.chunked() &&
      Head.count(beast::field::transfer_encoding) > 0) {
    refusePartialRequest(ServerRefusalReason::Malformed, Now);
    return false;
  }
  Current.KeepAlive = Current.Parser.keep_alive();
  Current.IsHead = Head.method() == beast::verb::head;
  Current.Received.Method = std::string(Head.method_string());
  splitTarget(std::string(Head.target()), Current.Received);
  Current.Received.Headers.reserve(Current.HeadLines);
  for (const auto &Field : Head)
    Current.Received.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  if (!Current.Parser.is_done() && Exchanges.empty() &&
      Head[beast::field::expect] == "100-continue")
    queueBytes("HTTP/1.1 100 Continue\r\n\r\n");
  Current.DueAt = Current.StartedAt + requestTimeout(Current);
  Head.clear();
  Current.Parser.eager(true);
  return true;
}

/// Parses the body and drops its trailers. Returns true once it is complete.
bool CallerSocket::parseBody(std::string_view &Input, base::BootTime Now) {
  PartialRequest &Current = *Partial;
  boost::system::error_code Problem;
  while (!Input.empty() && !Current.Parser.is_done() && !Problem)
    Input.remove_prefix(Current.Parser.put(
        boost::asio::buffer(Input.data(), Input.size()), Problem));
  if (Problem && Problem != beast::error::need_more) {
    refusePartialRequest(reasonFor(Problem), Now);
    return false;
  }
  recordProgress(Now);
  if (Current.Parser.is_done())
    return true;
  // The parser takes a chunk's size line and the trailers only as a whole.
  if (Input.size() > Current.MaxHeaderBytes)
    refusePartialRequest(ServerRefusalReason::HeadTooLarge, Now);
  return false;
}

void CallerSocket::recordProgress(base::BootTime Now) {
  PartialRequest &Current = *Partial;
  if (Current.bodyBytes() < Current.ProgressBytes + kProgressBytes)
    return;
  Current.ProgressBytes = Current.bodyBytes();
  Current.ProgressAt = Now;
}

std::size_t CallerSocket::partialRequestBytes() const {
  return Partial ? Partial->memoryBytes() : 0;
}

std::size_t CallerSocket::heldBytes() const {
  std::size_t Result =
      kConnectionBytes + ReadBuffer.capacity() + partialRequestBytes();
  for (const std::string &Each : Unsent)
    Result += Each.capacity();
  for (const Exchange &Each : Exchanges)
    Result +=
        Each.RequestBytes + (Each.Response ? memoryBytes(*Each.Response) : 0);
  return Result;
}

void CallerSocket::refusePartialRequest(ServerRefusalReason Reason,
                                        base::BootTime Now) {
  ServerRefusal Refusal;
  Refusal.Reason = Reason;
  Refusal.Status = statusFor(Reason);
  Refusal.HeadBytes = Partial->HeadBytes;
  Refusal.BodyBytes = Partial->bodyBytes();
  Refusal.HeldBytes = heldBytes();
  Refusal.Age = Now - Partial->StartedAt;
  Refusal.WithoutProgress = Now - Partial->ProgressAt;
  Refused = Refusal;
  Exchange Error;
  Error.KeepAlive = false;
  Error.Response = Response{Refusal.Status, {}, ""};
  if (Reason == ServerRefusalReason::OutOfMemory)
    Error.Response->Headers.push_back({"Retry-After", kRetryAfter});
  Exchanges.push_back(std::move(Error));
  // The bytes that follow can't be parsed, or must not take more memory.
  Partial.reset();
  freeText(ReadBuffer);
  ShortOfMemory = false;
  Closing = true;
  queueResponses();
}

bool CallerSocket::respond(ExchangeId Id, Response Message,
                           base::BootTime Now) {
  const auto Found =
      std::find_if(Exchanges.begin(), Exchanges.end(),
                   [Id](const Exchange &Each) { return Each.Id == Id; });
  if (Found == Exchanges.end())
    return true;
  const bool UntilClose = Message.Framing == BodyFraming::UntilClose;
  assert((!UntilClose || std::next(Found) == Exchanges.end()) &&
         "responses behind this one would be lost");
  if (Message.CloseConnection || UntilClose) {
    Closing = true;
    Partial.reset();
    freeText(ReadBuffer);
  }
  // The library would throw on such a header, or on some of these statuses.
  if (hasOversizedHeader(Message) || !isFinalStatus(Message.Status))
    Message = Response{kBadGateway, {}, ""};
  Found->Response = std::move(Message);
  Found->RequestBytes = 0;
  queueResponses();
  return flush(Now);
}

/// Serializes the responses whose turn has come. All requests that were read
/// get a response before the connection is closed, so only the last one carries
/// `Connection: close`.
void CallerSocket::queueResponses() {
  while (!Exchanges.empty() && Exchanges.front().Response) {
    Exchange Completed = std::move(Exchanges.front());
    Exchanges.pop_front();
    serialize(Completed, Closing && Exchanges.empty());
  }
}

void CallerSocket::serialize(Exchange &Completed, bool Close) {
  beast::response<beast::empty_body> Message;
  Message.version(11);
  Message.result(Completed.Response->Status);
  for (const Header &Each : Completed.Response->Headers)
    if (!isHopByHopHeader(Each.Name))
      Message.insert(Each.Name, Each.Value);
  const bool HasNoBody =
      Completed.IsHead || excludesBody(Completed.Response->Status);
  const bool UntilClose =
      !HasNoBody && Completed.Response->Framing == BodyFraming::UntilClose;
  if (HasNoBody) {
    if (const auto Length = statedLength(*Completed.Response))
      Message.set(beast::field::content_length, *Length);
  } else if (!UntilClose) {
    Message.content_length(Completed.Response->Body.size());
  }
  Message.keep_alive(!Close);
  queueBytes(headText(Message));
  if (!HasNoBody)
    queueBytes(std::move(Completed.Response->Body));
  if (UntilClose)
    setResetOnClose(true);
}

/// Queues bytes for sending. Small parts are joined; large ones are not copied.
void CallerSocket::queueBytes(std::string &&Bytes) {
  UnsentBytes += Bytes.size();
  if (!Unsent.empty() && Unsent.back().size() + Bytes.size() <= kMaxJoinedBytes)
    Unsent.back() += Bytes;
  else if (!Bytes.empty())
    Unsent.push_back(std::move(Bytes));
}

bool CallerSocket::flush(base::BootTime Now) {
  while (UnsentBytes > 0) {
    const ssize_t Count = sendParts();
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0) {
      if (!std::exchange(SendBlocked, true))
        SendProgressAt = Now;
      return errno == EAGAIN;
    }
    removeSent(static_cast<std::size_t>(Count));
    LastActivity = Now;
    SendProgressAt = Now;
  }
  SendBlocked = false;
  if (ResetOnClose)
    setResetOnClose(false);
  if (Closing && Exchanges.empty() && !std::exchange(WriteClosed, true)) {
    WriteClosedAt = Now;
    shutdown(Descriptor, SHUT_WR);
  }
  return true;
}

/// Passes the first parts of what is unsent to the system.
ssize_t CallerSocket::sendParts() const {
  std::array<iovec, kMaxPartsPerSend> Parts;
  std::size_t Count = 0;
  for (const std::string &Each : Unsent) {
    if (Count == Parts.size())
      break;
    const std::size_t Skipped = Count == 0 ? SentOfFirst : 0;
    Parts[Count++] = {const_cast<char *>(Each.data()) + Skipped,
                      Each.size() - Skipped};
  }
  msghdr Message{};
  Message.msg_iov = Parts.data();
  Message.msg_iovlen = Count;
  return sendmsg(Descriptor, &Message, MSG_NOSIGNAL | MSG_DONTWAIT);
}

/// Frees the parts that have been sent as a whole.
void CallerSocket::removeSent(std::size_t Count) {
  UnsentBytes -= Count;
  SentOfFirst += Count;
  auto First = Unsent.begin();
  while (First != Unsent.end() && SentOfFirst >= First->size())
    SentOfFirst -= (First++)->size();
  Unsent.erase(Unsent.begin(), First);
}

void CallerSocket::setResetOnClose(bool Reset) {
  ResetOnClose = Reset;
  const linger Option{Reset ? 1 : 0, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
}

bool CallerSocket::hasUnacknowledgedBytes() const {
  int Bytes = 0;
  return ioctl(Descriptor, SIOCOUTQ, &Bytes) == 0 && Bytes > 0;
}

bool CallerSocket::hasUnreadBytes() const {
  int Bytes = 0;
  return ioctl(Descriptor, FIONREAD, &Bytes) == 0 && Bytes > 0;
}

bool CallerSocket::hasRequestBehind(ExchangeId Id) const {
  return std::any_of(Exchanges.begin(), Exchanges.end(),
                     [Id](const Exchange &Each) { return Each.Id == Id; }) &&
         Exchanges.back().Id != Id;
}

std::vector<ExchangeId> CallerSocket::pendingExchangeIds() const {
  std::vector<ExchangeId> Result;
  for (const Exchange &Each : Exchanges)
    if (!Each.Response)
      Result.push_back(Each.Id);
  return Result;
}

bool CallerSocket::expired(const CallerLimits &Limits,
                           base::BootTime Now) const {
  if (WriteClosed)
    return Now - WriteClosedAt > kLingerTime;
  return Exchanges.empty() && Now - LastActivity > Limits.IdleTimeout;
}

bool CallerSocket::refuseOverdueRequest(base::BootTime Now) {
  // While too much is pending for the caller, nothing is read.
  if (!Partial || !wantsRead() || Now <= Partial->DueAt)
    return false;
  refusePartialRequest(Partial->Parser.is_header_done()
                           ? ServerRefusalReason::BodyTimeout
                           : ServerRefusalReason::HeadTimeout,
                       Now);
  return true;
}

} // namespace http
