#include "http/internal/callersocket.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <sstream>
#include <utility>

namespace http {

namespace beast = boost::beast::http;

namespace {

using namespace std::chrono_literals;

/// Requests of one connection that are worked on at the same time.
constexpr std::size_t kMaxPipelined = 16;
/// Response bytes that wait for a slow caller before no more is read from it.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} << 10;
constexpr std::size_t kReadChunkBytes = std::size_t{16} << 10;
/// Time for a caller to close after the last response; closing at once could
/// reset the connection before the caller has read it.
constexpr base::Duration kLingerTime = 2s;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kTooLarge = 413;
constexpr std::uint16_t kHeadersTooLarge = 431;

std::uint16_t statusOf(const boost::system::error_code &Problem) {
  if (Problem == beast::error::body_limit)
    return kTooLarge;
  return Problem == beast::error::header_limit ? kHeadersTooLarge : kBadRequest;
}

} // namespace

CallerSocket::CallerSocket(int Descriptor, base::BootTime Now)
    : Descriptor(Descriptor), LastActivity(Now) {}

CallerSocket::~CallerSocket() { close(Descriptor); }

bool CallerSocket::wantsRead() const {
  if (WriteClosed)
    return true;
  return !Ending && Pending.size() < kMaxPipelined &&
         Out.size() - OutOffset < kMaxUnsentBytes;
}

ReadOutcome CallerSocket::read(const CallerLimits &Limits,
                               std::uint64_t &NextId, base::BootTime Now) {
  ReadOutcome Result;
  std::array<char, kReadChunkBytes> Buffer;
  while (wantsRead()) {
    const ssize_t Count =
        recv(Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR)) {
      Result.Gone = true;
      return Result;
    }
    if (Count < 0)
      break;
    LastActivity = Now;
    // What comes behind the last response has not been read.
    if (WriteClosed)
      continue;
    In.append(Buffer.data(), static_cast<std::size_t>(Count));
    for (auto &Each : takeBuffered(Limits, NextId))
      Result.Requests.push_back(std::move(Each));
    if (static_cast<std::size_t>(Count) < Buffer.size())
      break;
  }
  return Result;
}

std::vector<std::pair<ExchangeId, Request>>
CallerSocket::takeBuffered(const CallerLimits &Limits, std::uint64_t &NextId) {
  std::vector<std::pair<ExchangeId, Request>> Found;
  while (wantsRead() && !WriteClosed && parseOne(Limits, NextId, Found)) {
  }
  return Found;
}

/// Parses one request from what was read; false if it is not complete.
bool CallerSocket::parseOne(
    const CallerLimits &Limits, std::uint64_t &NextId,
    std::vector<std::pair<ExchangeId, Request>> &Found) {
  if (In.empty())
    return false;
  if (!Current) {
    Current = std::make_unique<Parser>();
    Current->eager(true);
    Current->header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
    Current->body_limit(Limits.MaxBodyBytes);
  }
  const bool HadHeader = Current->is_header_done();
  boost::system::error_code Problem;
  std::size_t Used = 0;
  while (Used < In.size() && !Current->is_done()) {
    const std::size_t Count = Current->put(
        boost::asio::buffer(In.data() + Used, In.size() - Used), Problem);
    Used += Count;
    if (Problem || Count == 0)
      break;
  }
  In.erase(0, Used);
  if (Problem && Problem != beast::error::need_more) {
    rejectRest(statusOf(Problem));
    return false;
  }
  if (!Current->is_done()) {
    if (!HadHeader && Current->is_header_done() && Pending.empty() &&
        Current->get()[beast::field::expect] == "100-continue")
      Out += "HTTP/1.1 100 Continue\r\n\r\n";
    return false;
  }
  beast::request<beast::string_body> Message = Current->release();
  Current.reset();
  Request Received;
  Received.Method = std::string(Message.method_string());
  splitTarget(std::string(Message.target()), Received);
  for (const auto &Field : Message)
    Received.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Received.Body = std::move(Message.body());
  const ExchangeId Id(NextId++);
  Pending.push_back(
      {Id, Message.keep_alive(), Message.method() == beast::verb::head, {}});
  if (!Message.keep_alive())
    Ending = true;
  Found.emplace_back(Id, std::move(Received));
  return true;
}

/// Answers bytes that are no request, behind the responses that are due.
void CallerSocket::rejectRest(std::uint16_t Status) {
  Exchange Rejected;
  Rejected.KeepAlive = false;
  Rejected.Answer = Response{Status, {}, ""};
  Pending.push_back(std::move(Rejected));
  Ending = true;
  queueAnswers();
}

bool CallerSocket::respond(ExchangeId Id, Response Answer, base::BootTime Now) {
  const auto Found =
      std::find_if(Pending.begin(), Pending.end(),
                   [Id](const Exchange &Each) { return Each.Id == Id; });
  if (Found == Pending.end())
    return true;
  if (Answer.CloseConnection)
    Ending = true;
  Found->Answer = std::move(Answer);
  queueAnswers();
  return flush(Now);
}

/// Requests that have been read get their response before the connection ends,
/// so only the last response says that it does.
void CallerSocket::queueAnswers() {
  while (!Pending.empty() && Pending.front().Answer) {
    const Exchange Ended = std::move(Pending.front());
    Pending.pop_front();
    serialize(Ended, Ending && Pending.empty());
  }
}

void CallerSocket::serialize(const Exchange &Ended, bool Close) {
  beast::response<beast::string_body> Message;
  Message.version(11);
  Message.result(Ended.Answer->Status);
  for (const Header &Each : Ended.Answer->Headers)
    if (!isHopByHopHeader(Each.Name))
      Message.insert(Each.Name, Each.Value);
  if (Ended.Head) {
    Message.content_length(Ended.Answer->Body.size());
  } else {
    Message.body() = Ended.Answer->Body;
    Message.prepare_payload();
  }
  Message.keep_alive(!Close);
  std::ostringstream Stream;
  Stream << Message;
  Out += std::move(Stream).str();
}

bool CallerSocket::flush(base::BootTime Now) {
  while (OutOffset < Out.size()) {
    const ssize_t Count =
        send(Descriptor, Out.data() + OutOffset, Out.size() - OutOffset,
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return errno == EAGAIN;
    OutOffset += static_cast<std::size_t>(Count);
    LastActivity = Now;
  }
  Out.clear();
  OutOffset = 0;
  if (Ending && Pending.empty() && !std::exchange(WriteClosed, true))
    shutdown(Descriptor, SHUT_WR);
  return true;
}

std::vector<ExchangeId> CallerSocket::waiting() const {
  std::vector<ExchangeId> Result;
  for (const Exchange &Each : Pending)
    if (!Each.Answer)
      Result.push_back(Each.Id);
  return Result;
}

bool CallerSocket::expired(const CallerLimits &Limits,
                           base::BootTime Now) const {
  const base::Duration Quiet = Now - LastActivity;
  if (WriteClosed)
    return Quiet > kLingerTime;
  return Pending.empty() && Quiet > Limits.IdleTimeout;
}

} // namespace http
