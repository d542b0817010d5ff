#include "publish/publisher.h"

#include "config/servicefile.h"

#include <algorithm>
#include <thread>

namespace publish {

namespace {

using namespace std::chrono_literals;
using platformlog::LogError;
using platformlog::LogErrorKind;

constexpr auto kRetryDelay = 100ms;
constexpr auto kLongPollTimeout = 1000ms;

/// Runs a call to the log. On failure, sets `Failure` and returns no value.
template <typename T, typename Call>
std::optional<T> attempt(Call &&Run, LogError &Failure) {
  return boost::leaf::try_handle_all(
      [&]() -> base::Result<std::optional<T>> {
        BOOST_LEAF_AUTO(Value, Run());
        return std::optional<T>(std::move(Value));
      },
      [&](const LogError &Error) {
        Failure = Error;
        return std::optional<T>();
      },
      [&] {
        Failure = {LogErrorKind::Unavailable,
                   "the call to the log failed for an unknown reason"};
        return std::optional<T>();
      });
}

std::string describe(const LogError &Error) {
  return std::string(platformlog::logErrorName(Error.Kind)) + ": " +
         Error.Detail;
}

PublishOutcome outcomeOf(config::ChangeOutcomeKind Kind) {
  switch (Kind) {
  case config::ChangeOutcomeKind::Accepted:
    return PublishOutcome::Accepted;
  case config::ChangeOutcomeKind::VersionConflict:
    return PublishOutcome::VersionConflict;
  case config::ChangeOutcomeKind::InvalidContent:
    return PublishOutcome::InvalidContent;
  }
  return PublishOutcome::Unknown;
}

/// Whether the outcome has still to be read from the log.
bool awaitsOutcome(const ChangeResult &Result) {
  return !Result.LogOutcome && Result.Outcome != PublishOutcome::NotAppended;
}

std::string rejectionText(const config::ChangeOutcome &Outcome) {
  const std::string OtherOperator = Outcome.CurrentOperator.empty()
                                        ? "another operator"
                                        : Outcome.CurrentOperator;
  return "rejected, " + OtherOperator + " was first with version " +
         std::to_string(Outcome.CurrentVersion.value());
}

std::string outcomeText(const ChangeResult &Result) {
  switch (Result.Outcome) {
  case PublishOutcome::Accepted:
    return "accepted as version " +
           std::to_string(Result.LogOutcome->Offset.value());
  case PublishOutcome::VersionConflict:
    return rejectionText(*Result.LogOutcome);
  case PublishOutcome::InvalidContent:
    return "rejected, the content is not valid";
  case PublishOutcome::Unknown:
    return "unknown, it may take effect now or later";
  case PublishOutcome::NotAppended:
    return "not published";
  }
  return "unknown";
}

} // namespace

std::string ChangeResult::str() const {
  std::string Line = Change.File + ": " + outcomeText(*this);
  if (!LogOutcome && !Detail.empty())
    Line += " (" + Detail + ")";
  return Line;
}

std::chrono::milliseconds Publisher::remaining(base::BootTime Deadline) const {
  return std::max(0ms, std::chrono::duration_cast<std::chrono::milliseconds>(
                           Deadline - Clock.now()));
}

base::Result<void> Publisher::readState() {
  const base::BootTime Deadline = Clock.now() + Settings.Timeout;
  while (true) {
    // Describes `ReadProgress::SnapshotMissing`; replaced if the read fails.
    LogError Failure{LogErrorKind::Unavailable,
                     "the log no longer retains earlier records and contains "
                     "no snapshot that replaces them"};
    const auto Progress =
        attempt<ReadProgress>([&] { return Reader.readPage(0ms); }, Failure);
    if (Progress == ReadProgress::AtEnd)
      return {};
    if (remaining(Deadline) == 0ms) {
      if (Progress == ReadProgress::More)
        Failure.Detail = "the end of the log was not reached in time";
      return platformlog::fail(Failure.Kind, Failure.Detail);
    }
    if (Progress != ReadProgress::More)
      std::this_thread::sleep_for(kRetryDelay);
  }
}

config::ConfigChange Publisher::makeChange(const std::string &File) const {
  config::ConfigChange Change;
  Change.Id = base::makeRandomId<config::PublishId>();
  Change.File = File;
  Change.BaseVersion = state().fileVersion(File);
  Change.Operator = Settings.Operator;
  return Change;
}

bool Publisher::hasConflict(const std::string &File) const {
  return Settings.Since && state().fileVersion(File) > *Settings.Since;
}

void Publisher::planFile(const std::string &File, const std::string &Content,
                         Plan &Planned) const {
  const auto Found = state().files().find(File);
  const bool InForce = Found != state().files().end() && !Found->second.Removed;
  if (InForce && Found->second.Content == Content)
    return;
  if (hasConflict(File)) {
    Planned.Conflicts.push_back(File);
    return;
  }
  Planned.Changes.push_back(makeChange(File));
  Planned.Changes.back().Content = Content;
}

Plan Publisher::plan(const FileMap &Files) const {
  Plan Result;
  Result.Errors = checkFiles(Files);
  if (!Result.Errors.empty())
    return Result;
  for (const auto &[File, Content] : Files)
    planFile(File, Content, Result);
  for (const auto &[File, Stored] : state().files()) {
    if (Stored.Removed || Files.contains(File))
      continue;
    if (!Settings.AllowRemoval) {
      Result.Retained.push_back(File);
    } else if (hasConflict(File)) {
      Result.Conflicts.push_back(File);
    } else {
      Result.Changes.push_back(makeChange(File));
      Result.Changes.back().Removal = true;
    }
  }
  // Service files may name data centres that the fleet file adds.
  std::stable_partition(
      Result.Changes.begin(), Result.Changes.end(),
      [](const auto &Change) { return Change.File == config::kFleetFile; });
  return Result;
}

void Publisher::append(ChangeResult &Result, base::BootTime Deadline) {
  const std::string Record = platformlog::encodeRecord(
      platformlog::RecordKind::ConfigChange, Result.Change);
  while (true) {
    LogError Failure;
    if (attempt<base::LogOffset>([&] { return Log.append(Record); }, Failure))
      return;
    Result.Detail = describe(Failure);
    if (Failure.Kind == LogErrorKind::RecordTooLarge) {
      Result.Outcome = PublishOutcome::NotAppended;
      return;
    }
    // The record may have been appended, so the outcome remains unknown until
    // it is read from the log.
    if (Failure.Kind != LogErrorKind::Unavailable)
      return;
    if (remaining(Deadline) == 0ms) {
      Result.Outcome = PublishOutcome::NotAppended;
      return;
    }
    std::this_thread::sleep_for(std::min(remaining(Deadline), kRetryDelay));
  }
}

void Publisher::awaitOutcomes(std::vector<ChangeResult> &Results,
                              base::BootTime Deadline) {
  while (true) {
    for (ChangeResult &Result : Results) {
      if (!awaitsOutcome(Result))
        continue;
      Result.LogOutcome = state().outcomeFor(Result.Change.Id);
      if (Result.LogOutcome)
        Result.Outcome = outcomeOf(Result.LogOutcome->Kind);
    }
    if (std::none_of(Results.begin(), Results.end(), awaitsOutcome) ||
        remaining(Deadline) == 0ms)
      return;
    LogError Failure;
    const auto Wait = std::min(remaining(Deadline), kLongPollTimeout);
    const auto Progress =
        attempt<ReadProgress>([&] { return Reader.readPage(Wait); }, Failure);
    if (!Progress)
      std::this_thread::sleep_for(std::min(remaining(Deadline), kRetryDelay));
  }
}

std::vector<ChangeResult> Publisher::publish(const Plan &Planned) {
  std::vector<ChangeResult> Results;
  if (!Planned.Errors.empty() || !Planned.Conflicts.empty())
    return Results;
  const base::BootTime Deadline = Clock.now() + Settings.Timeout;
  for (const config::ConfigChange &Change : Planned.Changes) {
    Results.push_back({Change, PublishOutcome::Unknown, std::nullopt, ""});
    append(Results.back(), Deadline);
  }
  awaitOutcomes(Results, Deadline);
  return Results;
}

} // namespace publish
