#include "relay/refusalreason.h"

#include <array>
#include <cstddef>

namespace relay {

namespace {

using base::ErrorKind;

/// In the order of `RefusalReason`.
constexpr std::array<RefusalDescription, 9> kDescriptions{{
    {"server_unavailable", ErrorKind::NoUpstream, false},
    {"server_left", ErrorKind::NoUpstream, false},
    {"daemon_stopping", ErrorKind::Draining, false},
    {"too_many_open_calls", ErrorKind::Overloaded, true},
    {"queue_full", ErrorKind::Overloaded, true},
    {"no_slot_in_time", ErrorKind::Overloaded, true},
    {"stated_limit", ErrorKind::Overloaded, false},
    {"deadline_expired", ErrorKind::DeadlineExceeded, true},
    {"no_memory", ErrorKind::Overloaded, false},
}};

} // namespace

const RefusalDescription &describe(RefusalReason Reason) {
  return kDescriptions[static_cast<std::size_t>(Reason)];
}

} // namespace relay
