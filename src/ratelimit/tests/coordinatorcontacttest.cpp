#include "ratelimit/coordinatorcontact.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using ratelimit::CoordinatorContact;
using ratelimit::DividedLimits;

namespace {

const base::WorkspaceName kWorkspace{"w"};
constexpr base::Duration kStep = 20ms;

base::Endpoint endpointOf(std::size_t Daemon) {
  return {"10.0.0.1", static_cast<std::uint16_t>(Daemon)};
}

/// A coordinator with its bucket, and the daemons that use it: some of them
/// request permits, the others are asked now and then.
struct Coordinator {
  Coordinator(const base::Clock &Clock, std::size_t FleetSize)
      : Clock(Clock), FleetSize(FleetSize), Limits(Clock, {}, true) {
    Limits.setDaemonCount(FleetSize);
    Limits.setCoordinator(kWorkspace, true);
  }

  /// One step, in which `Requesting` of the `Reachable` other daemons request
  /// permits. Returns what is granted.
  std::uint32_t step(const ratelimit::RateAndBurst &Limit,
                     std::size_t Requesting, std::size_t Reachable,
                     std::mt19937_64 &Random) {
    const base::BootTime Now = Clock.now();
    Limits.tick();
    for (std::size_t Daemon = 0; Daemon < Requesting; ++Daemon)
      Contact.onRequest(endpointOf(Daemon), Now);
    confirmDueChecks(Now);
    if (++Steps % 5 == 0) {
      const bool Scarce = Limits.isScarce(kWorkspace, Limit);
      if (Scarce)
        sendChecks(Reachable, Random);
      const double Share =
          Scarce ? Contact.share(FleetSize - 1, Now) : double(1);
      Limits.setCoordinatedShare(kWorkspace, Limit, Share >= 0.9 ? 1 : Share);
    }
    return Limits.grant(kWorkspace, Limit, 1'000);
  }

  void sendChecks(std::size_t Reachable, std::mt19937_64 &Random) {
    std::vector<std::size_t> Unheard;
    for (std::size_t Daemon = 0; Daemon + 1 < FleetSize; ++Daemon)
      if (!Contact.hasHeardFrom(endpointOf(Daemon), Clock.now()))
        Unheard.push_back(Daemon);
    std::shuffle(Unheard.begin(), Unheard.end(), Random);
    for (std::size_t Index = 0;
         Index < std::min<std::size_t>(2, Unheard.size()); ++Index) {
      Contact.onCheckSent(++LastNumber, Clock.now());
      if (Unheard[Index] < Reachable)
        Confirmations.push_back({LastNumber, Clock.now() + 60ms});
    }
  }

  void confirmDueChecks(base::BootTime Now) {
    std::erase_if(Confirmations, [&](const auto &Each) {
      if (Now < Each.second)
        return false;
      Contact.onConfirmed(Each.first, Now);
      return true;
    });
  }

  const base::Clock &Clock;
  const std::size_t FleetSize;
  DividedLimits Limits;
  CoordinatorContact Contact;
  std::uint64_t LastNumber = 0;
  unsigned Steps = 0;
  std::vector<std::pair<std::uint64_t, base::BootTime>> Confirmations;
};

} // namespace

TEST_CASE("daemons that request permits use this coordinator") {
  base::ManualClock Clock;
  CoordinatorContact Contact;
  CHECK(Contact.share(3, Clock.now()) == doctest::Approx(0.25));
  Contact.onRequest(endpointOf(1), Clock.now());
  Contact.onRequest(endpointOf(1), Clock.now());
  CHECK(Contact.share(3, Clock.now()) == doctest::Approx(0.5));
  Contact.onRequest(endpointOf(2), Clock.now());
  Contact.onRequest(endpointOf(3), Clock.now());
  CHECK(Contact.share(3, Clock.now()) == doctest::Approx(1));
  Clock.advance(ratelimit::kContactWindow + 1ms);
  CHECK(Contact.share(3, Clock.now()) == doctest::Approx(0.25));
}

// Guards against a share that is too high because confirmations are counted
// before the checks that nobody confirms.
TEST_CASE("a check counts when its time is over") {
  base::ManualClock Clock;
  CoordinatorContact Contact;
  Contact.onCheckSent(1, Clock.now());
  Contact.onCheckSent(2, Clock.now());
  Clock.advance(60ms);
  Contact.onConfirmed(1, Clock.now());
  CHECK(Contact.share(9, Clock.now()) == doctest::Approx(0.1));
  Clock.advance(CoordinatorContact::kCheckTimeout);
  CHECK(Contact.share(9, Clock.now()) == doctest::Approx(0.55));
  Contact.onConfirmed(2, Clock.now());
  CHECK(Contact.share(9, Clock.now()) == doctest::Approx(0.55));
  Clock.advance(ratelimit::kContactWindow);
  CHECK(Contact.share(9, Clock.now()) == doctest::Approx(0.1));
}

// Guards against two coordinators that both grant the whole limit, one on each
// side of a network partition, before the smaller side has noticed that it is
// one. The successor begins half a second after it was chosen.
TEST_CASE("the coordinators of two sides of a partition grant no more than the "
          "limit") {
  const ratelimit::RateAndBurst Limit{300, 300};
  for (const std::size_t FleetSize : {4U, 24U, 97U})
    for (unsigned Seed = 1; Seed <= 100; ++Seed) {
      CAPTURE(FleetSize);
      CAPTURE(Seed);
      std::mt19937_64 Random(Seed);
      base::ManualClock Clock;
      Coordinator Old(Clock, FleetSize);
      Coordinator New(Clock, FleetSize);
      const std::size_t Smaller = 1 + Random() % (FleetSize / 2);
      const std::size_t Larger = FleetSize - Smaller;
      // All, half or none of the other daemons have callers of the workspace.
      const std::size_t Part = Seed % 3;
      const auto Requesting = [Part](std::size_t Others) {
        return Others * Part / 2;
      };
      for (int Step = 0; Step < 150; ++Step) {
        Old.step(Limit, Requesting(FleetSize - 1), FleetSize - 1, Random);
        Clock.advance(kStep);
      }
      double Granted = 0;
      // The larger side replaces the coordinator after 200 ms without a reply.
      for (int Step = 0; Step < 250; ++Step) {
        if (Step == 10)
          New.Limits.setCoordinator(kWorkspace, false);
        if (Step == 10)
          New.Limits.setCoordinator(kWorkspace, true);
        Granted +=
            Old.step(Limit, Requesting(Smaller - 1), Smaller - 1, Random);
        if (Step >= 10)
          Granted +=
              New.step(Limit, Requesting(Larger - 1), Larger - 1, Random);
        Clock.advance(kStep);
      }
      // Five seconds; a tenth for the error of the samples.
      CHECK(Granted <= 5 * Limit.Rate * 1.1);
    }
}

// Guards against refusals within the limit, because few daemons have callers of
// the workspace.
TEST_CASE("a coordinator that all daemons use grants the whole limit") {
  const ratelimit::RateAndBurst Limit{300, 300};
  for (const std::size_t Requesting : {0U, 1U, 23U}) {
    CAPTURE(Requesting);
    std::mt19937_64 Random(1);
    base::ManualClock Clock;
    Coordinator Only(Clock, 24);
    double Granted = 0;
    for (int Step = 0; Step < 300; ++Step) {
      const auto Count = Only.step(Limit, Requesting, 23, Random);
      Granted += Step >= 50 ? Count : 0;
      Clock.advance(kStep);
    }
    // The coordinator's part is 70 % of the limit.
    CHECK(Granted >= 5 * Limit.Rate * 0.7 * 0.96 * 0.95);
  }
}
