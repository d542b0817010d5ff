// Stand-ins and helpers for the cases of this review: the platform's store, an
// upstream with heartbeats, clients, and the start and end of daemons. Plain
// blocking sockets and threads; every address is a loopback address.
#ifndef REVIEW_COMMON_3_HARNESS_H
#define REVIEW_COMMON_3_HARNESS_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace harness {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// Milliseconds since the start of the case.
inline std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

inline void sleepMs(std::int64_t Count) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Count));
}

/// Writes `record.txt`: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {
    if (!File) {
      std::fprintf(stderr, "can't write %s\n", Path.c_str());
      std::exit(2);
    }
  }
  void line(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    File << nowMs() << " " << Text << "\n";
    File.flush();
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

struct Message {
  std::string Method;
  std::string Target;
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  bool Complete = false;

  std::string header(const std::string &Name) const {
    for (const auto &[Each, Value] : Headers)
      if (strcasecmp(Each.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
};

/// A connected socket with a read buffer.
class Stream {
public:
  explicit Stream(int Descriptor) : Descriptor(Descriptor) {}
  Stream(const Stream &) = delete;
  ~Stream() { shut(); }
  bool valid() const { return Descriptor >= 0; }
  int descriptor() const { return Descriptor; }
  void shut() {
    if (Descriptor >= 0)
      ::close(Descriptor);
    Descriptor = -1;
  }

  static std::unique_ptr<Stream> connectTo(const std::string &Ip, int Port,
                                           int TimeoutMs = 1000) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
    setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
    auto Result = std::make_unique<Stream>(Socket);
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) != 0)
      Result->shut();
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    return Result;
  }

  bool sendAll(const std::string &Bytes) {
    std::size_t At = 0;
    while (At < Bytes.size()) {
      const ssize_t Count = ::send(Descriptor, Bytes.data() + At,
                                   Bytes.size() - At, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      At += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Reads one HTTP message. `Complete` is false if the connection ended or
  /// `DeadlineMs` passed before its end.
  Message read(std::int64_t DeadlineMs) {
    Message Result;
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(DeadlineMs))
        return Result;
    std::istringstream Head(Buffer.substr(0, End));
    Buffer.erase(0, End + 4);
    std::string Line;
    std::getline(Head, Line);
    if (Line.starts_with("HTTP/"))
      Result.Status = std::atoi(Line.substr(9, 3).c_str());
    else {
      std::istringstream First(Line);
      First >> Result.Method >> Result.Target;
    }
    while (std::getline(Head, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::size_t From = Colon + 1;
      while (From < Line.size() && Line[From] == ' ')
        ++From;
      Result.Headers.emplace_back(Line.substr(0, Colon), Line.substr(From));
    }
    if (Result.Status == 204 || Result.Status == 304) {
      Result.Complete = true;
      return Result;
    }
    if (Result.header("Transfer-Encoding") == "chunked")
      return readChunks(std::move(Result), DeadlineMs);
    const std::size_t Length =
        std::strtoull(Result.header("Content-Length").c_str(), nullptr, 10);
    while (Buffer.size() < Length)
      if (!fill(DeadlineMs))
        return Result;
    Result.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    Result.Complete = true;
    return Result;
  }

  /// Whether the other side has closed the connection.
  bool ended() {
    char Byte = 0;
    const ssize_t Count = ::recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count == 0 || (Count < 0 && errno != EAGAIN);
  }

private:
  Message readChunks(Message Result, std::int64_t DeadlineMs) {
    for (;;) {
      std::size_t End = 0;
      while ((End = Buffer.find("\r\n")) == std::string::npos)
        if (!fill(DeadlineMs))
          return Result;
      const std::size_t Size = std::strtoull(Buffer.c_str(), nullptr, 16);
      while (Buffer.size() < End + 2 + Size + 2)
        if (!fill(DeadlineMs))
          return Result;
      Result.Body += Buffer.substr(End + 2, Size);
      Buffer.erase(0, End + 2 + Size + 2);
      if (Size == 0) {
        Result.Complete = true;
        return Result;
      }
    }
  }

  bool fill(std::int64_t DeadlineMs) {
    for (;;) {
      const std::int64_t Left = DeadlineMs - nowMs();
      if (Left <= 0 || Descriptor < 0)
        return false;
      pollfd Watched{Descriptor, POLLIN, 0};
      if (::poll(&Watched, 1,
                 static_cast<int>(std::min<std::int64_t>(Left, 500))) <= 0)
        continue;
      char Chunk[65536];
      const ssize_t Count = ::recv(Descriptor, Chunk, sizeof(Chunk), 0);
      if (Count <= 0)
        return false;
      Buffer.append(Chunk, static_cast<std::size_t>(Count));
      return true;
    }
  }

  int Descriptor;
  std::string Buffer;
};

inline std::string makeResponse(
    int Status, const std::string &Body,
    const std::vector<std::pair<std::string, std::string>> &Headers = {}) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Accepts connections and answers each request with what `Handler` returns;
/// an empty answer closes the connection.
class Server {
public:
  using Handler = std::function<std::string(const Message &)>;

  void start(const std::string &Ip, int Port, Handler New) {
    Handle = std::move(New);
    Ended = false;
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof(Address)) != 0 ||
        ::listen(Listener, 511) != 0) {
      std::fprintf(stderr, "can't listen on %s:%d\n", Ip.c_str(), Port);
      std::exit(2);
    }
    std::thread([this] { acceptAll(); }).detach();
  }

  /// Closes the listening socket and all connections.
  void end() {
    Ended = true;
    ::shutdown(Listener, SHUT_RDWR);
    std::lock_guard Lock(Mutex);
    for (const int Each : Sockets)
      ::shutdown(Each, SHUT_RDWR);
  }

private:
  void acceptAll() {
    for (;;) {
      const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0 || Ended) {
        ::close(Listener);
        return;
      }
      {
        std::lock_guard Lock(Mutex);
        Sockets.insert(Socket);
      }
      const int On = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([this, Socket] {
        Stream Connection(Socket);
        for (;;) {
          const Message Received = Connection.read(nowMs() + 600'000);
          if (!Received.Complete)
            break;
          const std::string Answer = Handle(Received);
          if (Answer.empty() || Ended || !Connection.sendAll(Answer))
            break;
        }
        std::lock_guard Lock(Mutex);
        Sockets.erase(Socket);
      }).detach();
    }
  }

  int Listener = -1;
  Handler Handle;
  std::atomic<bool> Ended = false;
  std::mutex Mutex;
  std::set<int> Sockets;
};

inline std::string base64(const std::string &Text) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); At += 3) {
    const auto Byte = [&](std::size_t Offset) -> std::uint32_t {
      return At + Offset < Text.size()
                 ? static_cast<unsigned char>(Text[At + Offset])
                 : 0;
    };
    const std::uint32_t Bits = Byte(0) << 16 | Byte(1) << 8 | Byte(2);
    Result += Digits[Bits >> 18 & 63];
    Result += Digits[Bits >> 12 & 63];
    Result += At + 1 < Text.size() ? Digits[Bits >> 6 & 63] : '=';
    Result += At + 2 < Text.size() ? Digits[Bits & 63] : '=';
  }
  return Result;
}

