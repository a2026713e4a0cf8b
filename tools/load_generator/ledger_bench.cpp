// Measures the ledger on disk: postings a second by the size of a commit, and the time to read them back at a
// start.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>

#include "ledger/book.hpp"
#include "storage/log.hpp"

namespace {

using namespace mountflow;

double Seconds(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
}

ledger::Rules Rules() {
  ledger::Rules rules;
  std::string expected;
  ledger::Zone::Parse("UTC0", &rules.zone, &expected);
  rules.prices = {{"", "", 0, 3'600'000, 1'000}};
  return rules;
}

int Fail(const storage::StorageError& error) {
  std::fprintf(stderr, "%s\n", Describe(error).c_str());
  return 1;
}

ledger::Use UseOf(std::uint64_t i) {
  constexpr Micros kStart = 1'796'083'200'000'000;
  const Micros from = kStart + i * 1'000;
  return {std::to_string(1'796'083'200'000'00ull + i) + ".d0/1",
          "shop-" + std::to_string(i % 40),
          "service",
          "small",
          from,
          from + 60'000'000,
          1'500,
          2'048};
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"mountflow-ledger-bench: postings a second with durable commits, and recovery, in FOLDER"};
  std::string folder;
  std::uint64_t count = 1'000'000;
  std::size_t batch = 1'000;
  app.add_option("folder", folder, "made, and removed at the end")->required();
  app.add_option("--count", count, "postings");
  app.add_option("--batch", batch, "postings a commit")->check(CLI::Range(1, 1'000'000));
  CLI11_PARSE(app, argc, argv);
  std::string error;
  {
    const auto files = storage::PosixFiles::Open(folder);
    if (!files) return Fail(files.error());
    storage::Log log(files->get(), {});
    std::vector<storage::RecoveryNotice> notices;
    if (const auto opened = log.Open({}, &notices); !opened) return Fail(opened.error());
    ledger::Book book(Rules());
    std::vector<std::string> records;
    const auto from = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < count; ++i) {
      const ledger::Decision decision = book.Post(0, UseOf(i));
      for (const ledger::Record& r : decision.records) {
        if (!book.Apply(r, &error)) return 1;
        records.push_back(ledger::Write(r));
      }
      if (records.size() < batch && i + 1 < count) continue;
      if (const auto committed = log.Commit(records); !committed) return Fail(committed.error());
      records.clear();
    }
    std::printf("%llu postings, %zu a commit: %.0f a second\n", static_cast<unsigned long long>(book.last()),
                batch, static_cast<double>(book.last()) / Seconds(from));
  }
  const auto from = std::chrono::steady_clock::now();
  const auto files = storage::PosixFiles::Open(folder);
  if (!files) return Fail(files.error());
  storage::Log log(files->get(), {});
  ledger::Book book(Rules());
  storage::Replay replay;
  replay.record = [&](std::uint64_t, std::string_view bytes) {
    ledger::Record record;
    if (!ledger::Read(bytes, &record, &error) || !book.Apply(std::move(record), &error))
      std::fprintf(stderr, "%s\n", error.c_str());
  };
  std::vector<storage::RecoveryNotice> notices;
  if (const auto opened = log.Open(replay, &notices); !opened) return Fail(opened.error());
  std::printf("read back %llu in %.2f s\n", static_cast<unsigned long long>(book.last()), Seconds(from));
  std::filesystem::remove_all(folder);
  return book.last() == count ? 0 : 1;
}
