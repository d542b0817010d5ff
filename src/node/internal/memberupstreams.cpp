#include "node/memberupstreams.h"

#include <algorithm>

namespace node {

MemberUpstreams::MemberUpstreams(ControlPlane &Control)
    : Control(Control), Random(std::random_device()()) {}

std::optional<Upstream>
MemberUpstreams::choose(const base::ServiceName &Service, base::BootTime,
                        const std::vector<base::ProcessId> &Excluded) {
  std::vector<Upstream> Candidates;
  for (const ControlPlane::MemberView &Each : Control.members()) {
    const base::ProcessId Process = Each.Record.process();
    const bool Skip =
        std::find(Excluded.begin(), Excluded.end(), Process) != Excluded.end();
    if (Each.Usable && Each.Record.Service == Service && !Skip)
      Candidates.push_back({Process, Each.Record.Peer});
  }
  if (Candidates.empty())
    return std::nullopt;
  std::lock_guard Lock(Mutex);
  const Upstream &First = Candidates[Random() % Candidates.size()];
  const Upstream &Second = Candidates[Random() % Candidates.size()];
  const Upstream &Chosen =
      InFlight[Second.Peer] < InFlight[First.Peer] ? Second : First;
  ++InFlight[Chosen.Peer];
  return Chosen;
}

void MemberUpstreams::finished(const Upstream &Target,
                               const execution::CallVerdict &, base::Duration) {
  std::lock_guard Lock(Mutex);
  --InFlight[Target.Peer];
}

void MemberUpstreams::noteLoad(const base::PeerAddress &, std::uint32_t) {}

void MemberUpstreams::noteBytes(const Upstream &, std::size_t) {}

} // namespace node
