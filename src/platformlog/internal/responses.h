#ifndef JACKDAW_PLATFORMLOG_INTERNAL_RESPONSES_H
#define JACKDAW_PLATFORMLOG_INTERNAL_RESPONSES_H

#include "platformlog/logclient.h"

#include <optional>
#include <string>

namespace platformlog {

/// Parses the offset in the response to an append. Returns no value if the
/// response is not valid.
std::optional<base::LogOffset> parseAppendResponse(const std::string &Body);

/// Parses the page in the response to a read of up to `MaxRecords` records from
/// offset `From` on. If the response is not valid, returns no value and sets
/// `Reason`.
std::optional<LogPage> parseReadResponse(const std::string &Body,
                                         base::LogOffset From,
                                         std::size_t MaxRecords,
                                         std::string &Reason);

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_INTERNAL_RESPONSES_H
