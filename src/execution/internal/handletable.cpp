#include "execution/handletable.h"

#include "execution/executiontable.h"

#include <algorithm>

namespace execution {

base::Handle HandleTable::open(RequestContext Context) {
  const auto Value = base::makeRandomId<base::Handle>();
  Requests.emplace(Value, std::move(Context));
  return Value;
}

base::Result<RequestContext *> HandleTable::find(const base::Handle &Value) {
  const auto Found = Requests.find(Value);
  if (Found == Requests.end())
    return base::fail(base::ErrorKind::HandleUnknown,
                      "handle belongs to no request in flight");
  return &Found->second;
}

std::uint32_t HandleTable::close(const base::Handle &Value) {
  const auto Found = Requests.find(Value);
  if (Found == Requests.end())
    return 0;
  const std::uint32_t Unused = Found->second.Allowance.close();
  Requests.erase(Found);
  return Unused;
}

RequestContext requestContextFor(const CallContext &Call, base::BootTime Now) {
  RequestContext Context;
  Context.Scope = Call.Scope;
  Context.Service = Call.Service;
  Context.Deadline = deadlineOf(Call, Now);
  Context.Depth = Call.Depth;
  Context.Allowance = retry::RetryAllowance(Call.RetryAllowance);
  return Context;
}

CallContext childCall(const RequestContext &Parent, const ChildSpec &Spec,
                      const CallIdentity &Identity, base::BootTime Now) {
  const auto TimeLeft = std::chrono::duration_cast<std::chrono::microseconds>(
      std::max(Parent.Deadline - Now, base::Duration::zero()));
  CallContext Call;
  Call.Identity = Identity;
  Call.Scope = Parent.Scope;
  Call.Service = Spec.Service;
  Call.TimeLeftMicros = static_cast<std::uint64_t>(TimeLeft.count());
  Call.RetryAllowance = Spec.RetryAllowance;
  Call.Depth = static_cast<std::uint16_t>(Parent.Depth + 1);
  Call.Idempotent = Spec.Idempotent;
  return Call;
}

base::Result<base::Handle> parseHandle(std::string_view Text) {
  const auto Bytes = base::fromHex(Text);
  if (!Bytes)
    return base::fail(base::ErrorKind::HandleUnknown,
                      "handle is not 32 hexadecimal digits");
  return base::Handle{*Bytes};
}

} // namespace execution
