#include "base/settings.h"

#include <tclap/CmdLine.h>

#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

namespace base {

/// Sets values of `Settings` for `readSettings`.
struct SettingsWriter {
  static void set(Settings &Target, const SettingSpec &Spec,
                  std::string Value) {
    Target.Values[Spec.Name] = std::move(Value);
  }
};

namespace {

constexpr const char *kVersion = "0.1.0";

/// Makes TCLAP throw on errors instead of exiting.
class ThrowingOutput final : public TCLAP::StdOutput {
public:
  void failure(TCLAP::CmdLineInterface &, TCLAP::ArgException &E) override {
    throw E;
  }
};

using TextArgument = TCLAP::ValueArg<std::string>;
using FlagArgument = TCLAP::SwitchArg;

/// The command-line arguments in the order of the table; null for settings of
/// the other type and for those read only from the environment.
struct Arguments {
  std::vector<std::unique_ptr<TextArgument>> Texts;
  std::vector<std::unique_ptr<FlagArgument>> Flags;
};

std::string describe(const SettingSpec &Spec) {
  std::string Text = Spec.Help;
  if (!Spec.Default.empty())
    Text += " (default " + Spec.Default +
            (Spec.Unit.empty() ? "" : " " + Spec.Unit) + ")";
  return Text + " [" + Spec.environmentName() + "]";
}

void addArgument(TCLAP::CmdLine &Line, const SettingSpec &Spec,
                 Arguments &Target) {
  Target.Texts.emplace_back();
  Target.Flags.emplace_back();
  if (Spec.EnvironmentOnly)
    return;
  if (Spec.Type == SettingType::Flag) {
    Target.Flags.back() =
        std::make_unique<FlagArgument>("", Spec.Name, describe(Spec), Line);
    return;
  }
  const std::string Kind =
      Spec.Unit.empty() ? (Spec.Type == SettingType::Text ? "text" : "number")
                        : Spec.Unit;
  Target.Texts.back() = std::make_unique<TextArgument>(
      "", Spec.Name, describe(Spec), false, "", Kind, Line);
}

std::string validateNumber(const SettingSpec &Spec, const std::string &Value) {
  std::int64_t Number = 0;
  const char *End = Value.data() + Value.size();
  const auto [Rest, Code] = std::from_chars(Value.data(), End, Number);
  if (Code != std::errc() || Rest != End)
    return "--" + Spec.Name + ": '" + Value + "' is not a whole number";
  if (Number < Spec.Lowest || Number > Spec.Highest)
    return "--" + Spec.Name + ": " + Value + " is not between " +
           std::to_string(Spec.Lowest) + " and " +
           std::to_string(Spec.Highest) +
           (Spec.Unit.empty() ? "" : " " + Spec.Unit);
  return "";
}

std::string validate(const SettingSpec &Spec, const std::string &Value) {
  if (Value.empty() && Spec.Required)
    return (Spec.EnvironmentOnly ? Spec.environmentName() : "--" + Spec.Name) +
           " is required: " + Spec.Help;
  if (Spec.Type == SettingType::Number)
    return validateNumber(Spec, Value);
  if (Spec.Type == SettingType::Flag && Value != "0" && Value != "1")
    return Spec.environmentName() + ": '" + Value + "' is neither 0 nor 1";
  return "";
}

std::string valueOf(const SettingSpec &Spec, const TextArgument *Text,
                    const FlagArgument *Flag) {
  if (Flag != nullptr && Flag->isSet())
    return "1";
  if (Text != nullptr && Text->isSet())
    return Text->getValue();
  const char *Variable = std::getenv(Spec.environmentName().c_str());
  if (Variable != nullptr)
    return Variable;
  if (Spec.Type == SettingType::Flag && Spec.Default.empty())
    return "0";
  return Spec.Default;
}

} // namespace

std::string SettingSpec::environmentName() const {
  std::string Result = "JACKDAW_";
  for (const char C : Name)
    Result += C == '-' ? '_' : static_cast<char>(std::toupper(C));
  return Result;
}

const std::string &Settings::text(const std::string &Name) const {
  return Values.at(Name);
}

std::int64_t Settings::number(const std::string &Name) const {
  return std::strtoll(Values.at(Name).c_str(), nullptr, 10);
}

bool Settings::flag(const std::string &Name) const {
  return Values.at(Name) == "1";
}

SettingsResult readSettings(const std::vector<SettingSpec> &Table,
                            const std::string &Description,
                            const std::vector<std::string> &CommandLine) {
  SettingsResult Result;
  TCLAP::CmdLine Line(Description, ' ', kVersion);
  ThrowingOutput Output;
  Line.setOutput(&Output);
  Line.setExceptionHandling(false);
  Arguments Parsed;
  for (const SettingSpec &Spec : Table)
    addArgument(Line, Spec, Parsed);
  try {
    std::vector<std::string> Copy = CommandLine;
    Line.parse(Copy);
  } catch (const TCLAP::ExitException &) {
    Result.Exit = true;
    return Result;
  } catch (const TCLAP::ArgException &E) {
    Result.Errors.push_back(E.argId() + ": " + E.error());
    return Result;
  }
  for (std::size_t Index = 0; Index < Table.size(); ++Index) {
    const SettingSpec &Spec = Table[Index];
    std::string Value =
        valueOf(Spec, Parsed.Texts[Index].get(), Parsed.Flags[Index].get());
    if (std::string Problem = validate(Spec, Value); !Problem.empty())
      Result.Errors.push_back(std::move(Problem));
    SettingsWriter::set(Result.Values, Spec, std::move(Value));
  }
  return Result;
}

Settings readSettingsOrExit(const std::vector<SettingSpec> &Table,
                            const std::string &Description, int Count,
                            char **Arguments) {
  const std::vector<std::string> CommandLine(Arguments, Arguments + Count);
  SettingsResult Result = readSettings(Table, Description, CommandLine);
  if (Result.Exit)
    std::exit(0);
  for (const std::string &Problem : Result.Errors)
    std::cerr << "error: " << Problem << "\n";
  if (!Result.Errors.empty())
    std::exit(2);
  return std::move(Result.Values);
}

} // namespace base
