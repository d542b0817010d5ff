#ifndef JACKDAW_RELAY_TESTS_SCRIPTEDBACKEND_H
#define JACKDAW_RELAY_TESTS_SCRIPTEDBACKEND_H

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// A backend server that answers with whatever bytes a test wants.
class ScriptedBackend {
public:
  /// What to do with a request.
  struct Reaction {
    std::string Bytes;
    /// Closes the connection after the bytes.
    bool Close = false;
    /// Waits until the other end closes instead of reading on.
    bool Hang = false;
  };
  using Script = std::function<Reaction(const std::string &Request)>;

  explicit ScriptedBackend(Script React);
  ~ScriptedBackend();

  std::string url() const;

  /// Requests read so far, with their headers.
  std::vector<std::string> requests() const;

  /// Connections that the other end closed while a request was hanging.
  int hangsEnded() const { return HangsEnded; }

private:
  void acceptLoop();
  void serve(int Socket);

  const Script React;
  int Listening = -1;
  std::uint16_t Port = 0;
  mutable std::mutex Mutex;
  std::vector<std::string> Requests;
  std::vector<int> Sockets;
  std::vector<std::thread> Workers;
  std::atomic<int> HangsEnded = 0;
  std::thread Acceptor;
};

/// Value of a header in the text of a request; empty if it has none.
std::string headerIn(const std::string &Request, const std::string &Name);

#endif // JACKDAW_RELAY_TESTS_SCRIPTEDBACKEND_H
