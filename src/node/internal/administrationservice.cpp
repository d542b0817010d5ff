#include "node/administrationservice.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace node {

namespace {

http::Response plainText(std::string Body) {
  return {200, {{"Content-Type", "text/plain"}}, std::move(Body)};
}

} // namespace

AdministrationService::AdministrationService(Runtime &Shared, FleetState &Fleet,
                                             ControlPlane &Control,
                                             ServingService &Serving,
                                             CallClient &Calls,
                                             EntryService &Entry)
    : Shared(Shared), Fleet(Fleet), Control(Control), Serving(Serving),
      Calls(Calls), Entry(Entry) {}

http::Response AdministrationService::handle(http::Request Received,
                                             const http::CallerConnection &) {
  if (Received.Method != "GET")
    return {405, {{"Allow", "GET"}}, "the administration API is read-only\n"};
  if (Received.Path == "/status")
    return plainText(status());
  if (Received.Path == "/members")
    return plainText(members());
  if (Received.Path == "/shards")
    return plainText(Control.ownershipStatus());
  if (Received.Path == "/configuration")
    return plainText(configuration());
  if (Received.Path == "/refusals")
    return plainText(Entry.refusals().text());
  if (Received.Path == "/metrics")
    return plainText(Shared.Metrics.exposition());
  if (Received.Path == "/events")
    return {
        200, {{"Content-Type", "application/json"}}, events(Received.Query)};
  return {404, {}, "no such page\n"};
}

std::string AdministrationService::status() const {
  return "instance " + Shared.Self.Instance.str() + "\nincarnation " +
         std::to_string(Shared.Self.Incarnation.value()) + "\ndata_centre " +
         Shared.DataCentre.str() + "\nlog_offset " +
         std::to_string(Fleet.appliedOffset().value()) + "\nconfiguration " +
         std::to_string(Fleet.configuration()->version().value()) +
         "\ncalls_open " + std::to_string(Calls.openCalls()) + "\n" +
         Serving.status();
}

std::string AdministrationService::members() const {
  std::string Text;
  for (const ControlPlane::MemberView &Each : Control.members()) {
    const membership::Member &Record = Each.Record;
    Text += Record.Instance.str() + " " + Record.Peer.str() + " " +
            Record.DataCentre.str() + " service " +
            (Record.Service.empty() ? "none" : Record.Service.str()) + " " +
            std::string(membership::memberStateName(Record.State)) +
            (Each.Usable ? " usable" : " unusable") + "\n";
  }
  return Text;
}

std::string AdministrationService::configuration() const {
  const auto Config = Fleet.configuration();
  std::string Text =
      "version " + std::to_string(Config->version().value()) + "\n";
  for (const auto &[Name, Service] : Config->services()) {
    Text += "service " + Name.str() + "\n";
    for (const config::WorkspaceConfig &Each : Service->config().Workspaces)
      Text += "  workspace " + Each.Name.str() + " rate " +
              std::to_string(Each.Rate) + " burst " +
              std::to_string(Each.Burst) + " keys " +
              std::to_string(Each.KeyDigests.size()) + "\n";
  }
  return Text;
}

std::string AdministrationService::events(const std::string &Query) const {
  std::uint64_t After = 0;
  if (Query.starts_with("after="))
    After = std::strtoull(Query.c_str() + 6, nullptr, 10);
  nlohmann::json List = nlohmann::json::array();
  for (const base::Event &Each : Shared.Events.eventsAfter(After))
    List.push_back({{"at_us", Each.At.time_since_epoch().count()},
                    {"sequence", Each.Sequence},
                    {"instance", Each.Instance.str()},
                    {"kind", Each.Kind},
                    {"detail", Each.Detail}});
  return List.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace node
