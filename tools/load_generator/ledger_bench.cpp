// Measures the ledger on disk: postings per second for a given commit size, and the time to read the postings
// back at startup.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>

#include "ledger/book.hpp"
#include "storage/files.hpp"
#include "storage/log.hpp"

namespace {

using namespace mountflow;

double Seconds(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
}

ledger::BillingRules Rules() {
  ledger::BillingRules rules;
  rules.prices = {{"", "", 0, 3'600'000, 1'000}};
  return rules;
}

template <typename Error>
int Fail(const Error& error) {
  std::fprintf(stderr, "%s\n", Describe(error).c_str());
  return 1;
}

ledger::AttemptUsage UseOf(std::uint64_t i) {
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
      const auto posted = book.Post(0, UseOf(i));
      if (!posted) return Fail(posted.error());
      for (const ledger::Record& record : *posted) {
        if (const auto applied = book.Apply(record); !applied) return Fail(applied.error());
        records.push_back(ledger::EncodeRecord(record));
      }
      if (records.size() < batch && i + 1 < count) continue;
      if (const auto committed = log.Commit(records); !committed) return Fail(committed.error());
      records.clear();
    }
    std::printf("%llu postings, %zu a commit: %.0f a second\n",
                static_cast<unsigned long long>(book.last_sequence()), batch,
                static_cast<double>(book.last_sequence()) / Seconds(from));
  }
  const auto from = std::chrono::steady_clock::now();
  const auto files = storage::PosixFiles::Open(folder);
  if (!files) return Fail(files.error());
  storage::Log log(files->get(), {});
  ledger::Book book(Rules());
  storage::Replay replay;
  replay.record = [&](std::uint64_t, std::string_view bytes) {
    const ledger::LedgerStatus applied = ledger::DecodeRecord(bytes).and_then(
        [&](ledger::Record record) { return book.Apply(std::move(record)); });
    if (!applied) Fail(applied.error());
  };
  std::vector<storage::RecoveryNotice> notices;
  if (const auto opened = log.Open(replay, &notices); !opened) return Fail(opened.error());
  std::printf("read back %llu in %.2f s\n", static_cast<unsigned long long>(book.last_sequence()),
              Seconds(from));
  std::filesystem::remove_all(folder);
  return book.last_sequence() == count ? 0 : 1;
}
