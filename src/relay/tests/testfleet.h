#ifndef JACKDAW_RELAY_TESTS_TESTFLEET_H
#define JACKDAW_RELAY_TESTS_TESTFLEET_H

#include "base/metrics.h"
#include "eventloop/eventloop.h"
#include "http/asyncclient.h"
#include "http/asyncserver.h"
#include "relay/daemon.h"
#include "relay/decisionlog.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// A store in memory with one stream of records per name.
class MemoryStore final : public platformlog::KeyedStore {
public:
  explicit MemoryStore(eventloop::EventLoop &Loop) : Loop(Loop) {}

  void newest(const std::string &Stream, Callback Done) override;
  void read(const std::string &Stream, base::LogOffset After,
            base::Duration Wait, Callback Done) override;
  void append(const std::string &Stream, const platformlog::KeyedRecord &Record,
              std::optional<base::LogOffset> OnlyAfter, Callback Done) override;

  /// Appends at once.
  void put(const std::string &Stream, const std::string &Key,
           const std::string &Value);

private:
  std::vector<platformlog::KeyedRecord> after(const std::string &Stream,
                                              base::LogOffset After) const;

  eventloop::EventLoop &Loop;
  std::map<std::string, std::vector<platformlog::KeyedRecord>> Streams;
};

/// Reads policies from the text `version` and a set of prepared contents.
class PreparedPolicies final : public relay::PolicyParser {
public:
  base::Result<config::FleetPolicyContent>
  parse(const std::string &Text) const override;

  std::map<std::string, config::FleetPolicyContent> Contents;
};

/// Daemons with their callers' ports in one loop, and a store.
class TestFleet {
public:
  TestFleet();
  ~TestFleet();

  /// Starts a daemon beside the backend server at `ServerUrl` and reports the
  /// server as ready. Returns the daemon's number.
  std::size_t add(const std::string &Service, const std::string &ServerUrl,
                  std::uint32_t Slots = 8);

  /// Puts a policy in force at all daemons.
  void publish(const config::FleetPolicyContent &Content);

  /// Runs the loop until the condition holds; fails the test after 5 s.
  void waitFor(const std::function<bool()> &Condition);

  void runFor(base::Duration Time);

  /// Runs until each daemon can reach each service.
  void settle();

  /// Sends a request to a daemon's callers' port and waits for the end.
  http::ExchangeResult ask(std::size_t At, const http::Request &Sent);

  /// The same without waiting; `Done` may be null.
  http::TransferId start(std::size_t At, const http::Request &Sent,
                         const std::function<void(http::ExchangeResult)> &Done);

  void report(std::size_t At, std::uint64_t Sequence, bool Draining,
              std::uint32_t Slots = 8);

  relay::Daemon &daemon(std::size_t At) { return *Nodes[At]->Daemon; }
  http::AsyncClient &client() { return *Client; }
  base::MetricsRegistry &metrics() { return Metrics; }
  eventloop::EventLoop &loop() { return Loop; }

private:
  struct Node {
    std::unique_ptr<relay::Daemon> Daemon;
    std::unique_ptr<http::AsyncServer> Callers;
    std::string Name;
  };

  base::SystemClock Time;
  base::MetricsRegistry Metrics;
  eventloop::EventLoop Loop;
  relay::DecisionLog Log;
  MemoryStore Store;
  PreparedPolicies Policies;
  std::unique_ptr<http::AsyncClient> Client;
  std::vector<std::unique_ptr<Node>> Nodes;
};

/// A policy with one host `a.example`: `/safe/` is idempotent and `/once/` is
/// not; both go to `Service` and need the key `key-1` of workspace `w`. The
/// route `/open/` needs none.
config::FleetPolicyContent simplePolicy(const std::string &Service,
                                        std::uint64_t Version = 1);

/// A request of a caller with an attempt id and a key.
http::Request callerRequest(const std::string &Method, const std::string &Path,
                            const std::string &Attempt = "attempt-1");

/// The whole successful response of a backend server to `Request`.
std::string successFor(const std::string &Request,
                       const std::string &Body = "done");

#endif // JACKDAW_RELAY_TESTS_TESTFLEET_H
