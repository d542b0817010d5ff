#ifndef JACKDAW_HTTP_FUNCTIONHANDLER_H
#define JACKDAW_HTTP_FUNCTIONHANDLER_H

#include "http/asyncserver.h"

#include <functional>
#include <utility>

namespace http {

/// Answers each request at once with the result of a function.
class FunctionHandler final : public AsyncHandler {
public:
  using Function = std::function<Response(const Request &)>;

  explicit FunctionHandler(Function Answer) : Answer(std::move(Answer)) {}

  void onRequest(AsyncServer &Server, ExchangeId Id,
                 Request Received) override {
    Server.respond(Id, Answer(Received));
  }
  void onAbandoned(ExchangeId) override {}

private:
  Function Answer;
};

} // namespace http

#endif // JACKDAW_HTTP_FUNCTIONHANDLER_H