inline std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Result;
  for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
    Result += static_cast<char>(Value >> Shift & 255);
  return Result;
}

/// The platform's store, in the parts that the daemons use: keyed topics with
/// append, read and newest. `drill` is what the users' later letters describe.
class Store {
public:
  explicit Store(Record &Log) : Log(Log) {}

  void start(const std::string &Ip, int Port) {
    Http.start(Ip, Port,
               [this](const Message &Received) { return answer(Received); });
  }

  /// The operator writes; returns the time of the acknowledgement.
  std::int64_t writeConfig(int Version, const std::string &Text) {
    std::lock_guard Lock(Mutex);
    append("keyed.op", std::string(1, 6) + "config" + Text);
    NewestConfig = Text;
    Changed.notify_all();
    Log.line("operator writes version " + std::to_string(Version) +
             ", acknowledged, the topic ends at " +
             std::to_string(Topics["keyed.op"].size()));
    return nowMs();
  }

  /// The store is away for `AwayMs` and comes back from a copy that shows it as
  /// it was at `CopyAt`. What the operator wrote is written again: the newest
  /// configuration, in full, if the copy doesn't have it.
  void drill(std::int64_t CopyAt, std::int64_t AwayMs) {
    {
      std::lock_guard Lock(Mutex);
      Away = true;
      Changed.notify_all();
      Log.line("drill: the store is away");
    }
    sleepMs(AwayMs);
    std::lock_guard Lock(Mutex);
    for (auto &[Name, Records] : Topics) {
      const std::size_t Before = Records.size();
      while (!Records.empty() && Records.back().At > CopyAt)
        Records.pop_back();
      Log.line("drill: " + Name + " ended at " + std::to_string(Before) +
               " and ends at " + std::to_string(Records.size()) +
               " in the copy");
    }
    ++Era;
    Away = false;
    const auto &Operator = Topics["keyed.op"];
    if (Operator.empty() || Operator.back().Bytes.substr(7) != NewestConfig) {
      append("keyed.op", std::string(1, 6) + "config" + NewestConfig);
      Log.line("the operator has written its newest configuration again; the "
               "topic ends at " +
               std::to_string(Topics["keyed.op"].size()));
    }
    Changed.notify_all();
    Log.line("drill: the store is back, Store-Era " + std::to_string(Era));
  }

