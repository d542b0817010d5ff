#ifndef JACKDAW_NODE_REFUSALLOG_H
#define JACKDAW_NODE_REFUSALLOG_H

#include "base/clock.h"
#include "base/errors.h"
#include "base/types.h"

#include <deque>
#include <mutex>
#include <string>

namespace node {

/// Keeps the newest refusals of a daemon, so that operators can see why a
/// request was refused. Safe to use from any thread.
class RefusalLog {
public:
  explicit RefusalLog(const base::Clock &Clock) : Clock(Clock) {}

  void record(const base::ServiceName &Service,
              const base::WorkspaceName &Workspace, base::ErrorKind Kind,
              base::Outcome Outcome);

  /// One line per refusal, newest first: UTC microseconds, service, workspace,
  /// error kind and outcome.
  std::string text() const;

private:
  struct Refusal {
    base::WallTime At;
    base::ServiceName Service;
    base::WorkspaceName Workspace;
    base::ErrorKind Kind;
    base::Outcome Outcome;
  };

  /// Number of refusals kept.
  static constexpr std::size_t kCapacity = 200;

  const base::Clock &Clock;
  mutable std::mutex Mutex;
  std::deque<Refusal> Refusals;
};

} // namespace node

#endif // JACKDAW_NODE_REFUSALLOG_H
