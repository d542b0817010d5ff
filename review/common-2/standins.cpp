#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using SteadyClock = std::chrono::steady_clock;
const SteadyClock::time_point StartedAt = SteadyClock::now();
constexpr std::size_t kMaxMessageBytes = std::size_t{64} << 20;

sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Result.sin_addr);
  return Result;
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return char(std::tolower(C)); });
  return Text;
}

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Result;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Result += char(Value >> unsigned(Shift) & 0xffU);
  return Result;
}

std::uint64_t fromBigEndian(const std::string &Bytes) {
  std::uint64_t Result = 0;
  for (const char Each : Bytes)
    Result = Result << 8U | static_cast<unsigned char>(Each);
  return Result;
}

std::string base64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    const std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          Group << 8U |
          (Index < Count ? static_cast<unsigned char>(Bytes[At + Index]) : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Result += Index <= Count ? Digits[Group >> (18 - 6 * Index) & 63U] : '=';
  }
  return Result;
}

std::string record(const std::string &Key, const std::string &Value) {
  const std::string Content = std::string(1, char(Key.size())) + Key + Value;
  return bigEndian(Content.size(), 4) + Content;
}

bool canBind(const std::string &Ip, std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(Ip, Port);
  const bool Free = bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
                         sizeof(Address)) == 0 &&
                    listen(Socket, 1) == 0;
  close(Socket);
  return Free;
}

} // namespace

double now() {
  return std::chrono::duration<double>(SteadyClock::now() - StartedAt).count();
}

void sleepUntil(double Time) {
  const double Left = Time - now();
  if (Left > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Left));
}

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool isCalm() {
  const char *Value = std::getenv("TROUBLE");
  return Value != nullptr && std::string(Value) == "0";
}

Record::Record(const std::string &Path)
    : Descriptor(
          open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

void Record::line(const std::string &Text) {
  std::array<char, 32> Time{};
  std::snprintf(Time.data(), Time.size(), "%8.3f ", now());
  const std::string Line = Time.data() + Text + "\n";
  std::lock_guard Lock(Mutex);
  if (write(Descriptor, Line.data(), Line.size()) < 0)
    std::perror("record");
}

std::string Message::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? "" : Found->second;
}

std::string Message::method() const { return Start.substr(0, Start.find(' ')); }

std::string Message::target() const {
  const std::size_t First = Start.find(' ') + 1;
  return Start.substr(First, Start.find(' ', First) - First);
}

std::string Message::path() const {
  return target().substr(0, target().find('?'));
}

std::string Message::query(const std::string &Name) const {
  const std::string Target = target();
  std::istringstream Parts(Target.find('?') == std::string::npos
                               ? ""
                               : Target.substr(Target.find('?') + 1));
  for (std::string Part; std::getline(Parts, Part, '&');)
    if (Part.starts_with(Name + "="))
      return Part.substr(Name.size() + 1);
  return "";
}

int Message::status() const {
  return Start.size() > 9 ? std::atoi(Start.c_str() + 9) : 0;
}

Connection::~Connection() { close(Descriptor); }

std::unique_ptr<Connection> Connection::open(const std::string &Ip,
                                             std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Result = std::make_unique<Connection>(Socket);
  const sockaddr_in Address = addressOf(Ip, Port);
  const timeval Wait{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Wait, sizeof(Wait));
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0)
    return nullptr;
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Result;
}

bool Connection::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count = ::send(Descriptor, Bytes.data() + Sent,
                                 Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += std::size_t(Count);
  }
  return true;
}

bool Connection::fill(double TimeoutSeconds) {
  pollfd Entry{Descriptor, POLLIN, 0};
  if (poll(&Entry, 1, int(TimeoutSeconds * 1000)) <= 0)
    return false;
  std::array<char, 65536> Chunk;
  const ssize_t Count = recv(Descriptor, Chunk.data(), Chunk.size(), 0);
  if (Count <= 0) {
    Ended = Count == 0;
    return false;
  }
  Buffer.append(Chunk.data(), std::size_t(Count));
  return Buffer.size() < kMaxMessageBytes;
}

