#ifndef JACKDAW_HTTP_INTERNAL_CURLSUPPORT_H
#define JACKDAW_HTTP_INTERNAL_CURLSUPPORT_H

#include "base/clock.h"
#include "base/memorybudget.h"
#include "http/client.h"
#include "http/internal/chunkframing.h"
#include "http/internal/repeatedhead.h"

#include <curl/curl.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace http {

/// Initializes libcurl once per process.
void initializeCurl();

/// Memory for the bodies of all responses of one or several clients, in bytes.
struct BodyBudget {
  std::size_t Max = 0;
  std::atomic<std::size_t> Used = 0;
  /// Charged with the bodies; may be null.
  base::MemoryBudget *Process = nullptr;
};

/// Time for which the end of a body is held back, so that bytes behind it can
/// arrive, if they would show that it is not whole.
inline constexpr base::Duration kBytesBehindWait =
    std::chrono::milliseconds(20);

/// Collects a response from libcurl's callbacks.
struct ResponseCollector {
  explicit ResponseCollector(const base::Clock &Clock) : Clock(Clock) {}
  ResponseCollector(const ResponseCollector &) = delete;
  ~ResponseCollector();

  /// Its status is 0 until a status line has been received.
  http::Response Response{0, {}, "", false, BodyFraming::Length};
  /// The request's method is HEAD, so the response has no body.
  bool ToHead = false;
  /// Upper bound of the body.
  std::size_t MaxBytes = 0;
  /// May be null.
  BodyBudget *Budget = nullptr;
  /// Bytes of this response in `Budget`.
  std::size_t BudgetedBytes = 0;
  /// The same bytes in the budget of the process.
  base::MemoryReservation Charge;
  /// Why the response was rejected; null unless it was.
  const char *Problem = nullptr;
  /// Bytes of the body that have been searched for another head.
  std::size_t SearchedBytes = 0;
  /// Bytes of header lines received so far: of interim responses, of the
  /// response and of its trailers, which are dropped.
  std::size_t HeaderBytes = 0;
  /// Between a status line and the empty line after its headers.
  bool InHeaders = false;
  /// The headers of the final response are complete.
  bool HeadersComplete = false;
  /// See `TransferOptions`; may be empty.
  std::function<bool(const http::Response &)> AllowReuse;
  /// See `TransferOptions`; may be empty.
  std::function<void(const http::Response &)> OnHeaders;
  /// Searches the body for another response to the request; may be empty.
  std::optional<RepeatedHeadSearch> RepeatedHead;
  /// Set if the body may not belong to one response.
  std::optional<ResponseEnd> RejectedAs;
  const base::Clock &Clock;
  /// Time at which the end of the headers or the last bytes of the body
  /// arrived.
  base::BootTime LastBytesAt;
  /// The server sent nothing for a while before those bytes of the body.
  bool PausedInBody = false;
  /// Length of the body that the headers state, if it is framed by that.
  std::optional<std::size_t> StatedLength;
  /// The first bytes behind the stated length that libcurl has read.
  std::string FirstBehind;
  /// Framing of a body in chunks.
  ChunkFraming Chunks;
  /// The transfer's socket; may be missing.
  curl_socket_t Socket = CURL_SOCKET_BAD;
  /// Called when the transfer is paused before the end of its body is passed
  /// on; must resume the transfer after `kBytesBehindWait`. If it is empty, the
  /// thread blocks for that time instead.
  std::function<void()> OnPaused;
  /// The end of the body has been held back.
  bool HasWaited = false;
  CURL *Handle = nullptr;
};

/// Collects the response in `Collector`, which must outlive the transfer.
void collectResponse(CURL *Handle, ResponseCollector &Collector);

/// Sets the method and the body. The body is not copied, so the request must
/// outlive the transfer.
void applyMethod(CURL *Handle, const Request &Message);

/// Sets the timeouts and the options common to all transfers.
void applyCommonOptions(CURL *Handle, base::Duration Timeout,
                        base::Duration ConnectTimeout);

/// Makes the list of the request's headers and disables the ones that libcurl
/// would add. The caller frees the list after the transfer.
curl_slist *makeHeaderList(const Request &Message);

/// Maps libcurl's result code to a status.
ExchangeStatus statusForCode(CURLcode Code);

/// How the response ended, by libcurl's result code.
ResponseEnd responseEndFor(CURLcode Code);

/// Makes the result of a completed transfer; moves the response out of
/// `Collector`.
ExchangeResult makeResult(CURL *Handle, CURLcode Code,
                          ResponseCollector &Collector);

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_CURLSUPPORT_H
