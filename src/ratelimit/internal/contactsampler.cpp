#include "ratelimit/contactsampler.h"

#include <algorithm>

namespace ratelimit {

namespace {

/// A probe without a reply counts as failed after this time: a round trip
/// between regions, and a short stall at either end.
constexpr base::Duration kReplyTimeout = std::chrono::milliseconds(120);
/// A coordinator is in contact if at least this share of its probes is replied
/// to, in percent.
constexpr int kMinReplyPercent = 40;
constexpr int kPercent = 100;

} // namespace

bool ContactSampler::due() const {
  return Probes.empty() ||
         Clock.now() - Probes.back().SentAt >= kContactInterval;
}

void ContactSampler::onProbeSent(std::uint64_t Number) {
  const base::BootTime Now = Clock.now();
  while (!Probes.empty() && Now - Probes.front().SentAt >= kContactLifetime)
    Probes.pop_front();
  Probes.push_back({Number, Now, false});
}

void ContactSampler::onReply(std::uint64_t Number) {
  const auto Found = std::lower_bound(
      Probes.begin(), Probes.end(), Number,
      [](const Probe &Each, std::uint64_t Key) { return Each.Number < Key; });
  if (Found != Probes.end() && Found->Number == Number)
    Found->Replied = true;
}

bool ContactSampler::inContact() const {
  const base::BootTime Now = Clock.now();
  int Replied = 0;
  int Completed = 0;
  for (const Probe &Each : Probes) {
    const base::Duration Age = Now - Each.SentAt;
    if (Age >= kContactLifetime)
      continue;
    Replied += Each.Replied ? 1 : 0;
    Completed += Each.Replied || Age >= kReplyTimeout ? 1 : 0;
  }
  return Replied > 0 && Replied * kPercent >= Completed * kMinReplyPercent;
}

} // namespace ratelimit
