#include "overload/adaptivelimit.h"

#include <algorithm>
#include <cmath>

namespace overload {

namespace {

/// The first limit after a cold start: a share of the slots, but no more than a
/// few calls.
constexpr double kInitialShare = 0.1;
constexpr double kHighestInitial = 4;

constexpr double kShortestWindowSeconds = 0.1;
constexpr double kLongestWindowSeconds = 5;
constexpr double kLongestSettlingSeconds = 1;
constexpr double kResponsesPerSlot = 4;
constexpr double kFewestResponses = 8;
constexpr double kMostResponses = 200;
constexpr double kLatenciesPerWindow = 2;

/// Share of a window at the limit from which the limit may grow.
constexpr double kReachedShare = 0.1;

/// Share of a window at the limit from which throughput depends on the limit
/// rather than on demand.
constexpr double kSaturatedShare = 0.8;

/// Latency relative to the base latency up to which the limit grows, and
/// beyond which it is cut.
constexpr double kGrowthRatio = 1.2;
constexpr double kCutRatio = 1.5;
constexpr double kRatioAfterCut = 1.3;
constexpr double kGrowthShare = 0.2;
constexpr double kDeepestCut = 0.7;
constexpr double kProbeFactor = 0.8;

/// Share of the throughput that remains after a cut which cost no capacity.
constexpr double kKeptThroughput = 0.9;
constexpr double kSmallestThroughput = 1e-3;

/// Standard errors by which a latency must exceed its bound.
constexpr double kCertainty = 2;

/// The base latency is the lowest of this many windows, which include at least
/// one probe.
constexpr std::size_t kRememberedWindows = 20;
constexpr std::uint32_t kWindowsBetweenProbes = 12;

constexpr double kFailureTolerance = 0.1;
constexpr double kFailureCut = 0.7;

double toSeconds(base::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

base::Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(Value));
}

} // namespace

double AdaptiveLimit::Window::meanLatency() const {
  return Responses == 0 ? 0 : LatencySum / Responses;
}

double AdaptiveLimit::Window::latencyError() const {
  if (Responses < 2)
    return meanLatency();
  const double Mean = meanLatency();
  const double Variance = LatencySquares / Responses - Mean * Mean;
  return std::sqrt(std::max(Variance, 0.0) / Responses);
}

double AdaptiveLimit::Window::failureShare() const {
  const std::uint32_t All = Responses + Failures;
  return All == 0 ? 0 : static_cast<double>(Failures) / All;
}

double AdaptiveLimit::Window::throughput() const {
  return Elapsed <= 0 ? 0 : Responses / Elapsed;
}

bool AdaptiveLimit::Window::reachedLimit() const {
  return SaturatedTime >= kReachedShare * Elapsed;
}

bool AdaptiveLimit::Window::saturated() const {
  return SaturatedTime >= kSaturatedShare * Elapsed;
}

AdaptiveLimit::AdaptiveLimit(const base::Clock &Time, std::uint32_t Slots)
    : Time(Time), Slots(std::max<std::uint32_t>(Slots, 1)),
      Limit(std::clamp(kInitialShare * Slots, 1.0, kHighestInitial)),
      LastUpdate(Time.now()), SettledAt(LastUpdate) {}

std::uint32_t AdaptiveLimit::limit() const {
  return static_cast<std::uint32_t>(std::clamp(Limit, 1.0, Slots));
}

base::Duration AdaptiveLimit::baseLatency() const {
  return fromSeconds(base());
}

void AdaptiveLimit::tick() {
  accumulate();
  if (windowComplete())
    finishWindow();
}

void AdaptiveLimit::beforeChange() { accumulate(); }

void AdaptiveLimit::ended(CallCompletion End, base::Duration Latency) {
  if (End == CallCompletion::Cancelled || LastUpdate < SettledAt)
    return;
  if (End == CallCompletion::Failed) {
    ++Current.Failures;
    return;
  }
  const double Seconds = toSeconds(Latency);
  ++Current.Responses;
  Current.LatencySum += Seconds;
  Current.LatencySquares += Seconds * Seconds;
}

void AdaptiveLimit::accumulate() {
  const base::BootTime Now = Time.now();
  const double Step = toSeconds(Now - std::max(LastUpdate, SettledAt));
  LastUpdate = Now;
  if (Step <= 0)
    return;
  Current.Elapsed += Step;
  if (!hasFreeSlot())
    Current.SaturatedTime += Step;
}

