#include "tools/eventlist.h"

#include "tools/administration.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cstdio>
#include <ctime>
#include <thread>
#include <utility>

namespace tools {

namespace {

constexpr std::size_t kMaxThreads = 16;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

std::optional<base::Event> parseEvent(const nlohmann::json &Json) {
  if (!Json.is_object())
    return std::nullopt;
  const auto Text = [&Json](const char *Name) {
    return Json.contains(Name) && Json[Name].is_string();
  };
  if (!Json.contains("at_us") || !Json["at_us"].is_number_integer() ||
      !Json.contains("sequence") || !Json["sequence"].is_number_unsigned() ||
      !Text("instance") || !Text("kind") || !Text("detail"))
    return std::nullopt;
  base::Event Result;
  Result.At = base::WallTime(
      std::chrono::microseconds(Json["at_us"].get<std::int64_t>()));
  Result.Sequence = Json["sequence"].get<std::uint64_t>();
  Result.Instance = base::InstanceId(Json["instance"].get<std::string>());
  Result.Kind = Json["kind"].get<std::string>();
  Result.Detail = Json["detail"].get<std::string>();
  return Result;
}

std::string replaceControlCharacters(std::string Text) {
  for (char &C : Text)
    if (std::iscntrl(static_cast<unsigned char>(C)) != 0)
      C = ' ';
  return Text;
}

std::string formatUtcTime(base::WallTime At) {
  const std::int64_t Micros = At.time_since_epoch().count();
  std::int64_t Seconds = Micros / kMicrosPerSecond;
  std::int64_t Fraction = Micros % kMicrosPerSecond;
  if (Fraction < 0) {
    Fraction += kMicrosPerSecond;
    --Seconds;
  }
  const std::time_t Whole = Seconds;
  std::tm Parts{};
  if (gmtime_r(&Whole, &Parts) == nullptr)
    return "invalid-time";
  std::array<char, 40> Text{};
  const std::size_t Size =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::array<char, 16> Tail{};
  std::snprintf(Tail.data(), Tail.size(), ".%06dZ", static_cast<int>(Fraction));
  return std::string(Text.data(), Size) + Tail.data();
}

/// Events of one daemon, or the reason why they could not be read.
struct DaemonEvents {
  std::vector<base::Event> Events;
  std::string Error;
};

DaemonEvents readEvents(const base::Endpoint &Daemon) {
  const Page Received = fetchPage(Daemon, "events");
  if (!Received.Body)
    return {{}, Daemon.str() + ": " + Received.Error};
  auto Events = parseEvents(*Received.Body);
  if (!Events)
    return {{}, Daemon.str() + ": the response is not a list of events"};
  return {std::move(*Events), ""};
}

} // namespace

std::optional<std::vector<base::Event>> parseEvents(const std::string &Json) {
  const auto Root = nlohmann::json::parse(Json, nullptr, false);
  if (!Root.is_array())
    return std::nullopt;
  std::vector<base::Event> Events;
  for (const nlohmann::json &Each : Root) {
    auto Event = parseEvent(Each);
    if (!Event)
      return std::nullopt;
    Events.push_back(std::move(*Event));
  }
  return Events;
}

std::string formatEvent(const base::Event &Event) {
  return formatUtcTime(Event.At) + " " +
         replaceControlCharacters(Event.Instance.str()) + " " +
         replaceControlCharacters(Event.Kind) + " " +
         replaceControlCharacters(Event.Detail);
}

CollectedTimeline collectTimeline(const std::vector<base::Endpoint> &Daemons) {
  std::vector<DaemonEvents> Results(Daemons.size());
  std::atomic<std::size_t> Next = 0;
  std::vector<std::thread> Readers;
  for (std::size_t N = std::min(kMaxThreads, Daemons.size()); N > 0; --N)
    Readers.emplace_back([&] {
      for (std::size_t I = Next++; I < Daemons.size(); I = Next++)
        Results[I] = readEvents(Daemons[I]);
    });
  for (std::thread &Reader : Readers)
    Reader.join();
  CollectedTimeline Result;
  std::vector<std::vector<base::Event>> Timelines;
  for (DaemonEvents &Each : Results) {
    if (!Each.Error.empty())
      Result.Errors.push_back(std::move(Each.Error));
    Timelines.push_back(std::move(Each.Events));
  }
  Result.Events = base::mergeTimelines(std::move(Timelines));
  return Result;
}

} // namespace tools
