#include "config/internal/sectionreader.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace config {

namespace {

// toml++ 3.3 limits the nesting of values but not the number of parts in a
// dotted key, and it destroys nested tables recursively, so that a long dotted
// key could overflow the stack.
constexpr std::size_t kMaxDotsPerLine = 32;

template <typename T>
T valueOr(const SectionValues &Section, std::string_view Key, T Default) {
  const auto Found = Section.Values.find(Key);
  if (Found == Section.Values.end())
    return Default;
  const T *Value = std::get_if<T>(&Found->second);
  return Value ? *Value : Default;
}

template <typename T> T parseNumber(std::string_view Text) {
  T Value{};
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

SettingValue defaultValue(const Setting &Row) {
  if (Row.Default.empty())
    return std::monostate();
  switch (Row.Type) {
  case SettingType::Integer:
    return parseNumber<std::int64_t>(Row.Default);
  case SettingType::Number:
    return parseNumber<double>(Row.Default);
  case SettingType::Boolean:
    return Row.Default == "true";
  default:
    return std::string(Row.Default);
  }
}

bool isInRange(const Setting &Row, double Value) {
  return std::isfinite(Value) && Value >= Row.Min && Value <= Row.Max;
}

bool isValidText(const Setting &Row, std::string_view Text) {
  return isInRange(Row, static_cast<double>(Text.size())) &&
         hasFormat(Row.Format, Text);
}

std::optional<SettingValue> parseList(const Setting &Row,
                                      const toml::node &Node) {
  const toml::array *Items = Node.as_array();
  if (!Items || !isInRange(Row, static_cast<double>(Items->size())))
    return std::nullopt;
  std::vector<std::string> Texts;
  for (const toml::node &Item : *Items) {
    const auto *Text = Item.as_string();
    if (!Text || !hasFormat(Row.Format, Text->get()))
      return std::nullopt;
    Texts.push_back(Text->get());
  }
  return Texts;
}

std::optional<SettingValue> parseNumberNode(const Setting &Row,
                                            const toml::node &Node) {
  if (const auto *IntegerNode = Node.as_integer()) {
    if (!isInRange(Row, static_cast<double>(IntegerNode->get())))
      return std::nullopt;
    if (Row.Type == SettingType::Integer)
      return SettingValue(IntegerNode->get());
    return SettingValue(static_cast<double>(IntegerNode->get()));
  }
  const auto *FloatNode = Node.as_floating_point();
  if (!FloatNode || Row.Type == SettingType::Integer ||
      !isInRange(Row, FloatNode->get()))
    return std::nullopt;
  return SettingValue(FloatNode->get());
}

/// The value of the node if its type, range and format are those of the
/// setting; otherwise no value.
std::optional<SettingValue> parseValue(const Setting &Row,
                                       const toml::node &Node) {
  switch (Row.Type) {
  case SettingType::Integer:
  case SettingType::Number:
    return parseNumberNode(Row, Node);
  case SettingType::Boolean:
    if (const auto *Flag = Node.as_boolean())
      return SettingValue(Flag->get());
    return std::nullopt;
  case SettingType::Text:
    if (const auto *Text = Node.as_string();
        Text && isValidText(Row, Text->get()))
      return SettingValue(Text->get());
    return std::nullopt;
  case SettingType::TextList:
    return parseList(Row, Node);
  }
  return std::nullopt;
}

/// Converts the TOML tree of one file into section values and reports errors.
class TreeReader {
public:
  TreeReader(FileKind Kind, const std::string &File,
             std::vector<FileError> &Errors)
      : Kind(Kind), File(File), Errors(Errors) {}

  FileValues read(const toml::table &Root) {
    FileValues Values;
    reportUnknownSections(Root);
    for (const SettingSection &Section : settingSections()) {
      if (Section.File == Kind)
        readSection(Section, Root.get(Section.Name), Values[Section.Name]);
    }
    return Values;
  }

private:
  void report(std::uint32_t Line, std::string Text) {
    Errors.push_back({File, Line, std::move(Text)});
  }

  void reportUnknownSections(const toml::table &Root) {
    for (const auto &Entry : Root) {
      const toml::key &Key = Entry.first;
      const auto Sections = settingSections();
      const bool Known = std::any_of(
          Sections.begin(), Sections.end(), [&](const SettingSection &Section) {
            return Section.File == Kind && Section.Name == Key.str();
          });
      if (!Known)
        report(Key.source().begin.line,
               "unknown section or key \"" + std::string(Key.str()) + "\"");
    }
  }

  void readSection(const SettingSection &Section, const toml::node *Node,
                   std::vector<SectionValues> &Out) {
    const std::string Name(Section.Name);
    if (!Node) {
      if (Section.Required)
        report(0, Section.Repeated ? "at least one [[" + Name + "]] is required"
                                   : "[" + Name + "] is required");
      else if (!Section.Repeated)
        Out.push_back(readTable(Section, toml::table(), 0));
      return;
    }
    if (Section.Repeated) {
      readTableArray(Section, *Node, Out);
    } else if (const toml::table *Table = Node->as_table()) {
      Out.push_back(readTable(Section, *Table, Node->source().begin.line));
    } else {
      report(Node->source().begin.line, "\"" + Name + "\" must be a table");
    }
  }

  void readTableArray(const SettingSection &Section, const toml::node &Node,
                      std::vector<SectionValues> &Out) {
    const std::string Name(Section.Name);
    const toml::array *Tables = Node.as_array();
    if (!Tables || (Section.Required && Tables->empty())) {
      report(Node.source().begin.line, "\"" + Name +
                                           "\" must be a list of tables, "
                                           "written as [[" +
                                           Name + "]]");
      return;
    }
    for (const toml::node &Item : *Tables) {
      if (const toml::table *Table = Item.as_table())
        Out.push_back(readTable(Section, *Table, Item.source().begin.line));
      else
        report(Item.source().begin.line,
               "each entry of \"" + Name + "\" must be a table");
    }
  }

  SectionValues readTable(const SettingSection &Section,
                          const toml::table &Table, std::uint32_t Line) {
    SectionValues Values;
    Values.Line = Line;
    reportUnknownKeys(Section, Table);
    for (const Setting &Row : settingsTable()) {
      if (Row.File == Kind && Row.Section == Section.Name)
        readSetting(Row, Table.get(Row.Key), Values);
    }
    return Values;
  }

  void reportUnknownKeys(const SettingSection &Section,
                         const toml::table &Table) {
    for (const auto &Entry : Table) {
      const toml::key &Key = Entry.first;
      const auto Rows = settingsTable();
      const bool Known =
          std::any_of(Rows.begin(), Rows.end(), [&](const Setting &Row) {
            return Row.File == Kind && Row.Section == Section.Name &&
                   Row.Key == Key.str();
          });
      if (!Known)
        report(Key.source().begin.line, "unknown setting \"" +
                                            std::string(Key.str()) + "\" in " +
                                            std::string(Section.Name));
    }
  }

  void readSetting(const Setting &Row, const toml::node *Node,
                   SectionValues &Values) {
    const std::string Name(Row.Key);
    if (!Node) {
      if (Row.Required)
        report(Values.Line,
               "\"" + Name + "\" is required in " + std::string(Row.Section));
      Values.Values[Row.Key] = defaultValue(Row);
      return;
    }
    Values.Lines[Row.Key] = Node->source().begin.line;
    if (auto Value = parseValue(Row, *Node))
      Values.Values[Row.Key] = std::move(*Value);
    else
      report(Node->source().begin.line,
             "\"" + Name + "\" " + std::string(Row.ErrorText));
  }

  const FileKind Kind;
  const std::string &File;
  std::vector<FileError> &Errors;
};

/// Number of the first line with more than `kMaxDotsPerLine` dots, or 0.
std::uint32_t lineWithTooManyDots(std::string_view Text) {
  std::uint32_t Line = 1;
  std::size_t Dots = 0;
  for (const char Byte : Text) {
    if (Byte == '\n') {
      ++Line;
      Dots = 0;
    } else if (Byte == '.' && ++Dots > kMaxDotsPerLine) {
      return Line;
    }
  }
  return 0;
}

/// Removes the byte order mark and replaces each byte that is not ASCII by `?`.
/// Outside strings, toml++ 3.3 has undefined behaviour for some characters such
/// as U+00E9, so that two builds could disagree on whether a file is valid. No
/// setting may contain such characters; comments may.
std::string toAscii(std::string_view Text) {
  constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
  if (Text.starts_with(ByteOrderMark))
    Text.remove_prefix(ByteOrderMark.size());
  std::string Ascii(Text);
  for (char &Byte : Ascii) {
    if (static_cast<unsigned char>(Byte) >= 0x80)
      Byte = '?';
  }
  return Ascii;
}

} // namespace

bool SectionValues::has(std::string_view Key) const {
  const auto Found = Values.find(Key);
  return Found != Values.end() &&
         !std::holds_alternative<std::monostate>(Found->second);
}

std::int64_t SectionValues::integer(std::string_view Key) const {
  return valueOr<std::int64_t>(*this, Key, 0);
}

double SectionValues::number(std::string_view Key) const {
  return valueOr<double>(*this, Key, 0);
}

bool SectionValues::boolean(std::string_view Key) const {
  return valueOr<bool>(*this, Key, false);
}

std::string SectionValues::text(std::string_view Key) const {
  return valueOr<std::string>(*this, Key, {});
}

std::vector<std::string> SectionValues::list(std::string_view Key) const {
  return valueOr<std::vector<std::string>>(*this, Key, {});
}

std::uint32_t SectionValues::lineOf(std::string_view Key) const {
  const auto Found = Lines.find(Key);
  return Found == Lines.end() ? Line : Found->second;
}

FileValues readSections(FileKind Kind, const std::string &File,
                        std::string_view Text, std::vector<FileError> &Errors) {
  if (Text.size() > kMaxFileBytes) {
    Errors.push_back({File, 0,
                      "the file is larger than " +
                          std::to_string(kMaxFileBytes) + " bytes"});
    return {};
  }
  if (const std::uint32_t Line = lineWithTooManyDots(Text)) {
    Errors.push_back({File, Line, "the line contains too many dots"});
    return {};
  }
  try {
    const toml::table Root = toml::parse(toAscii(Text), File);
    return TreeReader(Kind, File, Errors).read(Root);
  } catch (const toml::parse_error &Error) {
    Errors.push_back({File, Error.source().begin.line,
                      "syntax error: " + std::string(Error.description())});
  }
  return {};
}

} // namespace config
