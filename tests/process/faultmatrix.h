#ifndef JACKDAW_TESTS_PROCESS_FAULTMATRIX_H
#define JACKDAW_TESTS_PROCESS_FAULTMATRIX_H

#include "process/fleet.h"
#include "process/tcpproxy.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace process {

/// The order that a request carried, with the response.
struct Exchange {
  std::string Order;
  Response Received;
};

/// Callers that send orders, each with its own `X-Order`, until stopped.
class LoadGenerator {
public:
  /// Each caller sends to the entry URLs in turn. Every second caller sends
  /// `kGoldKey`.
  LoadGenerator(std::vector<std::string> EntryUrls, int Callers);
  ~LoadGenerator();

  /// Number of responses so far with the outcome "unknown".
  int unknownOutcomes() const { return UnknownOutcomes; }

  /// Waits until `Count` more requests have run; false if they have not within
  /// `kWaitLimit`.
  bool waitForServed(int Count) const;

  /// Waits until every caller has finished its request; returns all exchanges.
  std::vector<Exchange> stop();

private:
  void callLoop(int Caller);

  const std::vector<std::string> EntryUrls;
  std::atomic<bool> Stopping = false;
  std::atomic<int> ServedCount = 0;
  std::atomic<int> UnknownOutcomes = 0;
  std::mutex Mutex;
  std::vector<Exchange> Exchanges;
  std::vector<std::thread> Callers;
};

/// Two entry daemons and two serving daemons, each of which reaches its backend
/// server through a TCP proxy. Faults are injected into the first of each kind.
struct FaultMatrix {
  FaultMatrix();

  /// The service file with these workspaces and keys, and a response timeout
  /// that suits the faults.
  static std::string
  serviceFileWith(const std::map<std::string, std::string> &Keys);

  /// Restarts the serving daemon and registers its backend server.
  void restartServing() const;

  /// Executions per order, summed over both backend servers.
  std::map<std::string, int> executions() const;

  /// Checks the responses against the executions. Earlier exchanges are checked
  /// again, so that late executions are found too.
  void check(std::vector<Exchange> Exchanges, bool CallersMayDisconnect);

  FleetUnderTest Fleet;
  DaemonUnderTest &Entry;
  DaemonUnderTest &OtherEntry;
  DaemonUnderTest &Serving;
  DaemonUnderTest &OtherServing;
  BackendUnderTest Backend;
  BackendUnderTest OtherBackend;
  TcpProxy BackendProxy;
  TcpProxy OtherBackendProxy;
  std::vector<Exchange> CheckedExchanges;
};

} // namespace process

#endif // JACKDAW_TESTS_PROCESS_FAULTMATRIX_H
