#ifndef JACKDAW_HTTP_INTERNAL_CALLERSOCKET_H
#define JACKDAW_HTTP_INTERNAL_CALLERSOCKET_H

#include "http/asyncserver.h"
#include "http/internal/blockbody.h"

#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace http {

/// An incomplete request makes progress when this many bytes of its body have
/// arrived since it did last.
inline constexpr std::size_t kProgressBytes = std::size_t{16} << 10;

/// Result of reading from a connection.
struct ReadResult {
  /// Requests completed by this read, in order.
  std::vector<std::pair<ExchangeId, Request>> Requests;
  /// The caller has closed its side, or the connection failed.
  bool Disconnected = false;
};

/// One connection of a caller. Parses requests as they arrive, including
/// pipelined ones, and sends the responses in the order of the requests.
class CallerSocket {
public:
  /// Takes ownership of a connected socket. `Budget` may be null.
  CallerSocket(int Descriptor, base::BootTime Now, base::MemoryBudget *Budget);
  ~CallerSocket();
  CallerSocket(const CallerSocket &) = delete;

  int descriptor() const { return Descriptor; }

  /// Reads and parses the bytes that have arrived. New requests get ids from
  /// `NextId` on.
  ReadResult read(const CallerLimits &Limits, std::uint64_t &NextId,
                  base::BootTime Now);

  /// Parses buffered bytes that were left because a limit had been reached.
  std::vector<std::pair<ExchangeId, Request>>
  parseBuffered(const CallerLimits &Limits, std::uint64_t &NextId,
                base::BootTime Now);

  /// Whether what is held for an incomplete request doesn't fit into the
  /// budget, so nothing more of it is parsed.
  bool shortOfMemory() const { return ShortOfMemory; }

  /// Charges the budget with what is held. Returns false if that doesn't fit.
  bool tryCharge() { return Charge.tryResize(heldBytes()); }

  /// Charges the budget with what is held, whether or not it fits. What is held
  /// for an incomplete request must have been charged by `tryCharge` before.
  void chargeAll() { Charge.resize(heldBytes()); }

  /// Refuses the incomplete request, which must exist, after the responses to
  /// those before it, and closes the connection then.
  void refusePartialRequest(ServerRefusalReason Reason, base::BootTime Now);

  /// The request that has been refused since the last call, if any.
  std::optional<ServerRefusal> takeRefusal() {
    return std::exchange(Refused, std::nullopt);
  }

  /// All that is held for the connection, in bytes of memory.
  std::size_t heldBytes() const;

  /// Bytes of memory that the incomplete request takes; 0 if there is none.
  std::size_t partialRequestBytes() const;

  /// When the first byte of the incomplete request, which must exist, arrived.
  base::BootTime partialRequestStart() const { return Partial->StartedAt; }

  /// When the last `kProgressBytes` bytes of the incomplete request, which must
  /// exist, arrived.
  base::BootTime partialRequestProgress() const { return Partial->ProgressAt; }

  /// Refuses the incomplete request if it has not arrived in time. Returns
  /// whether it did.
  bool refuseOverdueRequest(base::BootTime Now);

  /// Sets the response of a request and sends the responses whose turn has
  /// come. Returns false if the connection failed.
  bool respond(ExchangeId Id, Response Message, base::BootTime Now);

  /// Sends queued bytes. Returns false if the connection failed.
  bool flush(base::BootTime Now);

  /// Whether another request was read behind this one.
  bool hasRequestBehind(ExchangeId Id) const;

  /// Ids of the exchanges that have no response yet.
  std::vector<ExchangeId> pendingExchangeIds() const;

  /// False while the connection is closing, or too many requests or response
  /// bytes are pending. True again once the write side is closed, to detect
  /// when the caller closes its side.
  bool wantsRead() const;
  bool wantsWrite() const { return UnsentBytes > 0; }

  /// Whether a request has been read whose response has not been queued.
  bool hasExchanges() const { return !Exchanges.empty(); }

  /// When bytes were read or sent last.
  base::BootTime lastActivity() const { return LastActivity; }

  /// Whether a request is being received or handled, or the caller's machine
  /// has not acknowledged all bytes of the responses.
  bool busy() const {
    return !Exchanges.empty() || wantsWrite() || hasPartialRequest() ||
           hasUnacknowledgedBytes();
  }