  std::map<std::string, std::uint64_t> callCounts() {
    std::lock_guard Lock(Mutex);
    return Calls;
  }

private:
  struct Stored {
    std::string Bytes;
    std::int64_t At = 0;
  };

  void append(const std::string &Topic, const std::string &Bytes) {
    Topics[Topic].push_back({Bytes, nowMs()});
  }

  std::string respond(int Status, const std::string &Body) {
    return makeResponse(Status, Body, {{"Store-Era", std::to_string(Era)}});
  }

  std::string answer(const Message &Received) {
    const std::size_t Mark = Received.Target.find('?');
    const std::string Path = Received.Target.substr(0, Mark);
    std::map<std::string, std::string> Query;
    std::istringstream Parts(
        Mark == std::string::npos ? "" : Received.Target.substr(Mark + 1));
    for (std::string Part; std::getline(Parts, Part, '&');)
      if (const std::size_t Equals = Part.find('=');
          Equals != std::string::npos)
        Query[Part.substr(0, Equals)] = Part.substr(Equals + 1);
    std::unique_lock Lock(Mutex);
    ++Calls[Path + " " + Query["topic"]];
    if (Away)
      return respond(503, "");
    std::vector<Stored> &Records = Topics[Query["topic"]];
    if (Path == "/api/log-append")
      return appendCall(Records, Query, Received.Body);
    if (Path == "/api/log-newest")
      return newest(Records);
    if (Path != "/api/log-read")
      return respond(404, "");
    const std::uint64_t From =
        std::strtoull(Query["from"].c_str(), nullptr, 10);
    const auto Until =
        Clock::now() + std::chrono::milliseconds(std::strtoull(
                           Query["wait_ms"].c_str(), nullptr, 10));
    const int EraAtStart = Era;
    Changed.wait_until(Lock, Until, [&] {
      return Away || Era != EraAtStart || Records.size() != From;
    });
    if (Away)
      return respond(503, "");
    if (From > Records.size())
      return respond(410, "{\"first\":0}");
    std::string Body = bigEndian(Records.size(), 8) + bigEndian(0, 8);
    for (std::size_t At = From; At < Records.size(); ++At)
      Body += bigEndian(Records[At].Bytes.size(), 4) + Records[At].Bytes;
    return respond(200, Body);
  }

  std::string appendCall(std::vector<Stored> &Records,
                         std::map<std::string, std::string> &Query,
                         const std::string &Body) {
    const std::string End = "{\"end\":" + std::to_string(Records.size()) + "}";
    if (Query.contains("at") &&
        std::strtoull(Query["at"].c_str(), nullptr, 10) != Records.size())
      return respond(412, End);
    const std::size_t Offset = Records.size();
    for (std::size_t At = 0; At + 4 <= Body.size();) {
      std::size_t Length = 0;
      for (int Index = 0; Index < 4; ++Index)
        Length = Length << 8 | static_cast<unsigned char>(Body[At++]);
      Records.push_back({Body.substr(At, Length), nowMs()});
      At += Length;
    }
    Changed.notify_all();
    return respond(200, "{\"offset\":" + std::to_string(Offset) +
                            ",\"end\":" + std::to_string(Records.size()) + "}");
  }

