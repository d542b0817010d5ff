#ifndef JACKDAW_NODE_MEMBERUPSTREAMS_H
#define JACKDAW_NODE_MEMBERUPSTREAMS_H

#include "node/controlplane.h"
#include "node/upstreams.h"

#include <map>
#include <mutex>
#include <random>

namespace node {

/// Chooses the less loaded of two random usable members of a service.
class MemberUpstreams final : public Upstreams {
public:
  explicit MemberUpstreams(ControlPlane &Control);

  std::optional<Upstream>
  choose(const base::ServiceName &Service, base::BootTime Deadline,
         const std::vector<base::ProcessId> &Excluded) override;
  void finished(const Upstream &Target, const execution::CallVerdict &Verdict,
                base::Duration Latency) override;
  void noteLoad(const base::PeerAddress &Peer, std::uint32_t Load) override;
  void noteBytes(const Upstream &Target, std::size_t Bytes) override;

private:
  ControlPlane &Control;
  std::mutex Mutex;
  std::mt19937_64 Random;
  std::map<base::PeerAddress, std::uint32_t> InFlight;
};

} // namespace node

#endif // JACKDAW_NODE_MEMBERUPSTREAMS_H
