#include "node/runtime.h"

#include <easylogging++.h>

namespace node {

void Runtime::recordEvent(const std::string &Kind, const std::string &Detail) {
  Events.record(Kind, Detail);
  LOG(INFO) << Kind << ": " << Detail;
}

} // namespace node
