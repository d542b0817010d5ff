#ifndef JACKDAW_NODE_BACKENDCALL_H
#define JACKDAW_NODE_BACKENDCALL_H

#include "base/clock.h"
#include "base/ids.h"
#include "execution/types.h"
#include "http/message.h"
#include "overload/concurrencylimit.h"

#include <atomic>
#include <cstdint>

namespace node {

/// A request to the local backend server and the conditions of its execution.
struct BackendCall {
  std::uint16_t Port = 0;
  const http::Request *Request = nullptr;
  /// Sent in the `Jackdaw-Handle` header; the backend server repeats it in the
  /// inner calls that it makes on behalf of this request.
  base::Handle Handle;
  /// Timeout of the exchange.
  base::Duration TimeLeft{};
  bool Idempotent = false;
  /// Setting this to true aborts the call shortly afterwards.
  const std::atomic<bool> *Cancel = nullptr;
};

/// Response of the backend server and the status that the concurrency limit
/// records for the call.
struct BackendResult {
  execution::Response Response;
  overload::CompletionStatus Status = overload::CompletionStatus::Cancelled;
};

/// Sends the request and waits for the response. The outcome is `NotRun` only
/// if no connection could be established.
BackendResult callBackend(const BackendCall &Call);

} // namespace node

#endif // JACKDAW_NODE_BACKENDCALL_H
