#ifndef JACKDAW_HTTP_INTERNAL_CURLSUPPORT_H
#define JACKDAW_HTTP_INTERNAL_CURLSUPPORT_H

#include "base/clock.h"
#include "http/client.h"

#include <curl/curl.h>

#include <cstddef>
#include <functional>

namespace http {

/// Initializes libcurl once in the process.
void initializeCurl();

/// The response while its parts arrive; libcurl's callbacks work on it.
struct Reception {
  Response Received;
  std::size_t MaxBytes = 0;
  bool TooLarge = false;
  /// Asked at the end of the headers; may be empty.
  std::function<bool(const Response &)> Acceptable;
  CURL *Handle = nullptr;
};

/// Makes libcurl collect the response in `Target`, which must outlive the
/// transfer.
void collectResponse(CURL *Handle, Reception &Target);

/// Sets the method, and the body without copying it.
void applyMethod(CURL *Handle, const Request &Sent);

/// Limits and switches that all transfers share.
void applyCommonOptions(CURL *Handle, base::Duration Timeout,
                        base::Duration ConnectTimeout);

/// The headers of `Sent`; libcurl adds none of its own. The caller frees the
/// list after the transfer.
curl_slist *makeHeaderList(const Request &Sent);

/// How a transfer with this code ended.
ExchangeStatus classify(CURLcode Code);

/// Moves the response out of an ended transfer.
ExchangeResult takeResult(CURL *Handle, CURLcode Code, Reception &Target);

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_CURLSUPPORT_H
