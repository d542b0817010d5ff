#ifndef JACKDAW_HTTP_INTERNAL_MHDSUPPORT_H
#define JACKDAW_HTTP_INTERNAL_MHDSUPPORT_H

#include "http/message.h"

#include <microhttpd.h>

namespace http {

/// Queues the response with its headers; hop-by-hop headers are left out. With
/// `Close` the connection ends after it.
MHD_Result queueResponse(MHD_Connection *Connection, const Response &Answer,
                         bool Close);

/// Callback that adds each header to the vector at `Target`.
MHD_Result collectHeader(void *Target, MHD_ValueKind Kind, const char *Name,
                         const char *Value);

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_MHDSUPPORT_H
