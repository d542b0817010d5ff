#include "execution/handletable.h"

#include <doctest/doctest.h>

using namespace execution;
using namespace std::chrono_literals;

// Guards against a handle that can be used for another workspace, or after its
// request is completed.
TEST_CASE("a handle gives access to its own request only, until that is "
          "completed") {
  base::ManualClock Clock;
  HandleTable Handles;
  CallContext Call;
  Call.Scope.Workspace = base::WorkspaceName("alpha");
  Call.RetryAllowance = 3;
  Call.TimeLeftMicros = 2000000;
  const base::Handle First = Handles.open(requestContextFor(Call, Clock.now()));
  Call.Scope.Workspace = base::WorkspaceName("beta");
  Call.TimeLeftMicros = ~std::uint64_t{0};
  const base::Handle Second =
      Handles.open(requestContextFor(Call, Clock.now()));
  REQUIRE(Handles.find(First).has_value());
  RequestContext &Context = *Handles.find(First).value();
  CHECK(Context.Scope.Workspace.str() == "alpha");
  CHECK(Context.Deadline == Clock.now() + 2s);
  CHECK(Handles.find(Second).value()->Scope.Workspace.str() == "beta");
  CHECK(Handles.find(Second).value()->Deadline <= Clock.now() + 1h);
  CHECK(Context.Allowance.grant().units() == 2);
  CHECK(Handles.close(First) == 1);
  CHECK_FALSE(Handles.find(First).has_value());
  CHECK(Handles.close(First) == 0);
  CHECK(Handles.size() == 1);
}

TEST_CASE("unknown and malformed handles are refused") {
  HandleTable Handles;
  const base::Handle Real = Handles.open({});
  const auto Parsed = parseHandle(base::toHex(Real.Bytes));
  REQUIRE(Parsed.has_value());
  CHECK(Parsed.value() == Real);
  CHECK_FALSE(parseHandle("").has_value());
  CHECK_FALSE(parseHandle(std::string(31, '0')).has_value());
  CHECK_FALSE(Handles.find(base::Handle{}).has_value());
}