  std::string newest(const std::vector<Stored> &Records) {
    std::map<std::string, std::size_t> Last;
    for (std::size_t At = 0; At < Records.size(); ++At) {
      const std::string &Bytes = Records[At].Bytes;
      Last[Bytes.substr(1, static_cast<unsigned char>(Bytes[0]))] = At;
    }
    std::string Items;
    for (const auto &[Key, At] : Last) {
      const std::string Value = Records[At].Bytes.substr(1 + Key.size());
      if (!Value.empty())
        Items += std::string(Items.empty() ? "" : ",") + "{\"key\":\"" + Key +
                 "\",\"value\":\"" + base64(Value) +
                 "\",\"offset\":" + std::to_string(At) + "}";
    }
    return respond(200, "{\"items\":[" + Items + "],\"more\":false,\"end\":" +
                            std::to_string(Records.size()) + "}");
  }

  Record &Log;
  Server Http;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::vector<Stored>> Topics;
  std::map<std::string, std::uint64_t> Calls;
  std::string NewestConfig;
  bool Away = false;
  int Era = 1;
};

/// Ports of a machine; the same on all machines.
struct Ports {
  int Peer = 0;
  int Inbound = 0;
  int Outbound = 0;
  int Ready = 0;
  int Control = 0;
  int App = 0;
  int Store = 0;
};

/// One request that an upstream began to work on.
struct Run {
  std::int64_t At = 0;
  std::string Attempt;
  std::string Service;
  std::string Machine;
  std::string Tenant;
};

class Runs {
public:
  explicit Runs(Record &Log) : Log(Log) {}
  void add(Run New) {
    Log.line("run " + New.Attempt + " by " + New.Service + " on " +
             New.Machine + " for " + New.Tenant);
    std::lock_guard Lock(Mutex);
    All.push_back(std::move(New));
  }
  std::vector<Run> all() {
    std::lock_guard Lock(Mutex);
    return All;
  }

private:
  Record &Log;
  std::mutex Mutex;
  std::vector<Run> All;
};

/// An application upstream: runs requests, answers them signed and complete,
/// and sends heartbeats to the daemon of its machine.
class Upstream {
public:
  Upstream(Runs &All, std::string Machine, std::string Service, std::string Ip,
           Ports Used, int WorkMs)
      : All(All), Machine(std::move(Machine)), Service(std::move(Service)),
        Ip(std::move(Ip)), Used(Used), WorkMs(WorkMs),
        Born(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())),
        Id("i-" + this->Machine) {}

  void start() {
    Http.start(Ip, Used.App,
               [this](const Message &Received) { return answer(Received); });
    if (!SendsHeartbeats)
      return;
    std::thread([this] {
      for (;;) {
        beat();
        sleepMs(1500);
      }
    }).detach();
  }

  /// Ends the upstream: no connection is answered any more, requests that run
  /// are cut.
  void end() { Http.end(); }

  /// Listens again after `end`.
  void startAgain() {
    Http.start(Ip, Used.App,
               [this](const Message &Received) { return answer(Received); });
  }

  std::uint64_t bornMillis() const { return Born; }

  /// States in all answers that the upstream leaves.
  std::atomic<bool> Leaves = false;
  /// Off where a case sends the heartbeats itself.
  bool SendsHeartbeats = true;
  /// Size of the body of each answer, in bytes.
  std::atomic<std::size_t> AnswerBytes = 200;

