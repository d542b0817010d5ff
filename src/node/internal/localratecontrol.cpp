#include "node/localratecontrol.h"

#include <algorithm>

namespace node {

LocalRateControl::LocalRateControl(Runtime &Shared, FleetState &Fleet)
    : Shared(Shared), Fleet(Fleet) {}

std::optional<base::ErrorKind>
LocalRateControl::take(const base::ServiceName &Service,
                       const base::WorkspaceName &Workspace) {
  const auto Config = Fleet.configuration();
  const config::Service *Known = Config->service(Service);
  const config::WorkspaceConfig *Limit =
      Known != nullptr ? Known->workspace(Workspace) : nullptr;
  if (Limit == nullptr)
    return base::ErrorKind::LimitUnavailable;
  const base::BootTime Now = Shared.Time.now();
  std::lock_guard Lock(Mutex);
  const auto [Entry, New] =
      Buckets.try_emplace({Service, Workspace}, Bucket{Limit->Burst, Now});
  Bucket &Current = Entry->second;
  const std::chrono::duration<double> Elapsed = Now - Current.RefilledAt;
  Current.Tokens =
      std::min(Limit->Burst, Current.Tokens + Elapsed.count() * Limit->Rate);
  Current.RefilledAt = Now;
  if (Current.Tokens < 1)
    return base::ErrorKind::RateExceeded;
  Current.Tokens -= 1;
  return std::nullopt;
}

} // namespace node
