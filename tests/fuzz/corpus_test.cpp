// Runs the fuzz targets on their corpus as plain tests: on whole files, on truncated files and on files with
// one changed byte.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "tools/fuzz/targets.hpp"

namespace mountflow::fuzz {
namespace {

class Corpus : public ::testing::TestWithParam<Target> {};

TEST_P(Corpus, PassesOnWholeTruncatedAndChangedFiles) {
  std::size_t files = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(MOUNTFLOW_CORPUS) + "/" + GetParam().name)) {
    std::ifstream in(entry.path(), std::ios::binary);
    std::ostringstream all;
    all << in.rdbuf();
    const std::string text = all.str();
    ++files;
    GetParam().run(text);
    // Checking a configuration is slow, so fewer positions of it are tried.
    const std::size_t step =
        std::string(GetParam().name) == "config" ? text.size() / 20 + 1 : text.size() / 400 + 1;
    for (std::size_t at = 0; at < text.size(); at += step) {
      GetParam().run(std::string_view(text).substr(0, at));
      for (const char c : {'\0', '9', '+', '\xff', '"'}) {
        std::string changed = text;
        changed[at] = c;
        GetParam().run(changed);
      }
    }
  }
  EXPECT_GT(files, 0u);
}

INSTANTIATE_TEST_SUITE_P(Targets, Corpus, ::testing::ValuesIn(kTargets),
                         [](const auto& target) { return std::string(target.param.name); });

}  // namespace
}  // namespace mountflow::fuzz
