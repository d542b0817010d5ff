#ifndef JACKDAW_HTTP_FUNCTIONHANDLER_H
#define JACKDAW_HTTP_FUNCTIONHANDLER_H

#include "http/asyncserver.h"

#include <functional>
#include <utility>

namespace http {

/// Responds to each request immediately with the result of a function.
class FunctionHandler final : public AsyncHandler {
public:
  using Function = std::function<Response(const Request &)>;

  explicit FunctionHandler(Function Callback) : Callback(std::move(Callback)) {}

  void onRequest(AsyncServer &Server, ExchangeId Id,
                 Request Received) override {
    Server.respond(Id, Callback(Received));
  }
  void onCallerDisconnected(ExchangeId) override {}

private:
  Function Callback;
};

} // namespace http

#endif // JACKDAW_HTTP_FUNCTIONHANDLER_H
