#include "http/message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace http {

namespace {

char lower(char C) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
}

int hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  C = lower(C);
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  return -1;
}

} // namespace

std::string_view framingName(BodyFraming Framing) {
  switch (Framing) {
  case BodyFraming::Length:
    return "length";
  case BodyFraming::Chunked:
    return "chunked";
  case BodyFraming::UntilClose:
    return "until_close";
  case BodyFraming::NoBody:
    break;
  }
  return "no_body";
}

bool sameHeaderName(std::string_view First, std::string_view Second) {
  return std::equal(First.begin(), First.end(), Second.begin(), Second.end(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

std::optional<std::string> findHeader(const std::vector<Header> &Headers,
                                      std::string_view Name) {
  for (const Header &Each : Headers)
    if (sameHeaderName(Each.Name, Name))
      return Each.Value;
  return std::nullopt;
}

std::optional<std::string>
findSingularHeader(const std::vector<Header> &Headers, std::string_view Name) {
  const auto First = findHeader(Headers, Name);
  const bool Ambiguous =
      std::any_of(Headers.begin(), Headers.end(), [&](const Header &Each) {
        return sameHeaderName(Each.Name, Name) && Each.Value != First;
      });
  return Ambiguous ? std::nullopt : First;
}

bool isHopByHopHeader(std::string_view Name) {
  static constexpr std::array<std::string_view, 12> Names{
      "connection",          "keep-alive", "proxy-connection",  "te",
      "proxy-authorization", "trailer",    "transfer-encoding", "upgrade",
      "proxy-authenticate",  "host",       "content-length",    "expect"};
  return std::any_of(Names.begin(), Names.end(), [Name](std::string_view Each) {
    return sameHeaderName(Each, Name);
  });
}

void Request::shareLargeBody() {
  if (Body.size() <= kLargeBodyBytes)
    return;
  SharedBody = std::make_shared<const std::string>(std::move(Body));
  Body = std::string();
}

void splitTarget(const std::string &Target, Request &Received) {
  const std::size_t QuestionMark = Target.find('?');
  Received.Path = Target.substr(0, QuestionMark);
  if (QuestionMark != std::string::npos)
    Received.Query = Target.substr(QuestionMark + 1);
}

bool headerListContains(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    std::string_view Word = List.substr(0, Comma);
    Word.remove_prefix(std::min(Word.find_first_not_of(" \t"), Word.size()));
    Word = Word.substr(0, Word.find_last_not_of(" \t") + 1);
    if (sameHeaderName(Word, Name))
      return true;
    if (Comma == std::string_view::npos)
      return false;
    List.remove_prefix(Comma + 1);
  }
  return false;
}

std::optional<std::string> percentDecode(std::string_view Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%') {
      Result += Text[Index];
      continue;
    }
    if (Index + 2 >= Text.size())
      return std::nullopt;
    const int High = hexValue(Text[Index + 1]);
    const int Low = hexValue(Text[Index + 2]);
    if (High < 0 || Low < 0 || High + Low == 0)
      return std::nullopt;
    Result += static_cast<char>(High * 16 + Low);
    Index += 2;
  }
  return Result;
}

} // namespace http
