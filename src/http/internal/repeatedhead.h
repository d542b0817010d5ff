#ifndef JACKDAW_HTTP_INTERNAL_REPEATEDHEAD_H
#define JACKDAW_HTTP_INTERNAL_REPEATEDHEAD_H

#include "http/message.h"

#include <cstddef>
#include <string_view>
#include <utility>

namespace http {

/// Searches the body of a response for the head of another response to the same
/// request: a server that sends a part of a response and then starts again with
/// its status line. Such a head has the header by which a response names its
/// request, so the body may contain other texts that look like a response.
class RepeatedHeadSearch {
public:
  enum class Result {
    None,
    /// The body ends within what may be such a head, but the header by which
    /// the response names its request has not been reached.
    EndsWithin,
    /// The body contains a whole head of a response to no request or another
    /// one, as a text may, but not one to the same request.
    OtherHead,
    Found,
  };

  /// `Identity` is the header that names the request, with the value in it.
  explicit RepeatedHeadSearch(Header Identity)
      : Identity(std::move(Identity)) {}

  /// Searches the body as received so far. It must begin with the body of the
  /// call before this one. Over all calls, each byte of a complete line is
  /// looked at a bounded number of times; a line that is incomplete is read
  /// again by the next call.
  Result search(std::string_view Body);

  /// Whether a header names the request.
  bool names(const Header &Line) const;

private:
  enum class LineKind { Malformed, Incomplete, Other, Last, Identity };

  Result searchAt(std::string_view Body);
  /// Continues the search this many bytes behind the head that began at `From`.
  void skip(std::size_t Bytes);
  LineKind classify(std::string_view Text, std::size_t &Length) const;

  const Header Identity;
  bool ContainsOtherHead = false;
  /// No such head begins before this position.
  std::size_t From = 0;
  /// Bytes of the complete lines of the head that may begin there.
  std::size_t HeadBytes = 0;
};

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_REPEATEDHEAD_H
