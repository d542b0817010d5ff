#include "ratelimit/contactsampler.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <vector>

using namespace ratelimit;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kTickInterval = 20ms;
constexpr int kSeeds = 2000;

/// Which part of the network fails from a given time on.
enum class Failure { None, Outgoing, Incoming, Both };

/// A coordinator that probes the fleet over a network with delays and losses.
struct Model {
  Model(unsigned Seed, double Loss) : Random(Seed), Loss(Loss) {}

  bool draw(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  /// Sends the due probes. A share of the other daemons can't be reached.
  void sendProbes() {
    if (!Sampler.due())
      return;
    for (std::size_t Count = 0; Count < kContactProbes; ++Count) {
      Sampler.onProbeSent(++Number);
      if (CutOff == Failure::Outgoing || CutOff == Failure::Both ||
          draw(UnreachableShare) || draw(Loss) || draw(Loss))
        continue;
      Replies.emplace(Clock.now() + std::chrono::milliseconds(Random() % 61),
                      Number);
    }
  }

  void step(bool Running = true) {
    Clock.advance(kTickInterval);
    for (auto Next = Replies.begin();
         Next != Replies.end() && Next->first <= Clock.now();
         Next = Replies.erase(Next))
      if (CutOff != Failure::Incoming && CutOff != Failure::Both && Running)
        Sampler.onReply(Next->second);
    if (Running)
      sendProbes();
  }

  void run(base::Duration Length) {
    for (base::Duration Left = Length; Left > 0ms; Left -= kTickInterval)
      step();
  }

  base::ManualClock Clock;
  std::mt19937 Random;
  const double Loss;
  Failure CutOff = Failure::None;
  double UnreachableShare = 0;
  ContactSampler Sampler{Clock};
  std::uint64_t Number = 0;
  std::multimap<base::BootTime, std::uint64_t> Replies;
};

} // namespace

// Guards against a coordinator that is cut off, in one direction or both, and
// grants beside its successor.
TEST_CASE(
    "a coordinator that is cut off knows it before its successor grants") {
  for (int Seed = 0; Seed < kSeeds; ++Seed)
    for (const Failure Kind :
         {Failure::Outgoing, Failure::Incoming, Failure::Both}) {
      Model Test(unsigned(Seed), 0.03);
      Test.run(1s + std::chrono::milliseconds(Test.Random() % 300));
      Test.CutOff = Kind;
      const base::BootTime CutAt = Test.Clock.now();
      bool Knows = true;
      while (Test.Clock.now() - CutAt < 5s) {
        Test.step();
        if (Test.Clock.now() - CutAt >= kContactLifetime)
          Knows = Knows && !Test.Sampler.inContact();
      }
      CAPTURE(Seed);
      CAPTURE(int(Kind));
      CHECK(Knows);
    }
  CHECK(kContactLifetime < kCoordinatorDelay);
}

// Guards against a process that was paused and counts what it knew before.
TEST_CASE("a coordinator that was paused is not in contact at once") {
  Model Test(1, 0);
  Test.run(1s);
  CHECK(Test.Sampler.inContact());
  for (base::Duration Left = kContactLifetime; Left > 0ms;
       Left -= kTickInterval)
    Test.step(false);
  CHECK_FALSE(Test.Sampler.inContact());
  Test.run(300ms);
  CHECK(Test.Sampler.inContact());
}

// Guards against refusals because single datagrams are lost.
TEST_CASE("a coordinator that loses packets stays in contact") {
  int InContact = 0;
  int Steps = 0;
  for (int Seed = 0; Seed < 200; ++Seed) {
    Model Test(unsigned(Seed), 0.03);
    Test.run(1s);
    for (int Step = 0; Step < 250; ++Step) {
      Test.step();
      ++Steps;
      InContact += Test.Sampler.inContact() ? 1 : 0;
    }
  }
  CHECK(InContact > 0.999 * Steps);
}

// Load pattern: a third of the fleet is cut off from the rest. Guards against
// coordinators of the larger part that stop granting.
TEST_CASE("a coordinator that reaches two thirds of the fleet is in contact, "
          "and one that reaches a tenth hardly ever") {
  std::map<double, double> Share;
  for (const double Unreachable : {0.35, 0.9}) {
    int InContact = 0;
    int Steps = 0;
    for (int Seed = 0; Seed < 200; ++Seed) {
      Model Test(unsigned(Seed), 0);
      Test.UnreachableShare = Unreachable;
      Test.run(1s);
      for (int Step = 0; Step < 250; ++Step) {
        Test.step();
        ++Steps;
        InContact += Test.Sampler.inContact() ? 1 : 0;
      }
    }
    Share[Unreachable] = double(InContact) / Steps;
  }
  CAPTURE(Share[0.35]);
  CAPTURE(Share[0.9]);
  CHECK(Share[0.35] > 0.95);
  CHECK(Share[0.9] < 0.05);
}
