#ifndef JACKDAW_RELAY_FLEETSECRETLOADER_H
#define JACKDAW_RELAY_FLEETSECRETLOADER_H

#include "eventloop/eventloop.h"
#include "platformlog/eratrackingstore.h"
#include "relay/fleetsecret.h"
#include "relay/structuredlog.h"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace relay {

/// Loads the secret that all daemons share. The first daemon of a fleet creates
/// it in the store by a conditional append, so that there is only one. Daemons
/// of a fleet that starts for the first time read at random times within
/// `kFirstReadSpread`, so that most of them find the secret. A daemon that
/// starts later and finds none waits for `kRestoreWait`: the store may have
/// come back from an older copy, and a daemon that knows the secret then writes
/// it again.
class FleetSecretLoader {
public:
  using Callback = std::function<void(const FleetSecret &)>;

  static constexpr base::Duration kFirstReadSpread =
      std::chrono::milliseconds(300);
  static constexpr base::Duration kRestoreWait = std::chrono::seconds(5);

  FleetSecretLoader(eventloop::EventLoop &Loop,
                    platformlog::EraTrackingStore &Store, StructuredLog &Log,
                    base::InstanceId Instance, bool FirstStart);

  /// Calls `Done` once; retries until the store responds.
  void load(Callback Done);

private:
  void read();
  void onStreamRead(const platformlog::StoreResult &Result);
  /// Whether to wait for another daemon to write the secret again.
  bool awaitsRestore();
  void create(base::LogOffset End);
  void retry(const char *Step, const platformlog::StoreResult &Result);
  void readLater(base::Duration Delay);

  eventloop::EventLoop &Loop;
  platformlog::EraTrackingStore &Store;
  StructuredLog &Log;
  const base::InstanceId Instance;
  const bool FirstStart;
  Callback OnLoaded;
  base::Duration Backoff;
  std::mt19937_64 Random{std::random_device{}()};
  /// When this daemon creates a secret if it has found none until then.
  std::optional<base::BootTime> CreateAt;
};

} // namespace relay

#endif // JACKDAW_RELAY_FLEETSECRETLOADER_H
