#include "platformlog/internal/responses.h"

#include "base/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace platformlog {

namespace {

using nlohmann::json;

// JSON values per record: start and end of the object, two keys and two values.
constexpr std::size_t kValuesPerRecord = 6;
// JSON values outside the records, with room for fields that are ignored.
constexpr std::size_t kMaxOtherValues = 50;

/// Thrown by the parser callback when a text contains too many values.
struct TooManyValues {};

/// Parses a text of at most `MaxValues` keys, values, starts and ends of
/// objects and arrays. Returns null for a longer text and a discarded value for
/// an invalid one. The limit keeps the size of the tree in proportion to that
/// of a valid response, because the nodes of a short text take many times its
/// bytes.
json parseBounded(const std::string &Body, std::size_t MaxValues) {
  std::size_t Values = 0;
  try {
    return json::parse(
        Body,
        [&](int, json::parse_event_t, json &) {
          if (++Values > MaxValues)
            throw TooManyValues();
          return true;
        },
        false);
  } catch (const TooManyValues &) {
    return nullptr;
  }
}

std::optional<base::LogOffset> parseOffset(const json &Object,
                                           const char *Key) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return base::LogOffset(Found->get<std::uint64_t>());
}

std::optional<std::string> parseData(const json &Object) {
  const auto Found = Object.find("data");
  if (Found == Object.end() || !Found->is_string())
    return std::nullopt;
  return base::fromBase64(Found->get_ref<const std::string &>());
}

std::optional<LogRecord> parseRecord(const json &Item, std::string &Reason) {
  if (!Item.is_object()) {
    Reason = "a record is not an object";
    return std::nullopt;
  }
  const auto Offset = parseOffset(Item, "offset");
  auto Bytes = parseData(Item);
  if (!Offset || !Bytes) {
    Reason = "a record lacks a valid offset or data";
    return std::nullopt;
  }
  return LogRecord{*Offset, std::move(*Bytes)};
}

bool parseRecords(const json &Items, base::LogOffset From, LogPage &Page,
                  std::string &Reason) {
  std::uint64_t ExpectedOffset = std::max(From.value(), Page.First.value());
  for (const json &Item : Items) {
    auto Record = parseRecord(Item, Reason);
    if (!Record)
      return false;
    if (Record->Offset.value() != ExpectedOffset || Record->Offset > Page.End) {
      Reason = "record offsets are out of order or out of range";
      return false;
    }
    ++ExpectedOffset;
    Page.Records.push_back(std::move(*Record));
  }
  return true;
}

} // namespace

std::optional<base::LogOffset> parseAppendResponse(const std::string &Body) {
  const json Root = parseBounded(Body, kMaxOtherValues);
  if (!Root.is_object())
    return std::nullopt;
  const auto Offset = parseOffset(Root, "offset");
  if (!Offset || Offset->value() == 0)
    return std::nullopt;
  return Offset;
}

std::optional<LogPage> parseReadResponse(const std::string &Body,
                                         base::LogOffset From,
                                         std::size_t MaxRecords,
                                         std::string &Reason) {
  const json Root =
      parseBounded(Body, MaxRecords * kValuesPerRecord + kMaxOtherValues);
  if (!Root.is_object()) {
    Reason = "the body is not a JSON object or contains too many values";
    return std::nullopt;
  }
  const auto First = parseOffset(Root, "first");
  const auto End = parseOffset(Root, "end");
  const auto Items = Root.find("records");
  if (!First || !End || Items == Root.end() || !Items->is_array()) {
    Reason =
        "\"first\", \"end\" or \"records\" is missing or has the wrong type";
    return std::nullopt;
  }
  LogPage Page{{}, *First, *End};
  if (First->value() == 0 || First->value() > End->value() + 1) {
    Reason = "the first offset is 0 or lies after the end";
    return std::nullopt;
  }
  if (Items->size() > MaxRecords) {
    Reason = "there are more records than requested";
    return std::nullopt;
  }
  if (!parseRecords(*Items, From, Page, Reason))
    return std::nullopt;
  return Page;
}

} // namespace platformlog