std::optional<Message> Connection::read(double TimeoutSeconds,
                                        bool IsResponse) {
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(TimeoutSeconds))
      return std::nullopt;
  Message Result;
  std::istringstream Head(Buffer.substr(0, End + 2));
  Buffer.erase(0, End + 4);
  std::string Line;
  const auto NextLine = [&] {
    const bool Read = bool(std::getline(Head, Line));
    if (Read && Line.ends_with('\r'))
      Line.pop_back();
    return Read;
  };
  NextLine();
  Result.Start = Line;
  while (NextLine()) {
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    const std::size_t First = Line.find_first_not_of(' ', Colon + 1);
    Result.Headers.emplace(lower(Line.substr(0, Colon)),
                           First == std::string::npos ? ""
                                                      : Line.substr(First));
  }
  if (lower(Result.header("transfer-encoding")).find("chunked") !=
      std::string::npos) {
    for (;;) {
      std::size_t LineEnd = 0;
      while ((LineEnd = Buffer.find("\r\n")) == std::string::npos)
        if (!fill(TimeoutSeconds))
          return std::nullopt;
      const std::size_t Size = std::strtoul(Buffer.c_str(), nullptr, 16);
      while (Buffer.size() < LineEnd + 2 + Size + 2)
        if (!fill(TimeoutSeconds))
          return std::nullopt;
      Result.Body += Buffer.substr(LineEnd + 2, Size);
      Buffer.erase(0, LineEnd + 2 + Size + 2);
      if (Size == 0)
        return Result;
    }
  }
  if (const std::string Length = Result.header("content-length");
      !Length.empty()) {
    const std::size_t Size = std::strtoul(Length.c_str(), nullptr, 10);
    while (Buffer.size() < Size)
      if (!fill(TimeoutSeconds))
        return std::nullopt;
    Result.Body = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return Result;
  }
  if (!IsResponse)
    return Result;
  while (fill(TimeoutSeconds)) {
  }
  if (!Ended)
    return std::nullopt;
  Result.Body.swap(Buffer);
  return Result;
}

std::string makeMessage(const std::string &Start,
                        const std::vector<std::string> &Headers,
                        const std::string &Body) {
  std::string Result = Start + "\r\n";
  for (const std::string &Each : Headers)
    Result += Each + "\r\n";
  return Result + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

HttpServer::HttpServer(const std::string &Ip, std::uint16_t Port,
                       Handler Handle)
    : Handle(std::move(Handle)),
      Listening(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int On = 1;
  setsockopt(Listening, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Listening, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(Listening, 256) != 0)
    throw std::runtime_error("can't listen on " + Ip + ":" +
                             std::to_string(Port));
  Acceptor = std::thread([this] { acceptAll(); });
}

HttpServer::~HttpServer() {
  Stopping = true;
  shutdown(Listening, SHUT_RDWR);
  Acceptor.join();
  close(Listening);
  {
    std::lock_guard Lock(Mutex);
    for (const int Each : Open)
      shutdown(Each, SHUT_RDWR);
  }
  for (std::thread &Each : Threads)
    Each.join();
}

void HttpServer::acceptAll() {
  while (!Stopping) {
    const int Descriptor = accept4(Listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor < 0)
      continue;
    const int On = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    std::lock_guard Lock(Mutex);
    Open.push_back(Descriptor);
    Threads.emplace_back([this, Descriptor] { serve(Descriptor); });
  }
}

void HttpServer::serve(int Descriptor) {
  Connection Client(Descriptor);
  while (!Stopping) {
    const auto Request = Client.read(60, false);
    if (!Request || !Handle(Client, *Request))
      break;
  }
  std::lock_guard Lock(Mutex);
  std::erase(Open, Descriptor);
}

Store::Store(const std::string &Ip, std::uint16_t Port)
    : Server(Ip, Port, [this](Connection &From, const Message &Request) {
        return handle(From, Request);
      }) {}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  std::lock_guard Lock(Mutex);
  Topics[Topic].push_back({Key, Value});
}

bool Store::handle(Connection &From, const Message &Request) {
  if (Request.path() == "/api/log-append")
    return append(From, Request);
  if (Request.path() == "/api/log-read")
    return read(From, Request);
  if (Request.path() == "/api/log-newest")
    return newest(From, Request);
  return From.send(makeMessage("HTTP/1.1 404 Not Found", {}, ""));
}

