#ifndef JACKDAW_RELAY_FLEETSECRETLOADER_H
#define JACKDAW_RELAY_FLEETSECRETLOADER_H

#include "base/types.h"
#include "eventloop/eventloop.h"
#include "platformlog/keyedstore.h"
#include "relay/decisionlog.h"

#include <functional>
#include <string>

namespace relay {

/// What a daemon needs before it can join the fleet.
struct FleetSecret {
  std::string Secret;
  /// Number for this process, above that of every earlier one of the instance
  /// even if the wall clock was set back.
  base::Incarnation Epoch;
};

/// Finds the secret that all daemons share. The first daemon of a fleet
/// creates it in the store under a condition, so that there is only one.
class FleetSecretLoader {
public:
  using Callback = std::function<void(const FleetSecret &)>;

  FleetSecretLoader(eventloop::EventLoop &Loop, platformlog::KeyedStore &Store,
                    DecisionLog &Log, base::InstanceId Instance);

  /// Calls `Found` once; tries until the store answers.
  void find(Callback Found);

private:
  void read();
  void onNewest(const platformlog::StoreResult &Result);
  void create(base::LogOffset End);
  void retry(const char *Step, const platformlog::StoreResult &Result);

  eventloop::EventLoop &Loop;
  platformlog::KeyedStore &Store;
  DecisionLog &Log;
  const base::InstanceId Instance;
  Callback Found;
  base::Duration Pause;
};

} // namespace relay

#endif // JACKDAW_RELAY_FLEETSECRETLOADER_H
