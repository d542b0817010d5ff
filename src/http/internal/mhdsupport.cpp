#include "http/internal/mhdsupport.h"

namespace http {

MHD_Result queueResponse(MHD_Connection *Connection, const Response &Answer,
                         bool Close) {
  MHD_Response *Queued = MHD_create_response_from_buffer(
      Answer.Body.size(), const_cast<char *>(Answer.Body.data()),
      MHD_RESPMEM_MUST_COPY);
  for (const Header &Each : Answer.Headers)
    if (!isHopByHopHeader(Each.Name))
      MHD_add_response_header(Queued, Each.Name.c_str(), Each.Value.c_str());
  if (Close)
    MHD_add_response_header(Queued, MHD_HTTP_HEADER_CONNECTION, "close");
  const MHD_Result Result =
      MHD_queue_response(Connection, Answer.Status, Queued);
  MHD_destroy_response(Queued);
  return Result;
}

MHD_Result collectHeader(void *Target, MHD_ValueKind, const char *Name,
                         const char *Value) {
  auto &Headers = *static_cast<std::vector<Header> *>(Target);
  Headers.push_back({Name, Value != nullptr ? Value : ""});
  return MHD_YES;
}

} // namespace http
