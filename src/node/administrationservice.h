#ifndef JACKDAW_NODE_ADMINISTRATIONSERVICE_H
#define JACKDAW_NODE_ADMINISTRATIONSERVICE_H

#include "http/server.h"
#include "node/controlplane.h"
#include "node/entryservice.h"
#include "node/fleetstate.h"
#include "node/runtime.h"
#include "node/servingservice.h"

namespace node {

/// HTTP handler of the read-only administration API: `/status`, `/members`,
/// `/shards`, `/configuration`, `/refusals`, `/events?after=N`, `/metrics`.
class AdministrationService final : public http::Handler {
public:
  AdministrationService(Runtime &Shared, FleetState &Fleet,
                        ControlPlane &Control, ServingService &Serving,
                        CallClient &Calls, EntryService &Entry);

  http::Response handle(http::Request Received,
                        const http::CallerConnection &Connection) override;
  http::Response bodyTooLarge() const override { return {413, {}, ""}; }

private:
  std::string status() const;
  std::string members() const;
  std::string configuration() const;
  std::string events(const std::string &Query) const;

  Runtime &Shared;
  FleetState &Fleet;
  ControlPlane &Control;
  ServingService &Serving;
  CallClient &Calls;
  EntryService &Entry;
};

} // namespace node

#endif // JACKDAW_NODE_ADMINISTRATIONSERVICE_H
