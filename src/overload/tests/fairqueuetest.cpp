#include "overload/fairqueue.h"

#include <doctest/doctest.h>

#include <map>

using namespace std::chrono_literals;
using base::PriorityClass;
using overload::DequeueReason;
using overload::FairQueue;
using overload::QueueEntry;

namespace {

struct QueueFixture {
  base::ManualClock Clock;
  std::uint8_t LastId = 0;

  QueueEntry entry(const char *Workspace,
                   PriorityClass Class = PriorityClass::Normal) {
    QueueEntry Result;
    Result.Id.Bytes[0] = ++LastId;
    Result.Workspace = base::WorkspaceName(Workspace);
    Result.Class = Class;
    Result.Deadline = Clock.now() + 10s;
    return Result;
  }
};

} // namespace

TEST_CASE_FIXTURE(QueueFixture,
                  "a workspace with many entries does not delay the others") {
  FairQueue Queue(Clock, {});
  for (int Index = 0; Index < 20; ++Index)
    Queue.push(entry("large"));
  Queue.push(entry("small"));
  Queue.push(entry("small"));
  std::map<std::string, int> Served;
  for (int Index = 0; Index < 4; ++Index)
    ++Served[Queue.pop()->Entry.Workspace.str()];
  CHECK(Served["small"] == 2);
}

TEST_CASE_FIXTURE(
    QueueFixture,
    "workspaces share by cost, so expensive requests gain nothing") {
  FairQueue Queue(Clock, {});
  for (int Index = 0; Index < 30; ++Index) {
    QueueEntry Expensive = entry("expensive");
    Expensive.Cost = 4;
    Queue.push(Expensive);
    Queue.push(entry("cheap"));
  }
  std::map<std::string, std::uint32_t> Cost;
  for (int Index = 0; Index < 25; ++Index) {
    const auto Next = Queue.pop();
    Cost[Next->Entry.Workspace.str()] += Next->Entry.Cost;
  }
  CHECK(Cost["cheap"] >= 16);
  CHECK(Cost["expensive"] <= 24);
}

TEST_CASE_FIXTURE(
    QueueFixture,
    "a lower class does not run before a higher one, and a higher "
    "one is not evicted while a lower one is queued") {
  FairQueue Queue(Clock, {.MaxLength = 3});
  Queue.push(entry("a", PriorityClass::Background));
  Queue.push(entry("a", PriorityClass::Critical));
  Queue.push(entry("a", PriorityClass::Normal));
  const auto First = Queue.push(entry("b", PriorityClass::Critical));
  REQUIRE(First);
  CHECK(First->Entry.Class == PriorityClass::Background);
  const auto Second = Queue.push(entry("b", PriorityClass::Critical));
  REQUIRE(Second);
  CHECK(Second->Entry.Class == PriorityClass::Normal);
  const QueueEntry Late = entry("b", PriorityClass::Normal);
  const auto Third = Queue.push(Late);
  REQUIRE(Third);
  CHECK(Third->Entry.Id == Late.Id);
  CHECK(Third->Reason == DequeueReason::QueueFull);
  CHECK(Queue.size(PriorityClass::Critical) == 3);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "a full queue evicts the newest entry of the workspace with "
                  "the most entries, not that of a small workspace") {
  FairQueue Queue(Clock, {.MaxLength = 3});
  Queue.push(entry("large"));
  Queue.push(entry("large"));
  const QueueEntry Newest = entry("large");
  Queue.push(Newest);
  const auto Evicted = Queue.push(entry("small"));
  REQUIRE(Evicted);
  CHECK(Evicted->Entry.Id == Newest.Id);
}

TEST_CASE_FIXTURE(QueueFixture,
                  "an entry never runs after its maximum wait or deadline") {
  FairQueue Queue(Clock, {});
  Queue.push(entry("a"));
  QueueEntry Urgent = entry("a");
  Urgent.Deadline = Clock.now() + 50ms;
  Queue.push(Urgent);
  QueueEntry Past = entry("a");
  Past.Deadline = Clock.now();
  REQUIRE(Queue.push(Past));

  Clock.advance(50ms);
  const auto AtDeadline = Queue.takeExpired();
  REQUIRE(AtDeadline.size() == 1);
  CHECK(AtDeadline[0].Entry.Id == Urgent.Id);
  CHECK(AtDeadline[0].Reason == DequeueReason::DeadlineExpired);
  Clock.advance(50ms);
  CHECK_FALSE(Queue.pop());
  const auto AtLimit = Queue.takeExpired();
  REQUIRE(AtLimit.size() == 1);
  CHECK(AtLimit[0].Reason == DequeueReason::MaxWaitExceeded);
  CHECK(AtLimit[0].WaitTime == 100ms);
}

TEST_CASE_FIXTURE(QueueFixture, "a cancelled entry does not run") {
  FairQueue Queue(Clock, {});
  const QueueEntry Cancelled = entry("a");
  Queue.push(Cancelled);
  CHECK(Queue.cancel(Cancelled.Id));
  CHECK_FALSE(Queue.cancel(Cancelled.Id));
  CHECK_FALSE(Queue.pop());
  CHECK(Queue.takeExpired().empty());
}

TEST_CASE_FIXTURE(
    QueueFixture,
    "a request that has waited at earlier hops precedes new ones") {
  FairQueue Queue(Clock, {});
  Queue.push(entry("a"));
  QueueEntry Admitted = entry("a");
  Admitted.PriorWait = 30ms;
  Queue.push(Admitted);
  CHECK(Queue.pop()->Entry.Id == Admitted.Id);
}
