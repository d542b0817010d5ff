#ifndef JACKDAW_REVIEW_COMMON2_STANDINS_H
#define JACKDAW_REVIEW_COMMON2_STANDINS_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for the users' platform and the means to start the project's own
/// daemon. They use loopback addresses, the real clock and nothing but the C
/// and C++ libraries.
namespace review {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Seconds since the start of this process, by the steady clock.
double now();
void sleepUntil(double Time);
std::int64_t unixMillis();

/// Writes lines with their time to a file. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path);
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  int Descriptor;
};

struct Message {
  /// Request line or status line.
  std::string Start;
  /// Names are in lower case.
  std::multimap<std::string, std::string> Headers;
  std::string Body;

  std::string header(const std::string &Name) const;
  /// Parts of a request line.
  std::string method() const;
  std::string target() const;
  std::string path() const;
  std::string query(const std::string &Name) const;
  /// Status of a response; 0 if there was none.
  int status() const;
};

/// A blocking connection with a buffer.
class Connection {
public:
  explicit Connection(int Descriptor) : Descriptor(Descriptor) {}
  ~Connection();
  Connection(const Connection &) = delete;

  /// Connects within a second; null if that fails.
  static std::unique_ptr<Connection> open(const std::string &Ip,
                                          std::uint16_t Port);
  bool send(const std::string &Bytes);
  /// Reads one message whose body has a length, chunks or, for a response, ends
  /// with the connection. Returns no value if the connection ends before it is
  /// whole or nothing arrives for `TimeoutSeconds`.
  std::optional<Message> read(double TimeoutSeconds, bool IsResponse);
  int descriptor() const { return Descriptor; }

private:
  bool fill(double TimeoutSeconds);

  const int Descriptor;
  std::string Buffer;
  bool Ended = false;
};

std::string makeMessage(const std::string &Start,
                        const std::vector<std::string> &Headers,
                        const std::string &Body);

/// Accepts connections and handles the requests of each on its own thread.
class HttpServer {
public:
  /// Handles one request; returns false to close the connection.
  using Handler = std::function<bool(Connection &, const Message &)>;

  /// Throws `std::runtime_error` if it can't listen.
  HttpServer(const std::string &Ip, std::uint16_t Port, Handler Handle);
  ~HttpServer();

private:
  void acceptAll();
  void serve(int Descriptor);

  const Handler Handle;
  int Listening;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<int> Open;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// Stand-in for the platform's store: log-append, log-read and log-newest for
/// keyed topics.
class Store {
public:
  Store(const std::string &Ip, std::uint16_t Port);
  /// Appends a keyed record as the operator does.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

private:
  struct Entry {
    std::string Key;
    std::string Value;
  };
  bool handle(Connection &From, const Message &Request);
  bool append(Connection &From, const Message &Request);
  bool read(Connection &From, const Message &Request);
  bool newest(Connection &From, const Message &Request);

  std::mutex Mutex;
  std::map<std::string, std::vector<Entry>> Topics;
  HttpServer Server;
};

/// Addresses of a machine; the ports are the same on all machines of a case.
struct Machine {
  std::string Name;
  std::string Ip;
  std::string Service;
  std::uint16_t BasePort = 0;

  std::uint16_t outbound() const { return BasePort; }
  std::uint16_t ready() const { return std::uint16_t(BasePort + 1); }
  std::uint16_t control() const { return std::uint16_t(BasePort + 2); }
  std::uint16_t app() const { return std::uint16_t(BasePort + 3); }
  std::uint16_t inbound() const { return std::uint16_t(BasePort + 4); }
  std::uint16_t store() const { return std::uint16_t(BasePort + 5); }
  std::uint16_t internal() const { return std::uint16_t(BasePort + 10); }
};

/// A base port from which on 30 ports are free on all of these addresses; 0 if
/// there is none.
std::uint16_t freeBasePort(const std::vector<std::string> &Ips);

/// The project's daemon on one machine, started with the command of the deploy
/// file in the root of the repository.
class Daemon {
public:
  Daemon(Machine Where, std::string StoreIp, std::string Folder);
  ~Daemon();

  /// Starts a process.
  void start(bool FirstStart);
  void signal(int Number);
  /// Waits until the process has ended; kills it after `Seconds`.
  void wait(double Seconds);
  bool running();
  /// Whether it answers its readiness check with 200.
  bool isReady() const;
  bool waitReady(double Seconds) const;
  pid_t process() const { return Process; }
  const Machine &machine() const { return Where; }

private:
  const Machine Where;
  const std::string StoreIp;
  const std::string Folder;
  pid_t Process = -1;
};

/// Creates and removes a temporary folder.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string &path() const { return Path; }

private:
  std::string Path;
};

/// Body of a heartbeat.
std::string heartbeat(const Machine &Where, const std::string &State,
                      std::uint64_t Sequence, std::int64_t Born, int Slots);

/// Sends one call to the control address of a machine; returns its status, or 0
/// without a response within a second.
int callControl(const Machine &Where, const std::string &Method,
                const std::string &Id, const std::string &Body);

/// Whether `TROUBLE=0` is set.
bool isCalm();

} // namespace review

#endif // JACKDAW_REVIEW_COMMON2_STANDINS_H
