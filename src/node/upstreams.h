#ifndef JACKDAW_NODE_UPSTREAMS_H
#define JACKDAW_NODE_UPSTREAMS_H

#include "base/clock.h"
#include "base/types.h"
#include "execution/calltracker.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace node {

/// A daemon whose backend server can run a call.
struct Upstream {
  base::ProcessId Process;
  base::PeerAddress Peer;
};

/// Chooses upstreams and learns from what becomes of the calls. Safe to use
/// from any thread.
class Upstreams {
public:
  virtual ~Upstreams() = default;

  /// An upstream of the service that is not in `Excluded`; nothing if none can
  /// be used. Counts the call as in flight until `finished`.
  virtual std::optional<Upstream>
  choose(const base::ServiceName &Service, base::BootTime Deadline,
         const std::vector<base::ProcessId> &Excluded) = 0;

  /// Must be called once for each chosen upstream.
  virtual void finished(const Upstream &Target,
                        const execution::CallVerdict &Verdict,
                        base::Duration Latency) = 0;

  /// Records the load that a response reported.
  virtual void noteLoad(const base::PeerAddress &Peer, std::uint32_t Load) = 0;

  /// Counts bytes that a call sends.
  virtual void noteBytes(const Upstream &Target, std::size_t Bytes) = 0;
};

} // namespace node

#endif // JACKDAW_NODE_UPSTREAMS_H
