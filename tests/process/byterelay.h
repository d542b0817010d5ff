#ifndef JACKDAW_TESTS_PROCESS_BYTERELAY_H
#define JACKDAW_TESTS_PROCESS_BYTERELAY_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <thread>

namespace process {

/// Passes bytes between a loopback port of its own and another one, and shows
/// faults of the network on the way.
class ByteRelay {
public:
  explicit ByteRelay(std::uint16_t TargetPort);
  ~ByteRelay();
  ByteRelay(const ByteRelay &) = delete;

  std::uint16_t port() const { return Port; }

  /// Connections from now on go to another port.
  void setTarget(std::uint16_t NewPort) { Target = NewPort; }

  /// Closes all open connections.
  void cut();

  /// Connections that are open now never carry a byte again; new ones work.
  void silenceOpen();

  /// While set, bytes from the target wait.
  void holdResponses(bool Hold);

  /// Whether bytes from the target are waiting.
  bool holdsResponse() const { return Held; }

private:
  struct Link {
    int Caller = -1;
    int Server = -1;
    std::atomic<bool> Silent = false;
    std::atomic<bool> Cut = false;
  };

  void acceptLoop();
  void linkLoop(std::list<Link>::iterator Place);
  bool passBytes(Link &Current);

  std::atomic<std::uint16_t> Target;
  int Listener = -1;
  std::uint16_t Port = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Holding = false;
  std::atomic<bool> Held = false;
  std::mutex Mutex;
  std::condition_variable LinkEnded;
  std::list<Link> Links;
  std::thread Acceptor;
};

} // namespace process

#endif // JACKDAW_TESTS_PROCESS_BYTERELAY_H
