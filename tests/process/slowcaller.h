#ifndef JACKDAW_TESTS_PROCESS_SLOWCALLER_H
#define JACKDAW_TESTS_PROCESS_SLOWCALLER_H

#include <cstddef>
#include <string>

namespace process {

/// Sends a request at once and reads the response only when told to. Its
/// receive buffer is small, so that a large response is not sent before that.
class SlowCaller {
public:
  /// `Head` is the request line and the headers without the length, each with
  /// its line end. Throws `std::runtime_error` if the request can't be sent.
  SlowCaller(const std::string &Url, const std::string &Head,
             std::size_t BodyBytes);
  SlowCaller(const SlowCaller &) = delete;
  ~SlowCaller();

  /// Waits for the first byte of the response.
  bool waitForResponse() const;

  /// Reads until the daemon closes the connection, and returns what it read.
  std::string readToEnd() const;

private:
  const int Socket;
};

} // namespace process

#endif // JACKDAW_TESTS_PROCESS_SLOWCALLER_H