bool Store::append(Connection &From, const Message &Request) {
  std::string Answer;
  {
    std::lock_guard Lock(Mutex);
    std::vector<Entry> &Entries = Topics[Request.query("topic")];
    const std::string At = Request.query("at");
    if (!At.empty() && At != std::to_string(Entries.size()))
      return From.send(
          makeMessage("HTTP/1.1 412 Precondition Failed",
                      {"Content-Type: application/json"},
                      "{\"end\":" + std::to_string(Entries.size()) + "}"));
    const std::size_t First = Entries.size();
    std::string Rest = Request.Body;
    while (Rest.size() > 4) {
      const std::size_t Size = fromBigEndian(Rest.substr(0, 4));
      const std::string Content = Rest.substr(4, Size);
      Rest.erase(0, 4 + Size);
      const std::size_t KeySize = static_cast<unsigned char>(Content[0]);
      Entries.push_back(
          {Content.substr(1, KeySize), Content.substr(1 + KeySize)});
    }
    Answer = "{\"offset\":" + std::to_string(First) +
             ",\"end\":" + std::to_string(Entries.size()) + "}";
  }
  return From.send(makeMessage("HTTP/1.1 200 OK",
                               {"Content-Type: application/json"}, Answer));
}

bool Store::read(Connection &From, const Message &Request) {
  const std::size_t First =
      std::strtoul(Request.query("from").c_str(), nullptr, 10);
  const double Until =
      now() + std::strtod(Request.query("wait_ms").c_str(), nullptr) / 1000;
  for (;;) {
    std::string Answer;
    bool HasRecords = false;
    {
      std::lock_guard Lock(Mutex);
      const std::vector<Entry> &Entries = Topics[Request.query("topic")];
      Answer = bigEndian(Entries.size(), 8) + bigEndian(0, 8);
      for (std::size_t At = First; At < Entries.size(); ++At)
        Answer += record(Entries[At].Key, Entries[At].Value);
      HasRecords = First < Entries.size();
    }
    if (HasRecords || now() >= Until)
      return From.send(makeMessage("HTTP/1.1 200 OK", {}, Answer));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

bool Store::newest(Connection &From, const Message &Request) {
  std::string Answer;
  {
    std::lock_guard Lock(Mutex);
    const std::vector<Entry> &Entries = Topics[Request.query("topic")];
    std::map<std::string, std::size_t> Newest;
    for (std::size_t At = 0; At < Entries.size(); ++At)
      Newest[Entries[At].Key] = At;
    for (const auto &[Key, At] : Newest)
      if (!Entries[At].Value.empty())
        Answer += (Answer.empty() ? "" : ",") + ("{\"key\":\"" + Key) +
                  "\",\"value\":\"" + base64(Entries[At].Value) +
                  "\",\"offset\":" + std::to_string(At) + "}";
    Answer = "{\"items\":[" + Answer +
             "],\"more\":false,\"end\":" + std::to_string(Entries.size()) + "}";
  }
  return From.send(makeMessage("HTTP/1.1 200 OK",
                               {"Content-Type: application/json"}, Answer));
}

std::uint16_t freeBasePort(const std::vector<std::string> &Ips) {
  std::srand(unsigned(unixMillis()) ^ unsigned(getpid()));
  for (int Try = 0; Try < 50; ++Try) {
    const auto Base = std::uint16_t(20000 + std::rand() % 300 * 40);
    bool Free = true;
    for (const std::string &Ip : Ips)
      for (std::uint16_t Port = Base; Free && Port < Base + 30; ++Port)
        Free = canBind(Ip, Port);
    if (Free)
      return Base;
  }
  return 0;
}

Daemon::Daemon(Machine Where, std::string StoreIp, std::string Folder)
    : Where(std::move(Where)), StoreIp(std::move(StoreIp)),
      Folder(std::move(Folder)) {}

Daemon::~Daemon() {
  if (running())
    kill(Process, SIGKILL);
  wait(5);
}

void Daemon::start(bool FirstStart) {
  const std::string Path = Folder + "/" + Where.Name + ".toml";
  const auto At = [this](std::uint16_t Port) {
    return "\"" + Where.Ip + ":" + std::to_string(Port) + "\"\n";
  };
  std::ofstream(Path)
      << "node = \"" << Where.Name << "\"\nrole = \"jackdawd\"\n"
      << "machine_class = \"sidecar\"\nserves = [\"sidecar\"]\nip = \""
      << Where.Ip << "\"\nzone = \"gent-a\"\nregion = \"vlaanderen\"\n"
      << "internal_ports = [" << Where.internal() << ","
      << Where.internal() + 15
      << "]\nseeds = []\nfirst_start = " << (FirstStart ? "true" : "false")
      << "\nheartbeat_ms = 1500\nbounds = "
         "[\"seed_lag_s=3\",\"addr_reuse_s=2\",\"stable_window_ms=4000\","
         "\"ack_ms=4000\",\"catch_up_s=4\",\"drain_ms=2500\",\"grace_s=6\","
         "\"loss_slack_ms=200\",\"config_apply_ms=2500\","
         "\"rollback_slack_ms=250\",\"retry_budget_ratio=0.2\","
         "\"budget_window_s=10\",\"budget_slack=47\",\"quota_window_s=5\","
         "\"quota_overage=0.1\",\"quota_slack=20\",\"recovery_s=15\"]\n"
      << "app_addr = " << At(Where.app()) << "service = \"" << Where.Service
      << "\"\n[zones]\ngent-a = \"vlaanderen\"\n[listen]\ninbound = "
      << At(Where.inbound()) << "outbound = " << At(Where.outbound())
      << "ready = " << At(Where.ready()) << "control = " << At(Where.control())
      << "[limits]\ncpu_share = 0.4\ncpu_speed_factor = 1\nmemory_mb = 260\n"
         "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[platform]\n"
      << "address = \"" << StoreIp << ":" << Where.store()
      << "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\n";
  const std::string LogPath = Folder + "/" + Where.Name + ".log";
  const std::string Setting = "JACKDAWFLOW_SETTINGS=" + Path;
  Process = fork();
  if (Process != 0)
    return;
  // The daemon must not outlive this process, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Log = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  std::string Program = "target/bin/platform/jackdawd";
  std::string Environment = Setting;
  std::array<char *, 2> Arguments{Program.data(), nullptr};
  std::array<char *, 2> Variables{Environment.data(), nullptr};
  execve(Program.c_str(), Arguments.data(), Variables.data());
  _exit(127);
}

void Daemon::signal(int Number) {
  if (Process > 0)
    kill(Process, Number);
}

bool Daemon::running() {
  if (Process <= 0)
    return false;
  if (waitpid(Process, nullptr, WNOHANG) == 0)
    return true;
  Process = -1;
  return false;
}

void Daemon::wait(double Seconds) {
  const double Until = now() + Seconds;
  while (running() && now() < Until)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  if (!running())
    return;
  kill(Process, SIGKILL);
  waitpid(Process, nullptr, 0);
  Process = -1;
}

bool Daemon::isReady() const {
  const auto Probe = Connection::open(Where.Ip, Where.ready());
  if (!Probe || !Probe->send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
    return false;
  const auto Answer = Probe->read(1, true);
  return Answer && Answer->status() == 200;
}

bool Daemon::waitReady(double Seconds) const {
  for (const double Until = now() + Seconds; now() < Until;) {
    if (isReady())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

TemporaryFolder::TemporaryFolder() {
  std::string Template = "/tmp/review-2-XXXXXX";
  if (mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Path = Template;
}

TemporaryFolder::~TemporaryFolder() {
  if (DIR *Folder = opendir(Path.c_str())) {
    while (const dirent *Each = readdir(Folder))
      if (Each->d_name[0] != '.')
        unlink((Path + "/" + Each->d_name).c_str());
    closedir(Folder);
  }
  rmdir(Path.c_str());
}

std::string heartbeat(const Machine &Where, const std::string &State,
                      std::uint64_t Sequence, std::int64_t Born, int Slots) {
  return "{\"address\":\"" + Where.Ip + ":" + std::to_string(Where.app()) +
         "\",\"born\":" + std::to_string(Born) + ",\"info\":{\"service\":\"" +
         Where.Service +
         "\",\"version\":\"v1\",\"zone\":\"gent-a\",\"slots\":" +
         std::to_string(Slots) + "},\"status\":{\"state\":\"" + State +
         "\",\"sequence\":" + std::to_string(Sequence) +
         ",\"cold_remaining_ms\":0}}";
}

int callControl(const Machine &Where, const std::string &Method,
                const std::string &Id, const std::string &Body) {
  const auto Call = Connection::open(Where.Ip, Where.control());
  if (!Call || !Call->send(makeMessage(
                   Method + " /api/instances/" + Id + " HTTP/1.1",
                   {"Host: control", "Content-Type: application/json"}, Body)))
    return 0;
  const auto Answer = Call->read(1, true);
  return Answer ? Answer->status() : 0;
}

} // namespace review
