#ifndef JACKDAW_EXECUTION_HANDLETABLE_H
#define JACKDAW_EXECUTION_HANDLETABLE_H

#include "base/clock.h"
#include "base/errors.h"
#include "execution/messages.h"
#include "retry/retryallowance.h"

#include <unordered_map>

namespace execution {

/// Context of a request that is in flight at the local backend server. The
/// calls that the backend server makes for the request inherit it.
struct RequestContext {
  RequestScope Scope;
  base::ServiceName Service;
  base::BootTime Deadline;
  std::uint16_t Depth = 0;
  retry::RetryAllowance Allowance;
};

/// Handles of the requests that are in flight at the local backend server. Only
/// the handle associates the backend server's own calls with a workspace, so it
/// is random and becomes invalid when its request is completed.
class HandleTable {
public:
  /// Creates the handle of a request that is about to be sent to the backend
  /// server.
  base::Handle open(RequestContext Context);

  /// Returns the request of a handle. Fails with `HandleUnknown` if the request
  /// is not in flight. The pointer is valid until `close`.
  base::Result<RequestContext *> find(const base::Handle &Value);

  /// Removes a handle when its request is completed. Returns the number of
  /// unused retries to report with the response, or 0 if the handle is unknown.
  std::uint32_t close(const base::Handle &Value);

  std::size_t size() const { return Requests.size(); }

private:
  std::unordered_map<base::Handle, RequestContext> Requests;
};

/// Returns the request context of a call that arrived at `Now`.
RequestContext requestContextFor(const CallContext &Call, base::BootTime Now);

/// Parameters, other than the identity, of a call that is made for a request.
struct ChildSpec {
  base::ServiceName Service;
  bool Idempotent = false;
  /// Retries of the request's allowance that the call gets.
  std::uint32_t RetryAllowance = 0;
};

/// Returns the context of a call that is sent at `Now` for the request
/// `Parent`, which is the root or belongs to a handle. The call inherits the
/// scope and the deadline.
CallContext childCall(const RequestContext &Parent, const ChildSpec &Spec,
                      const CallIdentity &Identity, base::BootTime Now);

/// Parses the text form of a handle, 32 hexadecimal digits. Fails with
/// `HandleUnknown`.
base::Result<base::Handle> parseHandle(std::string_view Text);

} // namespace execution

#endif // JACKDAW_EXECUTION_HANDLETABLE_H
