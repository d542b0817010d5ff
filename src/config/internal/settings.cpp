#include "config/settings.h"

#include <array>
#include <sstream>

namespace config {

namespace {

using enum SettingType;
using enum SettingFormat;
using enum FileKind;

constexpr bool kRequired = true;
constexpr bool kOptional = false;

// Columns: file, section, repeated, required.
constexpr std::array kSections{
    SettingSection{Service, "backend", false, true},
    SettingSection{Service, "workspace", true, false},
    SettingSection{Service, "route", true, true},
    SettingSection{Fleet, "fleet", false, false},
    SettingSection{Fleet, "data_centre", true, true},
};

// Columns: file, section, key, type, unit, required, default, minimum, maximum,
// format, error text, purpose.
constexpr std::array kSettings{
    Setting{Service, "backend", "slots", Integer, "requests", kRequired, "", 1,
            100000, None, "must be a whole number from 1 to 100000",
            "Requests that a backend server runs at the same time."},
    Setting{Service, "backend", "connections", Integer, "connections",
            kRequired, "", 1, 1000000, None,
            "must be a whole number from 1 to 1000000",
            "Connections that a backend server accepts."},
    Setting{Service, "backend", "queue_ms", Integer, "ms", kOptional, "100", 0,
            60000, None, "must be a whole number of milliseconds up to 60000",
            "Longest wait in the queue before a request is refused."},
    Setting{Service, "backend", "cold_start_ramp_s", Integer, "s", kOptional,
            "30", 0, 3600, None, "must be a whole number of seconds up to 3600",
            "Time over which a newly started backend server's share ramps up."},
    Setting{Service, "backend", "body_limit_bytes", Integer, "bytes", kOptional,
            "1048576", 0, 67108864, None,
            "must be a whole number of bytes up to 67108864",
            "Largest request body."},

    Setting{Service, "workspace", "name", Text, "", kRequired, "", 1, 64, Name,
            "must be a name of 1 to 64 letters, digits, '-', '_' or '.'",
            "Name of the workspace."},
    Setting{Service, "workspace", "key_digests", TextList, "", kRequired, "", 0,
            64, Digest,
            "must be a list of up to 64 BLAKE2b-256 digests, each of 64 "
            "lower-case hexadecimal digits",
            "Digests of the workspace's keys (jackdaw-publish --digest). An "
            "empty list denies the workspace access."},
    Setting{Service, "workspace", "rate", Number, "requests/s", kRequired, "",
            0.001, 10000000, None, "must be a number from 0.001 to 10000000",
            "Sustained rate over the whole fleet."},
    Setting{Service, "workspace", "burst", Number, "requests", kRequired, "", 1,
            10000000, None, "must be a number from 1 to 10000000",
            "Requests that may arrive at once over the whole fleet."},
    Setting{Service, "workspace", "isolated", Text, "", kOptional, "serve", 1,
            16, Isolated, "must be \"serve\" or \"refuse\"",
            "Behaviour of a data centre that can't receive key revocations."},
    Setting{Service, "workspace", "record_data_centre", Text, "", kOptional, "",
            0, 64, Name, "must be the name of a data centre of fleet.toml",
            "Data centre that stores idempotency records; by hash if absent."},

    Setting{Service, "route", "prefix", Text, "", kRequired, "", 1, 1024,
            PathPrefix,
            "must be an absolute ASCII path without escapes, dot segments or a "
            "trailing slash",
            "Path prefix in whole segments; the longest match applies."},
    Setting{Service, "route", "methods", TextList, "", kOptional, "", 1, 16,
            Method, "must be a list of 1 to 16 methods in upper-case letters",
            "Methods that the route applies to; all if absent."},
    Setting{Service, "route", "priority", Text, "", kOptional, "normal", 1, 16,
            Priority, "must be \"critical\", \"normal\" or \"background\"",
            "Priority class; requests of lower classes are refused first."},
    Setting{Service, "route", "non_idempotent", Boolean, "", kOptional, "false",
            0, 0, None, "must be true or false",
            "The request must run at most once."},
    Setting{Service, "route", "open_to_all", Boolean, "", kOptional, "false", 0,
            0, None, "must be true or false", "Requests need no key."},
    Setting{Service, "route", "deadline_ms", Integer, "ms", kOptional, "1000",
            1, 600000, None,
            "must be a whole number of milliseconds from 1 to 600000",
            "Time from entry within which the whole request must complete."},
    Setting{Service, "route", "response_timeout_ms", Integer, "ms", kOptional,
            "", 1, 600000, None,
            "must be a whole number of milliseconds from 1 to 600000",
            "Longest wait for one attempt; deadline_ms if absent."},

    Setting{Fleet, "fleet", "slices_per_data_centre", Integer, "slices",
            kOptional, "1", 1, 32, None, "must be a whole number from 1 to 32",
            "Limit slices of each workspace per data centre."},
    Setting{Fleet, "fleet", "retry_allowance", Integer, "retries", kOptional,
            "3", 0, 20, None, "must be a whole number from 0 to 20",
            "Retries allowed for a request at all hops together."},
    Setting{Fleet, "fleet", "region_bytes_per_second", Integer, "bytes/s",
            kOptional, "50000000", 0, 100000000000, None,
            "must be a whole number of bytes per second up to 100000000000",
            "Bytes that the fleet may send one way between two regions."},

    Setting{Fleet, "data_centre", "name", Text, "", kRequired, "", 1, 64, Name,
            "must be a name of 1 to 64 letters, digits, '-', '_' or '.'",
            "Name of the data centre."},
    Setting{Fleet, "data_centre", "region", Text, "", kRequired, "", 1, 64,
            Name, "must be a name of 1 to 64 letters, digits, '-', '_' or '.'",
            "Region of the data centre."},
};

std::string_view typeName(SettingType Type) {
  switch (Type) {
  case Integer:
    return "integer";
  case Number:
    return "number";
  case Boolean:
    return "boolean";
  case Text:
    return "text";
  case TextList:
    return "list of texts";
  }
  return "";
}

void appendRow(std::ostringstream &Page, const Setting &Row) {
  Page << "| " << (Row.File == Fleet ? "fleet.toml" : "service") << " | "
       << Row.Section << " | `" << Row.Key << "` | " << typeName(Row.Type)
       << " | " << Row.Unit << " | "
       << (Row.Required ? "(required)" : Row.Default) << " | ";
  if (Row.Type == Integer || Row.Type == Number)
    Page << Row.Min << " to " << Row.Max;
  Page << " | " << Row.Purpose << " |\n";
}

} // namespace

std::span<const Setting> settingsTable() { return kSettings; }

std::span<const SettingSection> settingSections() { return kSections; }

std::string settingsDocument() {
  std::ostringstream Page;
  Page.precision(12);
  Page << "| File | Section | Key | Type | Unit | Default | Range | Purpose |\n"
       << "|---|---|---|---|---|---|---|---|\n";
  for (const Setting &Row : kSettings)
    appendRow(Page, Row);
  return Page.str();
}

} // namespace config
