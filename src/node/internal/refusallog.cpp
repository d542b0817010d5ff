#include "node/refusallog.h"

namespace node {

void RefusalLog::record(const base::ServiceName &Service,
                        const base::WorkspaceName &Workspace,
                        base::ErrorKind Kind, base::Outcome Outcome) {
  std::lock_guard Lock(Mutex);
  Refusals.push_front({Clock.wallNow(), Service, Workspace, Kind, Outcome});
  if (Refusals.size() > kCapacity)
    Refusals.pop_back();
}

std::string RefusalLog::text() const {
  std::lock_guard Lock(Mutex);
  std::string Text;
  for (const Refusal &Each : Refusals)
    Text += std::to_string(Each.At.time_since_epoch().count()) + " service " +
            (Each.Service.empty() ? "none" : Each.Service.str()) +
            " workspace " +
            (Each.Workspace.empty() ? "none" : Each.Workspace.str()) + " " +
            std::string(base::errorResponseFor(Each.Kind).Name) + " " +
            std::string(base::outcomeName(Each.Outcome)) + "\n";
  return Text;
}

} // namespace node
