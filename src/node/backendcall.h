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

/// A request that is about to go to the local backend server.
struct BackendCall {
  std::uint16_t Port = 0;
  const http::Request *Request = nullptr;
  base::Handle Handle;
  base::Duration TimeLeft{};
  bool Idempotent = false;
  /// The call ends soon after this becomes true.
  const std::atomic<bool> *Cancel = nullptr;
};

/// How the backend server's part of a call ended.
struct BackendResult {
  execution::Response Answer;
  overload::CallCompletion End = overload::CallCompletion::Cancelled;
};

/// Sends the request and waits for the response. The outcome is `NotRun` only
/// if no connection came about.
BackendResult callBackend(const BackendCall &Call);

} // namespace node

#endif // JACKDAW_NODE_BACKENDCALL_H