private:
  std::string answer(const Message &Received) {
    const std::string Attempt = Received.header("X-Attempt-Id");
    if (Received.Target == "/healthz")
      return makeResponse(200, "", {{"X-Instance-Id", Id}});
    const std::string Expected = Received.header("X-Expect-Instance");
    if (!Expected.empty() && Expected != Id)
      return makeResponse(421, "",
                          {{"X-Attempt-Id", Attempt}, {"X-Instance-Id", Id}});
    All.add({nowMs(), Attempt, Service, Machine, Received.header("X-Tenant")});
    sleepMs(WorkMs);
    std::vector<std::pair<std::string, std::string>> Headers{
        {"X-Attempt-Id", Attempt}, {"X-Response-Signature", "s." + Attempt}};
    if (Leaves)
      Headers.emplace_back("Server-Leaving", "1");
    return makeResponse(200, std::string(AnswerBytes, 'x'), Headers);
  }

  void beat() {
    const auto Connection = Stream::connectTo(Ip, Used.Control);
    if (!Connection->valid())
      return;
    const std::string Body =
        "{\"address\":\"" + Ip + ":" + std::to_string(Used.App) +
        "\",\"born\":" + std::to_string(Born) + ",\"info\":{\"service\":\"" +
        Service + "\",\"version\":\"v1\",\"zone\":\"z-a\",\"slots\":99}," +
        "\"status\":{\"state\":\"ready\",\"sequence\":" +
        std::to_string(++Sequence) + ",\"cold_remaining_ms\":0}}";
    Connection->sendAll("PUT /api/instances/" + Id +
                        " HTTP/1.1\r\nHost: control\r\nContent-Type: "
                        "application/json\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body);
    Connection->read(nowMs() + 1000);
  }

  Runs &All;
  const std::string Machine;
  const std::string Service;
  const std::string Ip;
  const Ports Used;
  const int WorkMs;
  const std::uint64_t Born;
  const std::string Id;
  std::uint64_t Sequence = 0;
  Server Http;
};

/// The daemon of a machine, started as the deploy file says.
class Daemon {
public:
  Daemon(std::string Name, std::string Ip, std::string Service,
         std::string StoreIp, Ports Used, std::string Folder)
      : Name(std::move(Name)), Ip(std::move(Ip)), Service(std::move(Service)),
        StoreIp(std::move(StoreIp)), Used(Used), Folder(std::move(Folder)) {}

  void start(bool FirstStart) {
    const std::string File = Folder + "/" + Name + ".toml";
    std::ofstream(File) << settings(FirstStart);
    const std::string Output = Folder + "/" + Name + ".log";
    const std::string Variable = "JACKDAWFLOW_SETTINGS=" + File;
    const pid_t Child = ::fork();
    if (Child == 0) {
      // The daemon ends with this program, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Log =
          ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(Log, 1);
      ::dup2(Log, 2);
      char Program[] = "target/bin/platform/jackdawd";
      char *Arguments[] = {Program, nullptr};
      std::string Home = "HOME=/tmp";
      std::string Path = "PATH=/usr/bin:/bin";
      std::string Settings = Variable;
      char *Environment[] = {Settings.data(), Home.data(), Path.data(),
                             nullptr};
      ::execve(Program, Arguments, Environment);
      ::_exit(127);
    }
    Process = Child;
  }

  /// Ends the process with a signal; after `GraceMs` with SIGKILL.
  void stop(int Signal, std::int64_t GraceMs = 6000) {
    if (Process <= 0)
      return;
    ::kill(Process, Signal);
    const std::int64_t Until = nowMs() + GraceMs;
    int Status = 0;
    while (::waitpid(Process, &Status, WNOHANG) == 0) {
      if (nowMs() > Until)
        ::kill(Process, SIGKILL);
      sleepMs(10);
    }
    Process = -1;
  }

  /// Whether the process has ended by itself.
  bool ended() {
    int Status = 0;
    if (Process > 0 && ::waitpid(Process, &Status, WNOHANG) == Process) {
      Process = -1;
      return true;
    }
    return Process <= 0;
  }

  /// Memory of the process in MB; 0 if it has ended.
  double memoryMb() const {
    std::ifstream File("/proc/" + std::to_string(Process) + "/status");
    for (std::string Line; std::getline(File, Line);)
      if (Line.starts_with("VmRSS:"))
        return std::strtod(Line.c_str() + 6, nullptr) / 1024;
    return 0;
  }

