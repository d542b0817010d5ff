#include "publish/tests/support.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>

#include <stdlib.h>
#include <sys/wait.h>

using namespace publish;
using namespace publish::testing;
using standins::LogStandIn;

namespace {

/// A temporary directory that is removed by the destructor.
class TemporaryDirectory {
public:
  TemporaryDirectory() : Path(mkdtemp(Pattern.data())) {}
  ~TemporaryDirectory() { std::filesystem::remove_all(Path); }

  void write(const std::string &File, const std::string &Text) const {
    std::ofstream(Path / File) << Text;
  }
  std::string str() const { return Path.string(); }

private:
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "publish-XXXXXX").string();
  std::filesystem::path Path;
};

/// Exit status and output of a finished process.
struct ProcessResult {
  int Status = -1;
  std::string Output;
};

/// Runs the binary. `Prefix` is put before the command and may set environment
/// variables or pipe in standard input.
ProcessResult run(const std::string &Flags, const std::string &Prefix = "") {
  const std::string Command =
      Prefix + " " + PUBLISH_BINARY + " " + Flags + " 2>&1";
  FILE *Pipe = popen(Command.c_str(), "r");
  REQUIRE(Pipe);
  ProcessResult Result;
  std::array<char, 4096> Block{};
  while (const std::size_t Size = fread(Block.data(), 1, Block.size(), Pipe))
    Result.Output.append(Block.data(), Size);
  Result.Status = WEXITSTATUS(pclose(Pipe));
  return Result;
}

bool contains(const ProcessResult &Result, const std::string &Part) {
  return Result.Output.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("the binary publishes a directory once and prints the changes") {
  const LogStandIn Log;
  const TemporaryDirectory Files;
  Files.write("orders.toml", serviceText());
  Files.write("notes.txt", "not a service file");
  const std::string Flags = "--files " + Files.str() + " --log " + Log.url();
  const ProcessResult First = run(Flags + " --operator ann");
  CHECK(First.Status == 0);
  CHECK(contains(First, "add orders.toml"));
  CHECK(contains(First, "orders.toml: accepted as version 1"));
  const ProcessResult Second =
      run("--timeout 5",
          "JACKDAW_FILES=" + Files.str() + " JACKDAW_LOG=" + Log.url());
  CHECK(Second.Status == 0);
  CHECK(contains(Second, "configuration version 1"));
  Files.write("orders.toml", serviceText("new"));
  const ProcessResult Late = run(Flags + " --since 0");
  CHECK(Late.Status == 3);
  CHECK(contains(Late, "version 1 of ann is newer"));
  CHECK(Log.end() == 1);
}

TEST_CASE("the binary reports all errors and publishes nothing") {
  const LogStandIn Log;
  const TemporaryDirectory Files;
  Files.write("a.toml", serviceText());
  Files.write("b.toml", "[backend]\nslots = 0\nconnections = 0\n");
  const ProcessResult Result =
      run("--files " + Files.str() + " --log " + Log.url());
  CHECK(Result.Status == 1);
  CHECK(contains(Result, "b.toml:2: \"slots\""));
  CHECK(contains(Result, "b.toml:3: \"connections\""));
  CHECK(contains(Result, "b.toml: at least one [[route]]"));
  CHECK(Log.end() == 0);
}

TEST_CASE("--check and --digest need no platform log, and wrong usage has its "
          "own exit status") {
  const TemporaryDirectory Files;
  CHECK(run("--check --files " + Files.str()).Status == 1);
  Files.write("a.toml", serviceText());
  const ProcessResult Check = run("--check --files " + Files.str());
  CHECK(Check.Status == 0);
  CHECK(contains(Check, "1 files are valid"));
  const ProcessResult Digest = run("--digest", "echo key-of-acme |");
  CHECK(Digest.Output == config::digestKey("key-of-acme").str() + "\n");
  CHECK(run("--digest", "echo |").Status == 2);
  CHECK(run("--files " + Files.str()).Status == 2);
  CHECK(run("--colour").Status == 2);
  CHECK(run("--check --timeout x --files " + Files.str()).Status == 2);
  CHECK(contains(run("--help"), "Exit status"));
}

TEST_CASE("an unreachable log has its own exit status") {
  const TemporaryDirectory Files;
  Files.write("a.toml", serviceText());
  const ProcessResult Result =
      run("--timeout 1 --log http://127.0.0.1:1 --files " + Files.str());
  CHECK(Result.Status == 4);
  CHECK(contains(Result, "nothing was published: unavailable"));
}
