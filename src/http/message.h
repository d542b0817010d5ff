#ifndef JACKDAW_HTTP_MESSAGE_H
#define JACKDAW_HTTP_MESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace http {

struct Header {
  std::string Name;
  std::string Value;

  template <class Archive> void serialize(Archive &Ar) { Ar(Name, Value); }
};

/// An HTTP request. `Path` and `Query` are as received, still percent-encoded;
/// `Query` is without the question mark.
struct Request {
  std::string Method;
  std::string Path;
  std::string Query;
  std::vector<Header> Headers;
  std::string Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Method, Path, Query, Headers, Body);
  }
};

struct Response {
  std::uint16_t Status = 200;
  std::vector<Header> Headers;
  std::string Body;
  /// Whether the server closes the connection after this response; a matter of
  /// one hop, so it isn't serialized.
  bool CloseConnection = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Status, Headers, Body);
  }
};

/// Whether two header names are equal, ignoring case.
bool sameHeaderName(std::string_view First, std::string_view Second);

/// Value of the first header of that name; nothing if there is none.
std::optional<std::string> findHeader(const std::vector<Header> &Headers,
                                      std::string_view Name);

/// Whether the header belongs to one connection and must not be forwarded
/// (RFC 9110 section 7.6.1), or is set anew by each hop.
bool isHopByHopHeader(std::string_view Name);

/// Sets the path and the query from a request target.
void splitTarget(const std::string &Target, Request &Received);

/// Whether `List`, the comma-separated value of a header, names `Name`,
/// ignoring case.
bool listNames(std::string_view List, std::string_view Name);

/// Decodes percent-encoding; nothing if an escape is malformed or decodes to a
/// zero byte.
std::optional<std::string> percentDecode(std::string_view Text);

} // namespace http

#endif // JACKDAW_HTTP_MESSAGE_H