  bool ready() const {
    const auto Connection = Stream::connectTo(Ip, Used.Ready);
    if (!Connection->valid() ||
        !Connection->sendAll("GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n"))
      return false;
    return Connection->read(nowMs() + 1000).Status == 200;
  }

  const std::string Name;
  const std::string Ip;

private:
  std::string settings(bool FirstStart) const {
    const auto At = [this](int Port) {
      return "\"" + Ip + ":" + std::to_string(Port) + "\"\n";
    };
    return "node = \"" + Name +
           "\"\nrole = \"jackdawd\"\nmachine_class = \"sidecar\"\nserves = "
           "[\"sidecar\"]\nip = \"" +
           Ip + "\"\nzone = \"z-a\"\nregion = \"r-a\"\ninternal_ports = [" +
           std::to_string(Used.Peer) + "," + std::to_string(Used.Peer + 15) +
           "]\nseeds = []\nfirst_start = " + (FirstStart ? "true" : "false") +
           "\nheartbeat_ms = 1500\nbounds = [\"stable_window_ms=4000\","
           "\"ack_ms=4000\",\"drain_ms=2500\",\"grace_s=6\","
           "\"config_apply_ms=2500\",\"max_stretch_ms=5000\","
           "\"retry_budget_ratio=0.2\",\"budget_window_s=10\","
           "\"budget_slack=47\",\"quota_window_s=5\",\"quota_overage=0.1\","
           "\"quota_slack=20\",\"recovery_s=15\"]\napp_addr = " +
           At(Used.App) + "service = \"" + Service +
           "\"\n[zones]\nz-a = \"r-a\"\n[listen]\ninbound = " +
           At(Used.Inbound) + "outbound = " + At(Used.Outbound) +
           "ready = " + At(Used.Ready) + "control = " + At(Used.Control) +
           "[limits]\ncpu_share = 0.4\nmemory_mb = 260\nmax_fds = 4100\n"
           "link_mbps = 1000.0\n[platform]\naddress = \"" +
           StoreIp + ":" + std::to_string(Used.Store) +
           "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
           "keep_s = 300\n";
  }

  const std::string Service;
  const std::string StoreIp;
  const Ports Used;
  const std::string Folder;
  pid_t Process = -1;
};

/// A deployment on loopback addresses: a store and machines, each with an
/// upstream and a daemon.
class Deployment {
public:
  /// The file for the record, and a folder for temporary files.
  Deployment(const std::string &RecordPath, const std::string &TemporaryFolder)
      : Log(RecordPath), All(Log), Platform(Log), Folder(TemporaryFolder) {
    ::signal(SIGPIPE, SIG_IGN);
    Prefix = "127." + std::to_string(64 + ::getpid() % 128) + "." +
             std::to_string(::getpid() / 128 % 250) + ".";
    Used = freePorts();
    Platform.start(ip(250), Used.Store);
  }

  ~Deployment() { end(); }

  /// Ends all processes that were started.
  void end() {
    for (auto &Each : Daemons)
      Each->stop(SIGKILL);
    Daemons.clear();
  }

  /// Ends all processes, writes the result and exits.
  [[noreturn]] void finish(int Code, const std::string &Result) {
    Log.line(Result);
    std::printf("%s\n", Result.c_str());
    std::fflush(stdout);
    end();
    std::_Exit(Code);
  }

  std::string ip(int Number) const { return Prefix + std::to_string(Number); }

  void addMachine(const std::string &Service, int WorkMs) {
    const int Number = static_cast<int>(Daemons.size()) + 1;
    const std::string Name = "m" + std::to_string(Number);
    Upstreams.push_back(std::make_unique<Upstream>(All, Name, Service,
                                                   ip(Number), Used, WorkMs));
    Daemons.push_back(std::make_unique<Daemon>(Name, ip(Number), Service,
                                               ip(250), Used, Folder));
  }

  void startAll() {
    for (auto &Each : Daemons)
      Each->start(true);
    for (auto &Each : Upstreams)
      Each->start();
  }

  /// Waits until all daemons are ready; false after `LimitMs`.
  bool waitReady(std::int64_t LimitMs) {
    const std::int64_t Until = nowMs() + LimitMs;
    for (auto &Each : Daemons)
      while (!Each->ready()) {
        if (nowMs() > Until)
          return false;
        sleepMs(50);
      }
    Log.line("all daemons are ready");
    return true;
  }

