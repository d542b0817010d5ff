#ifndef JACKDAW_ROUTING_TESTS_ROUTERFIXTURE_H
#define JACKDAW_ROUTING_TESTS_ROUTERFIXTURE_H

#include "routing/router.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>

namespace routing::tests {

using namespace std::chrono_literals;
using membership::MemberState;

/// A router in data centre "a1" of region "a", with a manual clock.
struct Fixture {
  Fixture() {
    for (const auto &[From, To] :
         {std::pair(Own, Other), std::pair(Other, Own)})
      Budget.configure(From, To, 1'000'000'000, 1, Clock.now());
  }

  /// Adds or updates an upstream; it is warm unless `Age` is below the ramp-up
  /// time.
  base::ProcessId put(const std::string &Name, const std::string &Centre = "a1",
                      MemberState State = MemberState::Alive,
                      base::Duration Age = 1h, bool Silent = false) {
    membership::Member Record;
    Record.Instance = base::InstanceId(Name);
    const auto Started = Clock.wallNow().time_since_epoch() - Age;
    if (!StartTimes.contains(Name))
      StartTimes[Name] = std::uint64_t(Started / 1us);
    Record.Incarnation = base::Incarnation(StartTimes[Name]);
    Record.DataCentre = base::DataCentreId(Centre);
    Record.Region = base::RegionId(Centre.substr(0, 1));
    Record.Service = Service;
    Record.Peer = {"127.0.0.1", 7000};
    Record.State = State;
    Record.Slots = 60;
    Table.update(Record, Silent, Clock.now(), Clock.wallNow());
    return Record.process();
  }

  SelectionContext context(base::Duration Left = 1s) const {
    return {Clock.now() + Left, {}, 1000};
  }

  /// The choice, or no value and the error kind in `Failure`.
  std::optional<UpstreamChoice> choose(const SelectionContext &Context) {
    std::optional<UpstreamChoice> Chosen;
    Failure = boost::leaf::try_handle_all(
        [&]() -> base::Result<std::optional<base::ErrorKind>> {
          BOOST_LEAF_ASSIGN(Chosen,
                            TestRouter.choose(Service, Context, Clock.now()));
          return std::optional<base::ErrorKind>();
        },
        [](const base::Error &E) { return std::optional(E.Kind); },
        [] { return std::optional(base::ErrorKind::Internal); });
    return Chosen;
  }

  /// Makes a call that finishes with `Result` and returns the chosen instance;
  /// "-" if there is none.
  std::string call(CallResult Result = CallResult::Responded,
                   std::int32_t Load = 0) {
    const auto Chosen = choose(context());
    if (!Chosen)
      return "-";
    TestRouter.finish(*Chosen, {Result, Load, 1000}, Clock.now());
    return Chosen->Process.Instance.str();
  }

  /// Makes `Count` calls and returns how many each instance got.
  std::map<std::string, int> countCalls(int Count) {
    std::map<std::string, int> Result;
    for (int Index = 0; Index < Count; ++Index)
      ++Result[call()];
    return Result;
  }

  base::ManualClock Clock;
  const base::ServiceName Service{"prices"};
  const base::RegionId Own{"a"};
  const base::RegionId Other{"b"};
  UpstreamTable Table{{base::DataCentreId("a1"), Own, 1500us, 30ms}};
  RegionByteBudget Budget;
  Router TestRouter{Table, Budget, 1};
  std::map<std::string, std::uint64_t> StartTimes;
  std::optional<base::ErrorKind> Failure;
};

} // namespace routing::tests

#endif // JACKDAW_ROUTING_TESTS_ROUTERFIXTURE_H
