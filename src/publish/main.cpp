#include "base/clock.h"
#include "platformlog/httplogclient.h"
#include "publish/options.h"
#include "publish/publisher.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace publish;

ExitStatus printDigest() {
  std::string Key;
  std::getline(std::cin, Key);
  if (Key.ends_with('\r'))
    Key.pop_back();
  if (Key.empty()) {
    std::cerr << "jackdaw-publish: standard input contains no key\n";
    return ExitStatus::Usage;
  }
  std::cout << config::digestKey(Key).str() << "\n";
  return ExitStatus::Done;
}

void printErrors(const std::vector<config::FileError> &Errors) {
  for (const config::FileError &Error : Errors)
    std::cerr << Error.str() << "\n";
}

void printPlan(const Plan &Planned, const config::ConfigState &State) {
  for (const config::ConfigChange &Change : Planned.Changes) {
    const auto Found = State.files().find(Change.File);
    const bool New = Found == State.files().end() || Found->second.Removed;
    std::cout << (Change.Removal ? "remove "
                  : New          ? "add "
                                 : "replace ")
              << Change.File << " (version " << Change.BaseVersion.value()
              << ")\n"
              << lineDifference(New ? "" : Found->second.Content,
                                Change.Content);
  }
  for (const std::string &File : Planned.Retained)
    std::cout << "keep " << File
              << ", which is not in the directory (see --allow-removal)\n";
  for (const std::string &File : Planned.Conflicts)
    std::cerr << File << ": version " << State.fileVersion(File).value()
              << " of " << State.files().at(File).Operator
              << " is newer than --since\n";
}

ExitStatus exitStatusFor(PublishOutcome Outcome) {
  switch (Outcome) {
  case PublishOutcome::Accepted:
    return ExitStatus::Done;
  case PublishOutcome::VersionConflict:
    return ExitStatus::Rejected;
  case PublishOutcome::InvalidContent:
    return ExitStatus::InvalidFiles;
  case PublishOutcome::NotAppended:
    return ExitStatus::LogUnavailable;
  case PublishOutcome::Unknown:
    return ExitStatus::Unknown;
  }
  return ExitStatus::Unknown;
}

/// Reads the current configuration; on failure prints the error and returns
/// false.
bool readState(Publisher &Target) {
  return boost::leaf::try_handle_all(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(Target.readState());
        return true;
      },
      [](const platformlog::LogError &Error) {
        std::cerr << "jackdaw-publish: the current configuration can't be "
                     "read, nothing was published: "
                  << platformlog::logErrorName(Error.Kind) << ": "
                  << Error.Detail << "\n";
        return false;
      },
      [] { return false; });
}

ExitStatus publishFiles(const Options &CommandLine, const FileMap &Files) {
  platformlog::HttpLogClient Log({.Url = CommandLine.LogUrl});
  const base::SystemClock Clock;
  Publisher Target(Log, Clock,
                   {.Timeout = CommandLine.Timeout,
                    .AllowRemoval = CommandLine.AllowRemoval,
                    .Operator = CommandLine.Operator,
                    .Since = CommandLine.Since});
  if (!readState(Target))
    return ExitStatus::LogUnavailable;
  const Plan Planned = Target.plan(Files);
  printPlan(Planned, Target.state());
  if (!Planned.Conflicts.empty())
    return ExitStatus::Rejected;
  ExitStatus Status = ExitStatus::Done;
  for (const ChangeResult &Result : Target.publish(Planned)) {
    std::cout << Result.str() << "\n";
    Status = std::max(Status, exitStatusFor(Result.Outcome));
  }
  std::cout << "configuration version " << Target.state().version().value()
            << "\n";
  return Status;
}

ExitStatus run(const Options &CommandLine) {
  if (CommandLine.Digest)
    return printDigest();
  DirectoryFiles Directory = readDirectory(CommandLine.Directory);
  const auto FileErrors = checkFiles(Directory.Files);
  Directory.Errors.insert(Directory.Errors.end(), FileErrors.begin(),
                          FileErrors.end());
  if (!Directory.Errors.empty()) {
    printErrors(Directory.Errors);
    return ExitStatus::InvalidFiles;
  }
  if (CommandLine.Check) {
    std::cout << Directory.Files.size() << " files are valid\n";
    return ExitStatus::Done;
  }
  return publishFiles(CommandLine, Directory.Files);
}

} // namespace

int main(int Count, char **Arguments) {
  const auto CommandLine = parseOptions(Count, Arguments);
  return static_cast<int>(CommandLine ? run(*CommandLine) : ExitStatus::Usage);
}
