#ifndef JACKDAW_TESTS_PROCESS_MATRIXARENA_H
#define JACKDAW_TESTS_PROCESS_MATRIXARENA_H

#include "process/byterelay.h"
#include "process/fleet.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace process {

/// A request of a caller with its answer.
struct Exchange {
  std::string Order;
  Answer Received;
};

/// Callers that send orders, each with its own `X-Order`, until stopped.
class Load {
public:
  /// Callers take the entries in turn. Every second caller presents `Key`.
  Load(std::vector<std::string> EntryUrls, int Callers);
  ~Load();

  /// Answers of the kind "unknown" so far.
  int unknown() const { return Unknown; }

  /// Waits until that many more requests have run.
  bool serveMore(int Count) const;

  /// Lets every caller finish its request, and hands over all exchanges.
  std::vector<Exchange> stop();

private:
  void callLoop(int Caller);

  const std::vector<std::string> EntryUrls;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Served = 0;
  std::atomic<int> Unknown = 0;
  std::mutex Mutex;
  std::vector<Exchange> Exchanges;
  std::vector<std::thread> Callers;
};

/// Two entry daemons and two serving daemons, each of which has its backend
/// server behind a relay. Faults come to the first of each.
struct MatrixArena {
  MatrixArena();

  /// The service file with the keys of these workspaces.
  static std::string file(const std::map<std::string, std::string> &Keys);

  /// Starts the serving daemon again and registers its backend server.
  void restartServing() const;

  /// Executions per order at both backend servers.
  std::map<std::string, int> executions() const;

  /// Checks these exchanges and all earlier ones, so that late executions are
  /// found too, against the executions.
  void check(std::vector<Exchange> Exchanges, bool CallersMayBreak);

  Fleet All;
  DaemonUnderTest &Entry;
  DaemonUnderTest &OtherEntry;
  DaemonUnderTest &Serving;
  DaemonUnderTest &OtherServing;
  BackendUnderTest Backend;
  BackendUnderTest OtherBackend;
  ByteRelay Relay;
  ByteRelay OtherRelay;
  std::vector<Exchange> Checked;
};

} // namespace process

#endif // JACKDAW_TESTS_PROCESS_MATRIXARENA_H
