#include "routing/tests/routerfixture.h"

#include <deque>
#include <memory>
#include <queue>
#include <vector>

using namespace routing;
using namespace routing::tests;

namespace {

constexpr base::Duration kStep = 1ms;

/// A small service that all data centres call often, with one server in each
/// and servers of unequal speed: in steps of 1 ms, without a network.
class SmallService {
public:
  SmallService(std::vector<base::Duration> WorkTimes, std::uint32_t Slots)
      : WorkTimes(std::move(WorkTimes)), Slots(Slots) {
    for (std::size_t At = 0; At < this->WorkTimes.size(); ++At) {
      Servers.emplace_back();
      Callers.push_back(std::make_unique<Caller>(centre(At)));
    }
    for (const auto &Each : Callers)
      for (std::size_t At = 0; At < Servers.size(); ++At)
        Each->add(instance(At), centre(At), Clock);
  }

  /// `PerStep` calls in each step and data centre.
  void run(base::Duration Length, double PerStep) {
    const base::BootTime Until = Clock.now() + Length;
    double Due = 0;
    while (Clock.now() < Until) {
      for (Due += PerStep; Due >= 1; Due -= 1)
        for (std::size_t From = 0; From < Callers.size(); ++From)
          send(From);
      Clock.advance(kStep);
      for (std::size_t At = 0; At < Servers.size(); ++At)
        advance(At);
      deliver();
    }
  }

  base::Duration LongestWait{};
  int Sent = 0;
  int Ended = 0;
  int BetweenRegions = 0;

private:
  struct Call {
    std::size_t From = 0;
    std::size_t At = 0;
    UpstreamChoice Target;
    base::BootTime Due;
    base::BootTime ArrivedAt;
  };

  struct Server {
    std::deque<Call> Underway;
    std::deque<Call> Queue;
    std::vector<Call> Running;
  };

  struct Caller {
    explicit Caller(const std::string &Centre)
        : Table({base::DataCentreId(Centre), region(Centre)}),
          Calls(Table, Bytes, 1) {}

    void add(const std::string &Instance, const std::string &Centre,
             const base::Clock &Time) {
      membership::Member Record;
      Record.Instance = base::InstanceId(Instance);
      Record.Epoch = base::Incarnation(1);
      Record.DataCentre = base::DataCentreId(Centre);
      Record.Region = region(Centre);
      Record.Service = base::ServiceName("small");
      Record.State = MemberState::Alive;
      Table.update(Record, false, Time.now(), Time.wallNow());
      const base::RegionId &Own = Table.topology().Region;
      Bytes.configure(Own, Record.Region, 1'000'000'000, 1, Time.now());
      Bytes.configure(Record.Region, Own, 1'000'000'000, 1, Time.now());
    }

    UpstreamTable Table;
    RegionByteBudget Bytes;
    Router Calls;
  };

  /// Three data centres in each region.
  static std::string centre(std::size_t At) {
    return std::string(At < 3 ? "a" : "b") + std::to_string(At);
  }
  static base::RegionId region(const std::string &Centre) {
    return base::RegionId(Centre.substr(0, 1));
  }
  static std::string instance(std::size_t At) {
    return "server-" + std::to_string(At);
  }
  static base::Duration delay(const UpstreamChoice &Target) {
    return Target.Place == Locality::OtherRegion ? 30ms : 0ms;
  }

  void send(std::size_t From) {
    const auto Chosen = Callers[From]->Calls.choose(
        base::ServiceName("small"), {Clock.now() + 5s, {}, 100}, Clock.now());
    REQUIRE(Chosen);
    ++Sent;
    BetweenRegions += Chosen->Place == Locality::OtherRegion;
    const std::size_t At = std::stoul(Chosen->Process.Instance.str().substr(7));
    Servers[At].Underway.push_back(
        {From, At, *Chosen, Clock.now() + delay(*Chosen), {}});
  }

  void advance(std::size_t At) {
    Server &Here = Servers[At];
    std::erase_if(Here.Underway, [&](Call &Each) {
      if (Each.Due > Clock.now())
        return false;
      Each.ArrivedAt = Clock.now();
      Here.Queue.push_back(Each);
      return true;
    });
    std::erase_if(Here.Running, [&](Call &Each) {
      if (Each.Due > Clock.now())
        return false;
      Each.Due = Clock.now() + delay(Each.Target);
      Answers.push_back({Each, std::int32_t(load(At)) - 1});
      return true;
    });
    while (!Here.Queue.empty() && Here.Running.size() < Slots) {
      Call Next = Here.Queue.front();
      Here.Queue.pop_front();
      LongestWait = std::max(LongestWait, Clock.now() - Next.ArrivedAt);
      Next.Due = Clock.now() + WorkTimes[At];
      Here.Running.push_back(Next);
    }
  }

  std::size_t load(std::size_t At) const {
    return Servers[At].Running.size() + Servers[At].Queue.size();
  }

  void deliver() {
    std::erase_if(Answers, [&](const auto &Each) {
      const auto &[Back, Load] = Each;
      if (Back.Due > Clock.now())
        return false;
      ++Ended;
      Callers[Back.From]->Calls.finish(
          Back.Target, {CallResult::Responded, Load, 100, Slots}, Clock.now());
      return true;
    });
  }

  base::ManualClock Clock;
  const std::vector<base::Duration> WorkTimes;
  const std::uint32_t Slots;
  std::vector<Server> Servers;
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<std::pair<Call, std::int32_t>> Answers;
};

} // namespace

// Load pattern: several calls a request into one small service, whose servers
// differ in speed. Guards against calls that wait at the near server until it
// refuses while others have free slots.
TEST_CASE("calls into a small service leave a slow near server before it "
          "queues") {
  // Together they finish 49 * 3 / 30 ms + 49 * 3 / 60 ms = 7.35 calls a ms.
  SmallService Service({60ms, 30ms, 30ms, 60ms, 60ms, 30ms}, 49);
  Service.run(5s, 0.8 * 7.35 / 6);
  CHECK(Service.LongestWait <= 40ms);
  CHECK(Service.Ended > 0.95 * Service.Sent);
}

// Guards against calls that go to another region without need, which costs
// each of them a long way.
TEST_CASE("calls stay in their region while it has free slots") {
  SmallService Service({60ms, 30ms, 30ms, 60ms, 30ms, 30ms}, 49);
  Service.run(5s, 0.7 * 8.17 / 6);
  CHECK(Service.LongestWait <= 40ms);
  CHECK(Service.BetweenRegions < 0.01 * Service.Sent);
}
