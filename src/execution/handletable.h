#ifndef JACKDAW_EXECUTION_HANDLETABLE_H
#define JACKDAW_EXECUTION_HANDLETABLE_H

#include "base/clock.h"
#include "base/errors.h"
#include "execution/messages.h"
#include "retry/retryallowance.h"

#include <unordered_map>

namespace execution {

/// A request that is in flight at the local backend server, as the calls that
/// the backend server makes for it inherit it.
struct RequestContext {
  RequestScope Scope;
  base::ServiceName Service;
  base::BootTime Deadline;
  std::uint16_t Depth = 0;
  retry::RetryAllowance Allowance;
};

/// Handles of the requests that are in flight at the local backend server. A
/// handle is the only thing that ties a backend server's own calls to a
/// workspace, so it is random and ends with its request.
class HandleTable {
public:
  /// Mints the handle of a request that is about to go to the backend server.
  base::Handle open(RequestContext Context);

  /// The request of a handle; fails with `HandleUnknown` if the request is not
  /// in flight. The pointer is valid until `close`.
  base::Result<RequestContext *> find(const base::Handle &Value);

  /// Ends a handle when its request ends. Returns the retries that were not
  /// used, for the response; 0 if the handle is unknown.
  std::uint32_t close(const base::Handle &Value);

  std::size_t size() const { return Requests.size(); }

private:
  std::unordered_map<base::Handle, RequestContext> Requests;
};

/// Context of a call that arrived at `Now`.
RequestContext requestContextFor(const CallContext &Call, base::BootTime Now);

/// A call that is to be made for a request, other than its identity.
struct ChildSpec {
  base::ServiceName Service;
  bool Idempotent = false;
  /// Units of the request's allowance that the call gets.
  std::uint32_t RetryAllowance = 0;
};

/// Context of a call that leaves at `Now` for the request `Parent`, which is
/// the root or belongs to a handle. The call inherits scope and deadline.
CallContext childCall(const RequestContext &Parent, const ChildSpec &Spec,
                      const CallIdentity &Identity, base::BootTime Now);

/// Reads the text form of a handle, 32 hexadecimal digits. Fails with
/// `HandleUnknown`.
base::Result<base::Handle> parseHandle(std::string_view Text);

} // namespace execution

#endif // JACKDAW_EXECUTION_HANDLETABLE_H
