#ifndef JACKDAW_NODE_RATECONTROL_H
#define JACKDAW_NODE_RATECONTROL_H

#include "base/errors.h"
#include "base/types.h"

#include <optional>

namespace node {

/// Applies the workspaces' fleet-wide limits at the entry. Safe to use from any
/// thread.
class RateControl {
public:
  virtual ~RateControl() = default;

  /// Takes one permit, waiting for its owner if need be. Nothing if the
  /// request may go on, else why not.
  virtual std::optional<base::ErrorKind>
  take(const base::ServiceName &Service,
       const base::WorkspaceName &Workspace) = 0;
};

} // namespace node

#endif // JACKDAW_NODE_RATECONTROL_H