bool AdaptiveLimit::windowComplete() const {
  const std::uint32_t Ends = Current.Responses + Current.Failures;
  if (Ends == 0 || Current.Elapsed < kShortestWindowSeconds)
    return false;
  if (Current.Elapsed >= kLongestWindowSeconds)
    return true;
  const double Needed =
      std::clamp(kResponsesPerSlot * Limit, kFewestResponses, kMostResponses);
  return Ends >= Needed &&
         Current.Elapsed >= kLatenciesPerWindow * Current.meanLatency();
}

void AdaptiveLimit::finishWindow() {
  if (State == Phase::Steady)
    adjust();
  else
    compareWithBefore();
  Current = Window();
}

// Below the capacity, throughput falls with the calls in flight; above it,
// fewer calls in flight cost nothing.
void AdaptiveLimit::compareWithBefore() {
  const bool Probing = State == Phase::Probe;
  State = Phase::Steady;
  // Without demand up to the limit, the window proves nothing.
  if (!Current.saturated()) {
    changeLimit(LimitBefore);
    return;
  }
  const double Kept =
      Current.throughput() / std::max(Before.throughput(), kSmallestThroughput);
  if (Kept >= kKeptThroughput) {
    remember(Current.meanLatency());
    if (Probing)
      startCut(kProbeFactor, Phase::Probe);
    return;
  }
  Latencies.clear();
  remember(Current.meanLatency());
  BaseFailures = std::max(BaseFailures, Current.failureShare());
  changeLimit(LimitBefore);
}

void AdaptiveLimit::adjust() {
  ++WindowsSinceProbe;
  if (cutForFailures())
    return;
  if (Current.Responses == 0)
    return;
  const double Mean = Current.meanLatency();
  const double Error = Current.latencyError();
  remember(Mean);
  if (Current.reachedLimit())
    adjustForLatency(Mean / base(), (Mean - kCertainty * Error) / base());
}

void AdaptiveLimit::remember(double Latency) {
  if (Latency <= 0)
    return;
  Latencies.push_back(Latency);
  if (Latencies.size() > kRememberedWindows)
    Latencies.pop_front();
}

double AdaptiveLimit::base() const {
  return Latencies.empty()
             ? 0
             : *std::min_element(Latencies.begin(), Latencies.end());
}

void AdaptiveLimit::adjustForLatency(double Ratio, double CertainRatio) {
  const bool Queueing = CertainRatio > kCutRatio && Current.saturated();
  if (Queueing) {
    SlowStart = false;
    startCut(std::max(kDeepestCut, kRatioAfterCut / Ratio), Phase::VerifyCut);
    return;
  }
  if (WindowsSinceProbe >= kWindowsBetweenProbes && Current.saturated()) {
    startCut(kProbeFactor, Phase::Probe);
    return;
  }
  if (Ratio > kGrowthRatio) {
    SlowStart = false;
    return;
  }
  const double Growth = SlowStart ? Limit : std::max(1.0, kGrowthShare * Limit);
  changeLimit(Limit + Growth);
}

bool AdaptiveLimit::cutForFailures() {
  const double Share = Current.failureShare();
  BaseFailures = std::min(BaseFailures, Share);
  if (Share <= BaseFailures + kFailureTolerance)
    return false;
  SlowStart = false;
  startCut(kFailureCut, Phase::VerifyCut);
  return true;
}

void AdaptiveLimit::startCut(double Factor, Phase Next) {
  Before = Current;
  LimitBefore = Limit;
  WindowsSinceProbe = 0;
  const double Smaller = std::min(Limit * Factor, Limit - 1);
  if (Smaller < 1 && Limit <= 1)
    return;
  State = Next;
  changeLimit(Smaller);
}

// Calls that were started under the old limit would blur the next window, so
// it starts one mean latency later.
void AdaptiveLimit::changeLimit(double New) {
  Limit = std::clamp(New, 1.0, Slots);
  const double Settling =
      std::min(Current.meanLatency(), kLongestSettlingSeconds);
  SettledAt = LastUpdate + fromSeconds(Settling);
}

} // namespace overload
