#include "publish/options.h"

#include <tclap/CmdLine.h>

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace publish {

namespace {

constexpr const char *kHelp =
    "Validates all configuration files of a directory, shows the differences "
    "from the current configuration and appends the changes to the platform "
    "log.\n\n"
    "Exit status: 0 all changes were accepted, or there were none; 1 a file is "
    "invalid, nothing was published; 2 wrong usage; 3 another operator "
    "published a newer version of at least one file; 4 the log can't be "
    "reached, and at least one change was certainly not published; 5 the "
    "outcome of at least one change is unknown.\n\n"
    "JACKDAW_FILES, JACKDAW_LOG, JACKDAW_OPERATOR and JACKDAW_TIMEOUT are used "
    "if the flags of those names are absent.";

constexpr std::uint64_t kMaxTimeoutSeconds = 3600;

/// The value of the flag if it is set, else that of the environment variable,
/// else the default of the flag.
std::string valueOf(const TCLAP::ValueArg<std::string> &Flag,
                    const char *Variable) {
  if (Flag.isSet())
    return Flag.getValue();
  const char *Value = std::getenv(Variable);
  return Value ? Value : Flag.getValue();
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

/// Prints an error and returns false.
bool reportError(const std::string &Text) {
  std::cerr << "jackdaw-publish: " << Text << "\n";
  return false;
}

/// Parses and sets the numeric options. Returns false if one is invalid.
bool setNumericOptions(Options &Result, const std::string &Timeout,
                       const std::string &Since) {
  const auto Seconds = parseNumber(Timeout);
  if (!Seconds || *Seconds == 0 || *Seconds > kMaxTimeoutSeconds)
    return reportError("--timeout must be a number of seconds from 1 to 3600");
  Result.Timeout = std::chrono::seconds(*Seconds);
  if (Since.empty())
    return true;
  const auto Version = parseNumber(Since);
  if (!Version)
    return reportError("--since must be a version number");
  Result.Since = base::LogOffset(*Version);
  return true;
}

bool hasRequiredFlags(const Options &Result) {
  if (Result.Digest)
    return true;
  if (Result.Directory.empty())
    return reportError("--files or JACKDAW_FILES is required");
  if (Result.LogUrl.empty() && !Result.Check)
    return reportError("--log or JACKDAW_LOG is required");
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
        "", "timeout", "timeout of reading the state, and again of publishing",
        false, "30", "SECONDS", Line);
    TCLAP::ValueArg<std::string> Since(
        "", "since",
        "publish nothing if a differing file was changed after this version",
        false, "", "VERSION", Line);
    TCLAP::SwitchArg Check("", "check", "only validate the files", Line);
    TCLAP::SwitchArg AllowRemoval("", "allow-removal",
                                  "remove files that are not in the directory",
                                  Line);
    TCLAP::SwitchArg Digest(
        "", "digest", "print the digest of the key on standard input", Line);
    Line.setExceptionHandling(false);
    Line.parse(Count, Arguments);
    Result.Directory = valueOf(Files, "JACKDAW_FILES");
    Result.LogUrl = valueOf(Log, "JACKDAW_LOG");
    Result.Operator = valueOf(Operator, "JACKDAW_OPERATOR");
    Result.Check = Check.getValue();
    Result.AllowRemoval = AllowRemoval.getValue();
    Result.Digest = Digest.getValue();
    if (!setNumericOptions(Result, valueOf(Timeout, "JACKDAW_TIMEOUT"),
                           Since.getValue()))
      return std::nullopt;
  } catch (const TCLAP::ArgException &Error) {
    reportError(Error.error() + " " + Error.argId());
    return std::nullopt;
  } catch (const TCLAP::ExitException &Exit) {
    std::exit(Exit.getExitStatus());
  }
  if (!hasRequiredFlags(Result))
    return std::nullopt;
  return Result;
}

} // namespace publish
