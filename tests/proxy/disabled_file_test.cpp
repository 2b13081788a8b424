// SPDX-License-Identifier: Apache-2.0
//
// The format of the file of disabled backends, and its lock.
#include "proxy/control/disabled_file.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

using proxy::DecodeDisabledIds;
using proxy::DisabledFile;
using proxy::EncodeDisabledIds;
using Ids = std::set<std::string>;

TEST(DisabledFile, EncodesSortedIdsOnOneLine) {
  EXPECT_EQ(EncodeDisabledIds({}), "{\"disabled\":[]}\n");
  EXPECT_EQ(EncodeDisabledIds({"s-2", "s-1"}), "{\"disabled\":[\"s-1\",\"s-2\"]}\n");
  EXPECT_EQ(EncodeDisabledIds({"a\"\n"}), "{\"disabled\":[\"a\\\"\\n\"]}\n");
  EXPECT_EQ(EncodeDisabledIds({"a\xff"}), "{\"disabled\":[\"a\xef\xbf\xbd\"]}\n") << "invalid UTF-8";
}

TEST(DisabledFile, DecodesIdsAndIgnoresOtherKeys) {
  EXPECT_EQ(DecodeDisabledIds("{\"disabled\":[\"s-1\",\"s-2\",\"s-1\"],\"other\":1}"), (Ids{"s-1", "s-2"}));
  EXPECT_EQ(DecodeDisabledIds(" {\"disabled\":[]}"), Ids{});
}

TEST(DisabledFile, RejectsTextThatIsNotAListOfIds) {
  for (const char* text : {"", "7", "[]", "{}", "{\"disabled\":{}}", "{\"disabled\":[1]}",
                           "{\"disabled\":[\"s-", "{\"disabled\":null}"})
    EXPECT_FALSE(DecodeDisabledIds(text)) << text;
}

TEST(DisabledFile, RejectsMoreIdsThanTheLimit) {
  nlohmann::json ids(proxy::kMaxDisabledBackends, "s-1");
  EXPECT_TRUE(DecodeDisabledIds(nlohmann::json{{"disabled", ids}}.dump()));
  ids.push_back("s-1");
  EXPECT_FALSE(DecodeDisabledIds(nlohmann::json{{"disabled", ids}}.dump()));
}

TEST(DisabledFile, StoresTheEncodedBytesAndLeavesNoTemporaryFile) {
  const TemporaryFolder folder;
  const DisabledFile file(folder.path + "/disabled.json");
  EXPECT_EQ(file.Version(), DisabledFile::kAbsent);
  EXPECT_FALSE(file.Load());
  ASSERT_TRUE(file.Store({"s-1"}));
  std::ifstream in(file.path(), std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  EXPECT_EQ(text, "{\"disabled\":[\"s-1\"]}\n");
  EXPECT_EQ(file.Load(), Ids{"s-1"});
  const std::string version = file.Version();
  ASSERT_TRUE(file.Store({"s-2"}));
  EXPECT_NE(file.Version(), version);
  const std::filesystem::directory_iterator entries(folder.path);
  EXPECT_EQ(std::distance(begin(entries), end(entries)), 1);
}

TEST(DisabledFile, TheLockIsExclusive) {
  const TemporaryFolder folder;
  const DisabledFile file(folder.path + "/disabled.json");
  {
    const DisabledFile::Lock first(file);
    EXPECT_TRUE(first.acquired());
    const DisabledFile::Lock second(file);
    EXPECT_FALSE(second.acquired());
  }
  EXPECT_TRUE(DisabledFile::Lock(file).acquired());
}

}  // namespace
}  // namespace copperpoint::testing