  /// Whether a part of a request has been read that is still to be completed.
  bool hasPartialRequest() const {
    return !WriteClosed && (Partial != nullptr || !ReadBuffer.empty());
  }

  /// Whether bytes have arrived that have not been read.
  bool hasUnreadBytes() const;

  /// Whether the system still holds response bytes. They would be lost if the
  /// connection were reset, for example by a request that arrives after the
  /// process has exited.
  bool hasUnacknowledgedBytes() const;

  /// Response bytes that have not been passed to the system.
  std::size_t unsentBytes() const { return UnsentBytes; }

  /// Whether the caller takes no response bytes, and since when.
  bool sendBlocked() const { return SendBlocked; }
  base::BootTime sendProgress() const { return SendProgressAt; }

  /// Whether the caller has not closed its side in time after the last
  /// response, or the connection has been idle for too long.
  bool expired(const CallerLimits &Limits, base::BootTime Now) const;

private:
  using RequestParser = boost::beast::http::request_parser<BlockBody>;

  struct Exchange {
    ExchangeId Id;
    bool KeepAlive = true;
    bool IsHead = false;
    std::optional<http::Response> Response;
    /// Bytes of memory that the request takes until its response.
    std::size_t RequestBytes = 0;
  };

  /// A request of which not all has arrived. The head is moved from the parser
  /// to `Received` once it is complete.
  struct PartialRequest {
    PartialRequest(const CallerLimits &Limits, base::BootTime Now);

    std::size_t bodyBytes() const { return Parser.get().body().size(); }
    std::size_t memoryBytes() const;

    const std::size_t MaxHeaderBytes;
    const base::Duration RequestTimeout;
    const std::string TimeLeftHeader;
    RequestParser Parser;
    Request Received;
    bool KeepAlive = true;
    bool IsHead = false;
    std::size_t HeadBytes = 0;
    std::size_t HeadLines = 0;
    base::BootTime StartedAt;
    /// When the head, and once that is complete, the body must be complete.
    base::BootTime DueAt;
    base::BootTime ProgressAt;
    /// Bytes that had arrived at `ProgressAt`.
    std::size_t ProgressBytes = 0;
  };

  std::vector<std::pair<ExchangeId, Request>> parse(std::string_view Arrived,
                                                    const CallerLimits &Limits,
                                                    std::uint64_t &NextId,
                                                    base::BootTime Now);
  bool parseOne(std::string_view &Input, const CallerLimits &Limits,
                std::uint64_t &NextId, base::BootTime Now,
                std::vector<std::pair<ExchangeId, Request>> &Parsed);
  bool parseHead(std::string_view &Input, base::BootTime Now);
  bool takeHead(base::BootTime Now);
  bool parseBody(std::string_view &Input, base::BootTime Now);
  void recordProgress(base::BootTime Now);
  static base::Duration requestTimeout(const PartialRequest &Current);
  /// Makes the connection end with a reset from now on, also if the process
  /// ends, or orderly again. A response that ends with its connection would
  /// look whole if the connection were closed orderly while bytes are unsent.
  void setResetOnClose(bool Reset);
  void serialize(Exchange &Completed, bool Close);
  void queueBytes(std::string &&Bytes);
  ssize_t sendParts() const;
  void removeSent(std::size_t Count);
  void queueResponses();

  const int Descriptor;
  /// Bytes that can't be parsed yet.
  std::string ReadBuffer;
  std::unique_ptr<PartialRequest> Partial;
  /// Requests in order whose responses have not been queued for sending.
  std::deque<Exchange> Exchanges;
  /// Parts of responses of which not all has been passed to the system.
  std::vector<std::string> Unsent;
  /// Bytes of the first part that have been passed to the system.
  std::size_t SentOfFirst = 0;
  std::size_t UnsentBytes = 0;
  /// The system takes no further bytes until the caller has read some.
  bool SendBlocked = false;
  base::BootTime SendProgressAt;
  /// No further request is read, and the connection is closed after the last
  /// response.
  bool Closing = false;
  bool WriteClosed = false;
  base::BootTime WriteClosedAt;
  bool ResetOnClose = false;
  bool ShortOfMemory = false;
  std::optional<ServerRefusal> Refused;
  base::MemoryReservation Charge;
  base::BootTime LastActivity;
};

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_CALLERSOCKET_H
