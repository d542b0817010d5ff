#ifndef JACKDAW_BENCH_OVERLOAD_WORLD_H
#define JACKDAW_BENCH_OVERLOAD_WORLD_H

#include "metrics.h"
#include "node.h"
#include "overload/admissiontable.h"
#include "overload/workspacedemand.h"
#include "scenario.h"

#include <boost/random/mersenne_twister.hpp>

#include <array>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bench {

/// Callers, entry daemons and a chain of services in steps of a millisecond.
/// Each call does its own work first and then calls the next service, holding
/// its slot until the response.
class World {
public:
  World(const Scenario &Case, const Variant &Mechanisms, std::uint32_t Seed);

  Observations run();

private:
  /// A whole request of a caller.
  struct Request {
    std::size_t Owner = 0;
    base::PriorityClass Class = base::PriorityClass::Normal;
    int BornMs = 0;
    int RetriesLeft = 0;
    int LastService = kServices - 1;
  };

  /// One attempt of a request on its way along the chain.
  struct Attempt {
    Request Origin;
    base::BootTime Deadline;
    std::uint8_t Value = 0;
    std::size_t Entry = 0;
    /// Service that the attempt has reached, and the nodes taken.
    int Depth = 0;
    int DeepCallsLeft = 1;
    std::array<std::size_t, kServices> Nodes{};
    base::Duration Waited{};
  };

  /// An entry daemon.
  struct EntryDaemon {
    explicit EntryDaemon(const base::Clock &Time) : Table(Time), Demand(Time) {}

    overload::AdmissionTable Table;
    overload::WorkspaceDemand Demand;
  };

  using Timed = std::multimap<int, Request>;

  bool triggered() const;
  void arrive();
  void begin(const Request &Origin);
  void call(const base::RequestId &Id);
  void startCalls(int Service, Node &Daemon);
  void workDone(const base::RequestId &Id);
  void respond(const base::RequestId &Id);
  void refuse(const base::RequestId &Id);
  void unwind(const base::RequestId &Id, int From,
              overload::CallCompletion End);
  void reportLevel(const Attempt &Each, int Depth);
  void passDeadlines();
  void lose(const Request &Origin);
  void record(const Request &Origin, bool Completed);
  std::size_t choose(int Service);
  double unit();

  const Scenario Case;
  const Variant Mechanisms;
  base::ManualClock Clock;
  boost::random::mt19937 Engine;
  int NowMs = 0;
  std::uint64_t LastId = 0;
  std::vector<std::vector<std::unique_ptr<Node>>> Services;
  std::vector<std::unique_ptr<EntryDaemon>> Entries;
  std::unordered_map<base::RequestId, Attempt> Attempts;
  std::multimap<base::BootTime, base::RequestId> Deadlines;
  Timed Retries;
  Observations Seen;
};

} // namespace bench

#endif // JACKDAW_BENCH_OVERLOAD_WORLD_H