  Record Log;
  Runs All;
  Store Platform;
  Ports Used;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  std::vector<std::unique_ptr<Daemon>> Daemons;

private:
  /// Whether nothing listens on the port at any of the addresses.
  bool isFree(int Port) const {
    for (const int Type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int Socket = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
      sockaddr_in Address{};
      Address.sin_family = AF_INET;
      Address.sin_port = htons(static_cast<std::uint16_t>(Port));
      const bool Free = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                               sizeof(Address)) == 0;
      ::close(Socket);
      if (!Free)
        return false;
    }
    return true;
  }

  Ports freePorts() const {
    std::mt19937 Random(std::random_device{}());
    for (;;) {
      const int Base = 12000 + static_cast<int>(Random() % 700) * 25;
      bool Free = true;
      for (int Offset = 0; Offset < 25; ++Offset)
        Free = Free && isFree(Base + Offset);
      if (Free)
        return {Base,      Base + 16, Base + 17, Base + 18,
                Base + 19, Base + 20, Base + 21};
    }
  }

  const std::string Folder;
  std::string Prefix;
};

/// A route of a configuration.
struct Route {
  std::string Name;
  std::string Prefix;
  std::string Service;
  bool Idempotent = true;
  int TimeoutMs = 2000;
};

/// The configuration as the operator writes it; one tenant.
inline std::string makeConfig(int Version, const std::vector<Route> &Routes,
                              const std::vector<std::string> &Keys,
                              int RatePerS = 0, int Burst = 0) {
  std::string Rules;
  std::map<std::string, bool> Services;
  for (const Route &Each : Routes) {
    Services[Each.Service] = true;
    Rules += std::string(Rules.empty() ? "" : ",") + "{\"name\":\"" +
             Each.Name + "\",\"kind\":\"" +
             (Each.Idempotent ? "idempotent" : "non_idempotent") +
             "\",\"target_latency_ms\":1000,\"priority\":0,\"public\":false,"
             "\"match\":{\"path_prefix\":\"" +
             Each.Prefix + "\"},\"action\":{\"service\":\"" + Each.Service +
             "\",\"timeout_ms\":" + std::to_string(Each.TimeoutMs) +
             ",\"attempts\":2}}";
  }
  std::string KeyList;
  for (const std::string &Each : Keys)
    KeyList += std::string(KeyList.empty() ? "" : ",") + "\"" + Each + "\"";
  std::string Clusters;
  for (const auto &[Name, Known] : Services)
    Clusters += std::string(Clusters.empty() ? "" : ",") + "{\"name\":\"" +
                Name +
                "\",\"health_check\":\"/healthz\",\"max_connections\":694,"
                "\"protocol\":\"h1\",\"tls\":false}";
  return "{\"version\":" + std::to_string(Version) +
         ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
         "\"name\":\"pulo\",\"api_keys\":[" +
         KeyList + "],\"rate_per_s\":" + std::to_string(RatePerS) +
         ",\"burst\":" + std::to_string(Burst) +
         "}],\"listeners\":[{\"host\":\"site.example\",\"rules\":[" + Rules +
         "]}],\"clusters\":[" + Clusters + "]}";
}

inline std::string makeRequest(const std::string &Method,
                               const std::string &Path,
                               const std::string &Attempt,
                               const std::string &Key, int DeadlineMs,
                               const std::string &Body = "") {
  std::string Text =
      Method + " " + Path +
      " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + Attempt +
      "\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs) +
      "\r\nAuthorization: Token " + Key + "\r\n";
  if (Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

inline std::string newAttempt() {
  static std::atomic<std::uint64_t> Count = 0;
  static const std::uint64_t Seed = std::random_device{}();
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%08llx%08llx",
                static_cast<unsigned long long>(Seed & 0xffffffffU),
                static_cast<unsigned long long>(++Count));
  return Text;
}

/// Whether the disruption is on: `TROUBLE=0` turns it off.
inline bool trouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace harness

#endif // REVIEW_COMMON_3_HARNESS_H
