#include "publish/options.h"

#include <tclap/CmdLine.h>

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace publish {

namespace {

constexpr const char *kHelp =
    "Checks all service files of a directory, shows the difference from the "
    "configuration in force and appends it to the platform log.\n\n"
    "Exit status: 0 all changes are in force, or there were none; 1 a file is "
    "faulty, nothing was published; 2 wrong usage; 3 another operator was "
    "first with at least one file; 4 the log can't be reached, and at least "
    "one change was certainly not published; 5 the outcome of at least one "
    "change is unknown.\n\n"
    "JACKDAW_FILES, JACKDAW_LOG, JACKDAW_OPERATOR and JACKDAW_TIMEOUT stand "
    "in for the flags of those names.";

constexpr std::uint64_t kMaxTimeoutSeconds = 3600;

/// The flag's value, else the environment variable's, else the default.
std::string textOf(const TCLAP::ValueArg<std::string> &Flag,
                   const char *Variable) {
  if (Flag.isSet())
    return Flag.getValue();
  const char *Value = std::getenv(Variable);
  return Value ? Value : Flag.getValue();
}

std::optional<std::uint64_t> numberFrom(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

bool complain(const std::string &Text) {
  std::cerr << "jackdaw-publish: " << Text << "\n";
  return false;
}

bool setNumbers(Options &Result, const std::string &Timeout,
                const std::string &Since) {
  const auto Seconds = numberFrom(Timeout);
  if (!Seconds || *Seconds == 0 || *Seconds > kMaxTimeoutSeconds)
    return complain("--timeout must be a number of seconds from 1 to 3600");
  Result.Timeout = std::chrono::seconds(*Seconds);
  if (Since.empty())
    return true;
  const auto Version = numberFrom(Since);
  if (!Version)
    return complain("--since must be a version number");
  Result.Since = base::LogOffset(*Version);
  return true;
}

bool hasNeededFlags(const Options &Result) {
  if (Result.Digest)
    return true;
  if (Result.Files.empty())
    return complain("--files or JACKDAW_FILES is required");
  if (Result.Log.empty() && !Result.Check)
    return complain("--log or JACKDAW_LOG is required");
  return true;
}

} // namespace

std::optional<Options> parseOptions(int Count, char **Arguments) {
  Options Result;
  try {
    TCLAP::CmdLine Line(kHelp, ' ', "0.1.0");
    TCLAP::ValueArg<std::string> Files(
        "", "files", "directory of the *.toml files", false, "", "DIR", Line);
    TCLAP::ValueArg<std::string> Log("", "log", "address of the platform log",
                                     false, "", "URL", Line);
    TCLAP::ValueArg<std::string> Operator(
        "", "operator", "name that the log shows as the origin of the changes",
        false, "", "NAME", Line);
    TCLAP::ValueArg<std::string> Timeout(
        "", "timeout", "limit of reading the state, and again of publishing",
        false, "30", "SECONDS", Line);
    TCLAP::ValueArg<std::string> Since(
        "", "since",
        "publish nothing if a differing file was changed after this version",
        false, "", "VERSION", Line);
    TCLAP::SwitchArg Check("", "check", "only check the files", Line);
    TCLAP::SwitchArg AllowRemoval(
        "", "allow-removal", "remove files that the directory lacks", Line);
    TCLAP::SwitchArg Digest(
        "", "digest", "print the digest of the key on standard input", Line);
    Line.setExceptionHandling(false);
    Line.parse(Count, Arguments);
    Result.Files = textOf(Files, "JACKDAW_FILES");
    Result.Log = textOf(Log, "JACKDAW_LOG");
    Result.Operator = textOf(Operator, "JACKDAW_OPERATOR");
    Result.Check = Check.getValue();
    Result.AllowRemoval = AllowRemoval.getValue();
    Result.Digest = Digest.getValue();
    if (!setNumbers(Result, textOf(Timeout, "JACKDAW_TIMEOUT"),
                    Since.getValue()))
      return std::nullopt;
  } catch (const TCLAP::ArgException &Error) {
    complain(Error.error() + " " + Error.argId());
    return std::nullopt;
  } catch (const TCLAP::ExitException &Exit) {
    std::exit(Exit.getExitStatus());
  }
  if (!hasNeededFlags(Result))
    return std::nullopt;
  return Result;
}

} // namespace publish
