#include "overload/adaptivelimit.h"

#include <algorithm>
#include <cmath>

namespace overload {

namespace {

/// The limit after a cold start: a share of the slots, but at most a few calls.
constexpr double kInitialSlotShare = 0.1;
constexpr double kMaxInitialLimit = 4;

/// A window ends once it has lasted for the minimum time and for
/// `kMinLatenciesPerWindow` mean latencies and has `kResponsesPerSlot`
/// completed calls per slot of the limit. It also ends after the maximum time
/// if at least one call has completed.
constexpr double kMinWindowSeconds = 0.1;
constexpr double kMaxWindowSeconds = 5;
/// Longest time after a change of the limit that is not measured.
constexpr double kMaxSettlingSeconds = 1;
constexpr double kResponsesPerSlot = 4;
/// Bounds of the number of completed calls that a window needs.
constexpr double kMinResponses = 8;
constexpr double kMaxResponses = 200;
constexpr double kMinLatenciesPerWindow = 2;

/// Share of a window spent at the limit from which the limit may grow.
constexpr double kReachedLimitShare = 0.1;

/// Share of a window spent at the limit from which throughput depends on the
/// limit rather than on demand.
constexpr double kSaturatedShare = 0.8;

/// Ratio of latency to base latency up to which the limit grows, beyond which
/// it is cut, and at which a cut aims.
constexpr double kGrowthRatio = 1.2;
constexpr double kCutRatio = 1.5;
constexpr double kRatioAfterCut = 1.3;

/// Growth per window after slow start, relative to the limit.
constexpr double kGrowthFraction = 0.2;
/// Factor of the deepest cut because of latency.
constexpr double kMinCutFactor = 0.7;
constexpr double kProbeFactor = 0.8;

/// A cut or probe that keeps at least this share of the throughput has removed
/// only queueing.
constexpr double kMinThroughputRatio = 0.9;
/// Responses per second; avoids a division by zero.
constexpr double kMinThroughput = 1e-3;

/// Number of standard errors by which the mean latency must exceed the bound
/// before the limit is cut.
constexpr double kStandardErrors = 2;

/// The base latency is the lowest mean latency of this many windows, which
/// include at least one probe.
constexpr std::size_t kBaseLatencyWindows = 20;
constexpr std::uint32_t kWindowsBetweenProbes = 12;

/// Share of failures above the load-independent share that cuts the limit, and
/// the factor of that cut.
constexpr double kFailureTolerance = 0.1;
constexpr double kFailureCutFactor = 0.7;

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
  const double Variance = LatencySquareSum / Responses - Mean * Mean;
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
  return SaturatedTime >= kReachedLimitShare * Elapsed;
}

bool AdaptiveLimit::Window::saturated() const {
  return SaturatedTime >= kSaturatedShare * Elapsed;
}

AdaptiveLimit::AdaptiveLimit(const base::Clock &Clock, std::uint32_t Slots)
    : Clock(Clock), Slots(std::max<std::uint32_t>(Slots, 1)),
      Limit(std::clamp(kInitialSlotShare * Slots, 1.0, kMaxInitialLimit)),
      LastUpdate(Clock.now()), MeasureFrom(LastUpdate) {}

std::uint32_t AdaptiveLimit::limit() const {
  return static_cast<std::uint32_t>(std::clamp(Limit, 1.0, Slots));
}

base::Duration AdaptiveLimit::baseLatency() const {
  return fromSeconds(lowestLatency());
}

void AdaptiveLimit::tick() {
  accumulate();
  if (windowComplete())
    finishWindow();
}

void AdaptiveLimit::beforeInFlightChange() { accumulate(); }

void AdaptiveLimit::onCallCompleted(CompletionStatus Completion,
                                    base::Duration Latency) {
  if (Completion == CompletionStatus::Cancelled || LastUpdate < MeasureFrom)
    return;
  if (Completion == CompletionStatus::Failed) {
    ++Current.Failures;
    return;
  }
  const double Seconds = toSeconds(Latency);
  ++Current.Responses;
  Current.LatencySum += Seconds;
  Current.LatencySquareSum += Seconds * Seconds;
}

void AdaptiveLimit::accumulate() {
  const base::BootTime Now = Clock.now();
  const double Step = toSeconds(Now - std::max(LastUpdate, MeasureFrom));
  LastUpdate = Now;
  if (Step <= 0)
    return;
  Current.Elapsed += Step;
  if (!hasFreeSlot())
    Current.SaturatedTime += Step;
}

bool AdaptiveLimit::windowComplete() const {
  const std::uint32_t Completed = Current.Responses + Current.Failures;
  if (Completed == 0 || Current.Elapsed < kMinWindowSeconds)
    return false;
  if (Current.Elapsed >= kMaxWindowSeconds)
    return true;
  const double Required =
      std::clamp(kResponsesPerSlot * Limit, kMinResponses, kMaxResponses);
  return Completed >= Required &&
         Current.Elapsed >= kMinLatenciesPerWindow * Current.meanLatency();
}

void AdaptiveLimit::finishWindow() {
  if (State == Phase::Steady)
    adjust();
  else
    evaluateReducedLimit();
  Current = Window();
}

// Below the capacity of the backend server, throughput falls with the number of
// calls in flight. Above it, fewer calls in flight do not reduce throughput.
void AdaptiveLimit::evaluateReducedLimit() {
  const bool Probing = State == Phase::Probe;
  State = Phase::Steady;
  // Unless demand reached the limit, throughput says nothing about the cut.
  if (!Current.saturated()) {
    changeLimit(LimitBeforeCut);
    return;
  }
  const double ThroughputRatio =
      Current.throughput() /
      std::max(WindowBeforeCut.throughput(), kMinThroughput);
  if (ThroughputRatio >= kMinThroughputRatio) {
    recordLatency(Current.meanLatency());
    if (Probing)
      startCut(kProbeFactor, Phase::Probe);
    return;
  }
  WindowLatencies.clear();
  recordLatency(Current.meanLatency());
  BaseFailureShare = std::max(BaseFailureShare, Current.failureShare());
  changeLimit(LimitBeforeCut);
}

void AdaptiveLimit::adjust() {
  ++WindowsSinceProbe;
  if (cutForFailures())
    return;
  if (Current.Responses == 0)
    return;
  const double Mean = Current.meanLatency();
  const double Error = Current.latencyError();
  recordLatency(Mean);
  if (Current.reachedLimit())
    adjustForLatency(Mean / lowestLatency(),
                     (Mean - kStandardErrors * Error) / lowestLatency());
}

void AdaptiveLimit::recordLatency(double Latency) {
  if (Latency <= 0)
    return;
  WindowLatencies.push_back(Latency);
  if (WindowLatencies.size() > kBaseLatencyWindows)
    WindowLatencies.pop_front();
}

double AdaptiveLimit::lowestLatency() const {
  return WindowLatencies.empty() ? 0
                                 : *std::min_element(WindowLatencies.begin(),
                                                     WindowLatencies.end());
}

void AdaptiveLimit::adjustForLatency(double Ratio, double LowerBoundRatio) {
  const bool Queueing = LowerBoundRatio > kCutRatio && Current.saturated();
  if (Queueing) {
    SlowStart = false;
    startCut(std::max(kMinCutFactor, kRatioAfterCut / Ratio), Phase::VerifyCut);
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
  const double Growth =
      SlowStart ? Limit : std::max(1.0, kGrowthFraction * Limit);
  changeLimit(Limit + Growth);
}

bool AdaptiveLimit::cutForFailures() {
  const double Share = Current.failureShare();
  BaseFailureShare = std::min(BaseFailureShare, Share);
  if (Share <= BaseFailureShare + kFailureTolerance)
    return false;
  SlowStart = false;
  startCut(kFailureCutFactor, Phase::VerifyCut);
  return true;
}

void AdaptiveLimit::startCut(double Factor, Phase Next) {
  WindowBeforeCut = Current;
  LimitBeforeCut = Limit;
  WindowsSinceProbe = 0;
  const double ReducedLimit = std::min(Limit * Factor, Limit - 1);
  if (ReducedLimit < 1 && Limit <= 1)
    return;
  State = Next;
  changeLimit(ReducedLimit);
}

// Calls started under the old limit would distort the next window, so it starts
// one mean latency later.
void AdaptiveLimit::changeLimit(double NewLimit) {
  Limit = std::clamp(NewLimit, 1.0, Slots);
  const double Settling = std::min(Current.meanLatency(), kMaxSettlingSeconds);
  MeasureFrom = LastUpdate + fromSeconds(Settling);
}

} // namespace overload
