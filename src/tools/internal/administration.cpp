#include "tools/administration.h"

#include "http/client.h"

#include <arpa/inet.h>

#include <charconv>
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

std::optional<base::PeerAddress> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string Ip(Text.substr(0, Colon));
  in_addr Ignored{};
  if (inet_pton(AF_INET, Ip.c_str(), &Ignored) != 1)
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Code] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Code != std::errc() || Rest != End || Port == 0)
    return std::nullopt;
  return base::PeerAddress{Ip, Port};
}

std::vector<base::PeerAddress>
parseAddresses(const std::string &Text, std::vector<std::string> &Errors) {
  std::vector<base::PeerAddress> Addresses;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');) {
    if (const auto Address = parseAddress(Part))
      Addresses.push_back(*Address);
    else
      Errors.push_back("--administration: '" + Part +
                       "' is not an IPv4 address and port, as in "
                       "10.0.0.7:7200");
  }
  if (Addresses.empty() && Errors.empty())
    Errors.emplace_back("--administration: no address given");
  return Addresses;
}

Page fetchPage(const base::PeerAddress &Daemon, const std::string &Name) {
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
  if (Result.Received.Status != 200)
    return {std::nullopt,
            "HTTP status " + std::to_string(Result.Received.Status)};
  return {std::move(Result.Received.Body), ""};
}

} // namespace tools
