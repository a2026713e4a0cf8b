// Tests of directives in job scripts.
#include "cli/directives.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mountflow {
namespace {

TEST(Directives, EndAtTheFirstCommandLine) {
  const auto arguments = cli::ReadDirectives(
      "#!/bin/sh\n# a comment\n\n  #PBS -N recount -l ncpus=2\n#PBS -v \"A=x y\",B='z'\necho\n#PBS -q late\n",
      "#PBS");
  ASSERT_TRUE(arguments);
  EXPECT_EQ(*arguments, (std::vector<std::string>{"-N", "recount", "-l", "ncpus=2", "-v", "A=x y,B=z"}));
  EXPECT_EQ(cli::ReadDirectives("#JOB -h\n#PBS -N x\n", "#JOB").value(), std::vector<std::string>{"-h"});
  EXPECT_TRUE(cli::ReadDirectives("#PBS -h\n", "").value().empty());
  const auto open_quote = cli::ReadDirectives("\n#PBS -N 'open\n", "#PBS");
  ASSERT_FALSE(open_quote);
  EXPECT_NE(cli::Describe(open_quote.error()).find("script line 2"), std::string::npos);
  EXPECT_FALSE(cli::ReadDirectives("#PBS " + std::string(10'000, 'x'), "#PBS"));
}

}  // namespace
}  // namespace mountflow
