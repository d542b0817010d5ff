#include "retry/retryallowance.h"

#include <doctest/doctest.h>

#include <random>

using namespace retry;

namespace {

/// Simulates a random tree of calls in which every hop fails, retries and loses
/// responses at random.
class CallTree {
public:
  explicit CallTree(std::uint64_t Seed) : Engine(Seed) {}

  std::uint64_t Calls = 0;
  std::uint64_t Attempts = 0;

  /// Makes one call and all its retries with the allowance `Parent`.
  void call(RetryAllowance &Parent, int Depth) {
    ++Calls;
    do {
      attempt(Parent, Depth);
    } while (randomBool(70) && Parent.consume());
  }

private:
  bool randomBool(std::uint64_t Percent) { return Engine() % 100 < Percent; }

  void attempt(RetryAllowance &Parent, int Depth) {
    ++Attempts;
    AllowanceGrant Grant = Parent.grant();
    RetryAllowance ChildAllowance(Grant.units());
    // A retry at a lower hop runs a new subtree. Its calls count as calls,
    // since only the attempts that retries add are limited.
    const std::uint64_t FanOut = Calls < 3000 ? 1 + Engine() % 3 : 1;
    for (std::uint64_t Child = 0; Depth < 19 && Child < FanOut; ++Child)
      call(ChildAllowance, Depth + 1);
    const std::uint32_t Unused = ChildAllowance.close();
    const bool ResponseLost = randomBool(10);
    if (ResponseLost)
      return;
    Parent.reclaim(std::move(Grant), Unused);
  }

  std::mt19937_64 Engine;
};

} // namespace

TEST_CASE(
    "at any depth and fan-out, the attempts of a request exceed its calls "
    "by at most the root's allowance") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    CallTree Tree(Seed);
    RetryAllowance Root(kRootAllowance);
    Tree.call(Root, 1);
    REQUIRE(Tree.Attempts <= Tree.Calls + kRootAllowance);
    REQUIRE(Tree.Attempts + Root.remaining() <= Tree.Calls + kRootAllowance);
  }
}

TEST_CASE(
    "a child call is granted half of the remaining units, rounded up, and "
    "its unused units are reclaimed") {
  RetryAllowance Allowance(3);
  AllowanceGrant First = Allowance.grant();
  CHECK(First.units() == 2);
  CHECK(Allowance.remaining() == 1);
  AllowanceGrant Second = Allowance.grant();
  CHECK(Second.units() == 1);
  CHECK(Allowance.remaining() == 0);
  CHECK_FALSE(Allowance.consume());
  Allowance.reclaim(std::move(First), 2);
  CHECK(Allowance.remaining() == 2);
}

TEST_CASE("a duplicate response can't return units again, nor can a late one "
          "after the allowance is closed") {
  RetryAllowance Allowance(4);
  AllowanceGrant Grant = Allowance.grant();
  AllowanceGrant Late = Allowance.grant();
  Allowance.reclaim(std::move(Grant), 9);
  CHECK(Allowance.remaining() == 3);
  Allowance.reclaim(std::move(Grant), 2); // NOLINT(bugprone-use-after-move)
  CHECK(Allowance.remaining() == 3);
  CHECK(Allowance.close() == 3);
  Allowance.reclaim(std::move(Late), 1);
  CHECK(Allowance.remaining() == 0);
  CHECK(Allowance.grant().units() == 0);
}
