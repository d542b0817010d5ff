#include "http/internal/callersocket.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <sstream>
#include <utility>

namespace http {

namespace beast = boost::beast::http;

namespace {

using namespace std::chrono_literals;

/// Limit on the requests of one connection that are in progress at once.
constexpr std::size_t kMaxPipelinedRequests = 16;
/// While more response bytes are unsent, nothing is read from the caller.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} << 10;
constexpr std::size_t kReadChunkBytes = std::size_t{16} << 10;
/// Time that a caller gets to close the connection after the last response.
/// Closing it immediately could reset the connection before the caller has read
/// the response.
constexpr base::Duration kLingerTime = 2s;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kContentTooLarge = 413;
constexpr std::uint16_t kHeaderFieldsTooLarge = 431;

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

std::uint16_t statusFor(const boost::system::error_code &Problem) {
  if (Problem == beast::error::body_limit)
    return kContentTooLarge;
  return Problem == beast::error::header_limit ? kHeaderFieldsTooLarge
                                               : kBadRequest;
}

} // namespace

CallerSocket::CallerSocket(int Descriptor, base::BootTime Now)
    : Descriptor(Descriptor), LastActivity(Now) {}

CallerSocket::~CallerSocket() { close(Descriptor); }

bool CallerSocket::wantsRead() const {
  if (WriteClosed)
    return true;
  return !Closing && Exchanges.size() < kMaxPipelinedRequests &&
         WriteBuffer.size() - WriteOffset < kMaxUnsentBytes;
}

ReadResult CallerSocket::read(const CallerLimits &Limits, std::uint64_t &NextId,
                              base::BootTime Now) {
  ReadResult Result;
  std::array<char, kReadChunkBytes> Buffer;
  while (wantsRead()) {
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
    ReadBuffer.append(Buffer.data(), static_cast<std::size_t>(Count));
    for (auto &Each : parseBuffered(Limits, NextId))
      Result.Requests.push_back(std::move(Each));
    if (static_cast<std::size_t>(Count) < Buffer.size())
      break;
  }
  return Result;
}

std::vector<std::pair<ExchangeId, Request>>
CallerSocket::parseBuffered(const CallerLimits &Limits, std::uint64_t &NextId) {
  std::vector<std::pair<ExchangeId, Request>> Parsed;
  while (wantsRead() && !WriteClosed && parseOne(Limits, NextId, Parsed)) {
  }
  return Parsed;
}

/// Parses one request from the read buffer. Returns false if it is incomplete
/// or malformed.
bool CallerSocket::parseOne(
    const CallerLimits &Limits, std::uint64_t &NextId,
    std::vector<std::pair<ExchangeId, Request>> &Parsed) {
  if (ReadBuffer.empty())
    return false;
  if (!RequestParser) {
    RequestParser = std::make_unique<Parser>();
    RequestParser->eager(true);
    RequestParser->header_limit(
        static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
    RequestParser->body_limit(Limits.MaxBodyBytes);
  }
  const bool HadHeader = RequestParser->is_header_done();
  boost::system::error_code Problem;
  std::size_t Used = 0;
  while (Used < ReadBuffer.size() && !RequestParser->is_done()) {
    const std::size_t Count = RequestParser->put(
        boost::asio::buffer(ReadBuffer.data() + Used, ReadBuffer.size() - Used),
        Problem);
    Used += Count;
    if (Problem || Count == 0)
      break;
  }
  ReadBuffer.erase(0, Used);
  if (Problem && Problem != beast::error::need_more) {
    queueError(statusFor(Problem));
    return false;
  }
  if (!RequestParser->is_done()) {
    if (!HadHeader && RequestParser->is_header_done() && Exchanges.empty() &&
        RequestParser->get()[beast::field::expect] == "100-continue")
      WriteBuffer += "HTTP/1.1 100 Continue\r\n\r\n";
    return false;
  }
  // The parser takes a request whose last transfer coding isn't `chunked` for
  // one without a body; the body would be parsed as the next request.
  if (!RequestParser->chunked() &&
      RequestParser->get().count(beast::field::transfer_encoding) > 0) {
    queueError(kBadRequest);
    return false;
  }
  beast::request<beast::string_body> Input = RequestParser->release();
  RequestParser.reset();
  Request Received;
  Received.Method = std::string(Input.method_string());
  splitTarget(std::string(Input.target()), Received);
  for (const auto &Field : Input)
    Received.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Received.Body = std::move(Input.body());
  const ExchangeId Id(NextId++);
  Exchanges.push_back(
      {Id, Input.keep_alive(), Input.method() == beast::verb::head, {}});
  if (!Input.keep_alive())
    Closing = true;
  Parsed.emplace_back(Id, std::move(Received));
  return true;
}

/// Queues an error response after the pending ones, and closes the connection
/// after it, because the bytes that follow can't be parsed.
void CallerSocket::queueError(std::uint16_t Status) {
  Exchange Error;
  Error.KeepAlive = false;
  Error.Response = Response{Status, {}, ""};
  Exchanges.push_back(std::move(Error));
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
  if (Message.CloseConnection || UntilClose)
    Closing = true;
  // The library would throw on such a header, or on some of these statuses.
  if (hasOversizedHeader(Message) || !isFinalStatus(Message.Status))
    Message = Response{kBadGateway, {}, ""};
  Found->Response = std::move(Message);
  queueResponses();
  return flush(Now);
}

/// Serializes the responses whose turn has come. All requests that were read
/// get a response before the connection is closed, so only the last one carries
/// `Connection: close`.
void CallerSocket::queueResponses() {
  while (!Exchanges.empty() && Exchanges.front().Response) {
    const Exchange Completed = std::move(Exchanges.front());
    Exchanges.pop_front();
    serialize(Completed, Closing && Exchanges.empty());
  }
}

void CallerSocket::serialize(const Exchange &Completed, bool Close) {
  beast::response<beast::string_body> Message;
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
  } else {
    Message.body() = Completed.Response->Body;
    if (!UntilClose)
      Message.prepare_payload();
  }
  Message.keep_alive(!Close);
  std::ostringstream Stream;
  Stream << Message;
  WriteBuffer += std::move(Stream).str();
  if (UntilClose)
    setResetOnClose(true);
}

bool CallerSocket::flush(base::BootTime Now) {
  while (WriteOffset < WriteBuffer.size()) {
    const ssize_t Count =
        send(Descriptor, WriteBuffer.data() + WriteOffset,
             WriteBuffer.size() - WriteOffset, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return errno == EAGAIN;
    WriteOffset += static_cast<std::size_t>(Count);
    LastActivity = Now;
  }
  WriteBuffer.clear();
  WriteOffset = 0;
  if (ResetOnClose)
    setResetOnClose(false);
  if (Closing && Exchanges.empty() && !std::exchange(WriteClosed, true))
    shutdown(Descriptor, SHUT_WR);
  return true;
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
  const base::Duration IdleTime = Now - LastActivity;
  if (WriteClosed)
    return IdleTime > kLingerTime;
  return Exchanges.empty() && IdleTime > Limits.IdleTimeout;
}

} // namespace http
