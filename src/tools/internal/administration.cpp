#include "tools/administration.h"

#include "base/address.h"
#include "http/client.h"

#include <chrono>
#include <sstream>

namespace tools {

namespace {

constexpr std::chrono::seconds kTimeout{5};
constexpr std::chrono::seconds kConnectTimeout{2};

} // namespace

const std::vector<std::string> &pageNames() {
  static const std::vector<std::string> Names{
      "status",   "members", "shards", "configuration",
      "refusals", "events",  "metrics"};
  return Names;
}

std::vector<base::Endpoint> parseEndpoints(const std::string &Text,
                                           std::vector<std::string> &Errors) {
  std::vector<base::Endpoint> Endpoints;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');) {
    if (const auto Parsed = base::parseEndpoint(Part))
      Endpoints.push_back(*Parsed);
    else
      Errors.push_back("--administration: '" + Part +
                       "' is not an IPv4 address and port, as in "
                       "10.0.0.7:7200");
  }
  if (Endpoints.empty() && Errors.empty())
    Errors.emplace_back("--administration: no address given");
  return Endpoints;
}

Page fetchPage(const base::Endpoint &Daemon, const std::string &Name) {
  http::Client Client;
  http::ExchangeOptions Options;
  Options.Timeout = kTimeout;
  Options.ConnectTimeout = kConnectTimeout;
  Options.FreshConnection = true;
  http::ExchangeResult Result = Client.exchange(
      "http://" + Daemon.str(), {"GET", "/" + Name, "", {}, ""}, Options);
  if (Result.Status != http::ExchangeStatus::Completed)
    return {std::nullopt, Result.Detail.empty() ? "no response from the daemon"
                                                : Result.Detail};
  if (Result.Response.Status != 200)
    return {std::nullopt,
            "HTTP status " + std::to_string(Result.Response.Status)};
  // Daemons state the length of each page, so this isn't a whole one.
  if (Result.Response.Framing == http::BodyFraming::UntilClose)
    return {std::nullopt, "the length of the page isn't stated"};
  return {std::move(Result.Response.Body), ""};
}

} // namespace tools
