#ifndef JACKDAW_BENCH_OVERLOAD_SIMULATION_H
#define JACKDAW_BENCH_OVERLOAD_SIMULATION_H

#include "instance.h"
#include "metrics.h"
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

/// Simulates callers, entry daemons and a chain of services in steps of one
/// millisecond. Each call does its own work first and then calls the next
/// service; it occupies its slot until the response.
class Simulation {
public:
  Simulation(const Scenario &Case, const Variant &Mechanisms,
             std::uint32_t Seed);

  Observations run();

private:
  /// A request of a caller, with its retries.
  struct Request {
    std::size_t Workspace = 0;
    base::PriorityClass Class = base::PriorityClass::Normal;
    int StartMs = 0;
    int RetriesLeft = 0;
    int LastService = kServices - 1;
  };

  /// One attempt of a request.
  struct Attempt {
    /// The request that this is an attempt of.
    Request Origin;
    base::BootTime Deadline;
    std::uint8_t Rank = 0;
    /// Index of the entry daemon.
    std::size_t Entry = 0;
    /// Index of the service that the attempt has reached.
    int Depth = 0;
    int LastServiceCallsLeft = 1;
    /// Index of the instance used at each service.
    std::array<std::size_t, kServices> Instances{};
    /// Time spent in queues so far.
    base::Duration PriorWait{};
  };

  struct EntryDaemon {
    explicit EntryDaemon(const base::Clock &Clock)
        : Table(Clock), Demand(Clock) {}

    overload::AdmissionTable Table;
    overload::WorkspaceDemand Demand;
  };

  using RetryQueue = std::multimap<int, Request>;

  bool triggered() const;
  void generateArrivals();
  void startAttempt(const Request &Origin);
  void callService(const base::CallId &Id);
  void startCalls(int Service, Instance &Target);
  void onWorkDone(const base::CallId &Id);
  void respond(const base::CallId &Id);
  void refuse(const base::CallId &Id);
  void finishCalls(const base::CallId &Id, int FromDepth,
                   overload::CompletionStatus Completion);
  void reportLevel(const Attempt &Current, int Depth);
  void expireDeadlines();
  void failAttempt(const Request &Origin);
  void record(const Request &Origin, bool Completed);
  std::size_t chooseInstance(int Service);
  double uniformRandom();

  const Scenario Case;
  const Variant Mechanisms;
  base::ManualClock Clock;
  boost::random::mt19937 RandomEngine;
  int NowMs = 0;
  std::uint64_t LastId = 0;
  std::vector<std::vector<std::unique_ptr<Instance>>> Services;
  std::vector<std::unique_ptr<EntryDaemon>> EntryDaemons;
  std::unordered_map<base::CallId, Attempt> Attempts;
  std::multimap<base::BootTime, base::CallId> Deadlines;
  RetryQueue Retries;
  Observations Results;
};

} // namespace bench

#endif // JACKDAW_BENCH_OVERLOAD_SIMULATION_H
