#ifndef JACKDAW_PLATFORMLOG_INTERNAL_RESPONSES_H
#define JACKDAW_PLATFORMLOG_INTERNAL_RESPONSES_H

#include "platformlog/logclient.h"

#include <optional>
#include <string>

namespace platformlog {

/// The offset in the response to an append; nothing if it is no such response.
std::optional<base::LogOffset> parseAppendResponse(const std::string &Body);

/// The page in the response to a read of up to `MaxRecords` records from `From`
/// on. If the response is not valid, returns nothing and says why in `Reason`.
std::optional<ReadResult> parseReadResponse(const std::string &Body,
                                            base::LogOffset From,
                                            std::size_t MaxRecords,
                                            std::string &Reason);

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_INTERNAL_RESPONSES_H
