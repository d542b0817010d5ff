#include "routing/tests/routerfixture.h"

#include <deque>
#include <memory>
#include <queue>
#include <vector>

using namespace routing;
using namespace routing::tests;

namespace {

constexpr base::Duration kStep = 1ms;

/// Model of a small service that is called often from all data centres, with
/// one server in each and servers of unequal speed; runs in steps of 1 ms,
/// without a network.
class SmallService {
public:
  SmallService(std::vector<base::Duration> WorkTimes, std::uint32_t Slots)
      : WorkTimes(std::move(WorkTimes)), Slots(Slots) {
    for (std::size_t ServerIndex = 0; ServerIndex < this->WorkTimes.size();
         ++ServerIndex) {
      Servers.emplace_back();
      Callers.push_back(std::make_unique<Caller>(centre(ServerIndex)));
    }
    for (const auto &Each : Callers)
      for (std::size_t ServerIndex = 0; ServerIndex < Servers.size();
           ++ServerIndex)
        Each->add(instance(ServerIndex), centre(ServerIndex), Clock);
  }

  /// Makes `PerStep` calls per step in each data centre.
  void run(base::Duration Length, double PerStep) {
    const base::BootTime Until = Clock.now() + Length;
    double Due = 0;
    while (Clock.now() < Until) {
      for (Due += PerStep; Due >= 1; Due -= 1)
        for (std::size_t CallerIndex = 0; CallerIndex < Callers.size();
             ++CallerIndex)
          send(CallerIndex);
      Clock.advance(kStep);
      for (std::size_t ServerIndex = 0; ServerIndex < Servers.size();
           ++ServerIndex)
        advance(ServerIndex);
      deliver();
    }
  }

  base::Duration LongestWait{};
  int Sent = 0;
  int Completed = 0;
  int BetweenRegions = 0;

private:
  struct Call {
    std::size_t CallerIndex = 0;
    std::size_t ServerIndex = 0;
    UpstreamChoice Target;
    /// Time of the next event: arrival, completion or return of the response.
    base::BootTime Due;
    base::BootTime ArrivedAt;
  };

  struct Server {
    std::deque<Call> InTransit;
    std::deque<Call> Queue;
    std::vector<Call> Running;
  };

  struct Caller {
    explicit Caller(const std::string &Centre)
        : Table({base::DataCentreId(Centre), region(Centre)}),
          CallRouter(Table, Budget, 1) {}

    void add(const std::string &Instance, const std::string &Centre,
             const base::Clock &Clock) {
      membership::Member Record;
      Record.Instance = base::InstanceId(Instance);
      Record.Incarnation = base::Incarnation(1);
      Record.DataCentre = base::DataCentreId(Centre);
      Record.Region = region(Centre);
      Record.Service = base::ServiceName("small");
      Record.State = MemberState::Alive;
      Table.update(Record, false, Clock.now(), Clock.wallNow());
      const base::RegionId &Own = Table.topology().Region;
      Budget.configure(Own, Record.Region, 1'000'000'000, 1, Clock.now());
      Budget.configure(Record.Region, Own, 1'000'000'000, 1, Clock.now());
    }

    UpstreamTable Table;
    RegionByteBudget Budget;
    Router CallRouter;
  };

  /// Three data centres in each region.
  static std::string centre(std::size_t ServerIndex) {
    return std::string(ServerIndex < 3 ? "a" : "b") +
           std::to_string(ServerIndex);
  }
  static base::RegionId region(const std::string &Centre) {
    return base::RegionId(Centre.substr(0, 1));
  }
  static std::string instance(std::size_t ServerIndex) {
    return "server-" + std::to_string(ServerIndex);
  }
  static base::Duration delay(const UpstreamChoice &Target) {
    return Target.Locality == Locality::OtherRegion ? 30ms : 0ms;
  }

  void send(std::size_t CallerIndex) {
    const auto Chosen = Callers[CallerIndex]->CallRouter.choose(
        base::ServiceName("small"), {Clock.now() + 5s, {}, 100}, Clock.now());
    REQUIRE(Chosen);
    ++Sent;
    BetweenRegions += Chosen->Locality == Locality::OtherRegion;
    const std::size_t ServerIndex =
        std::stoul(Chosen->Process.Instance.str().substr(7));
    Servers[ServerIndex].InTransit.push_back(
        {CallerIndex, ServerIndex, *Chosen, Clock.now() + delay(*Chosen), {}});
  }

  void advance(std::size_t ServerIndex) {
    Server &Current = Servers[ServerIndex];
    std::erase_if(Current.InTransit, [&](Call &Each) {
      if (Each.Due > Clock.now())
        return false;
      Each.ArrivedAt = Clock.now();
      Current.Queue.push_back(Each);
      return true;
    });
    std::erase_if(Current.Running, [&](Call &Each) {
      if (Each.Due > Clock.now())
        return false;
      Each.Due = Clock.now() + delay(Each.Target);
      Responses.push_back({Each, std::int32_t(load(ServerIndex)) - 1});
      return true;
    });
    while (!Current.Queue.empty() && Current.Running.size() < Slots) {
      Call Next = Current.Queue.front();
      Current.Queue.pop_front();
      LongestWait = std::max(LongestWait, Clock.now() - Next.ArrivedAt);
      Next.Due = Clock.now() + WorkTimes[ServerIndex];
      Current.Running.push_back(Next);
    }
  }

  std::size_t load(std::size_t ServerIndex) const {
    return Servers[ServerIndex].Running.size() +
           Servers[ServerIndex].Queue.size();
  }

  void deliver() {
    std::erase_if(Responses, [&](const auto &Each) {
      const auto &[Returning, Load] = Each;
      if (Returning.Due > Clock.now())
        return false;
      ++Completed;
      Callers[Returning.CallerIndex]->CallRouter.finish(
          Returning.Target, {CallResult::Responded, Load, 100, Slots},
          Clock.now());
      return true;
    });
  }

  base::ManualClock Clock;
  const std::vector<base::Duration> WorkTimes;
  const std::uint32_t Slots;
  std::vector<Server> Servers;
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<std::pair<Call, std::int32_t>> Responses;
};

} // namespace

// Load pattern: several calls per request into one small service whose servers
// differ in speed. Guards against calls that queue at the near server until it
// refuses them while others have free slots.
TEST_CASE("calls into a small service leave a slow near server before it "
          "queues") {
  // The servers complete 49 * 3 / 30 ms + 49 * 3 / 60 ms = 7.35 calls per ms.
  SmallService Service({60ms, 30ms, 30ms, 60ms, 60ms, 30ms}, 49);
  Service.run(5s, 0.8 * 7.35 / 6);
  CHECK(Service.LongestWait <= 40ms);
  CHECK(Service.Completed > 0.95 * Service.Sent);
}

// Guards against calls that go to another region without need, which adds a
// long round trip to each.
TEST_CASE("calls stay in their region while it has free slots") {
  // The servers complete 49 * 4 / 30 ms + 49 * 2 / 60 ms = 8.17 calls per ms.
  SmallService Service({60ms, 30ms, 30ms, 60ms, 30ms, 30ms}, 49);
  Service.run(5s, 0.7 * 8.17 / 6);
  CHECK(Service.LongestWait <= 40ms);
  CHECK(Service.BetweenRegions < 0.01 * Service.Sent);
}
