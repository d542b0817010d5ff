#ifndef JACKDAW_HTTP_INTERNAL_CALLERSOCKET_H
#define JACKDAW_HTTP_INTERNAL_CALLERSOCKET_H

#include "http/asyncserver.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace http {

/// What a connection's bytes came to.
struct ReadOutcome {
  /// Requests that are complete now, in order.
  std::vector<std::pair<ExchangeId, Request>> Requests;
  /// The caller has closed its side, or the connection broke.
  bool Gone = false;
};

/// One connection of a caller: takes requests as they arrive, also behind one
/// that waits for its response, and sends the responses in their order.
class CallerSocket {
public:
  CallerSocket(int Descriptor, base::BootTime Now);
  ~CallerSocket();
  CallerSocket(const CallerSocket &) = delete;

  int descriptor() const { return Descriptor; }

  /// Reads what has arrived. New requests get ids from `NextId` on.
  ReadOutcome read(const CallerLimits &Limits, std::uint64_t &NextId,
                   base::BootTime Now);

  /// Parses what was read before but could not be taken then.
  std::vector<std::pair<ExchangeId, Request>>
  takeBuffered(const CallerLimits &Limits, std::uint64_t &NextId);

  /// Sets the response of a request and sends what may leave now. Returns
  /// false if the connection broke.
  bool respond(ExchangeId Id, Response Answer, base::BootTime Now);

  /// Sends on; false if the connection broke.
  bool flush(base::BootTime Now);

  /// Requests whose response has not been given.
  std::vector<ExchangeId> waiting() const;

  bool wantsRead() const;
  bool wantsWrite() const { return OutOffset < Out.size(); }

  /// Whether the connection has ended and only waits for the caller to see it,
  /// or has been idle for too long.
  bool expired(const CallerLimits &Limits, base::BootTime Now) const;

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  struct Exchange {
    ExchangeId Id;
    bool KeepAlive = true;
    bool Head = false;
    std::optional<Response> Answer;
  };

  bool parseOne(const CallerLimits &Limits, std::uint64_t &NextId,
                std::vector<std::pair<ExchangeId, Request>> &Found);
  void rejectRest(std::uint16_t Status);
  void serialize(const Exchange &Ended, bool Close);
  void queueAnswers();

  const int Descriptor;
  std::string In;
  std::unique_ptr<Parser> Current;
  std::deque<Exchange> Pending;
  std::string Out;
  std::size_t OutOffset = 0;
  /// No further request is read; the connection ends after the last response.
  bool Ending = false;
  bool WriteClosed = false;
  base::BootTime LastActivity;
};

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_CALLERSOCKET_H
