// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/admin_query.h"

#include <gtest/gtest.h>

namespace copperpoint::proxy {
namespace {

using Result = std::variant<std::string, QueryError>;

TEST(AdminQuery, FindsTheParameterAmongOthers) {
  EXPECT_EQ(QueryParameter("member=s-1", "member"), Result("s-1"));
  EXPECT_EQ(QueryParameter("x=1&member=s-1&members=2", "member"), Result("s-1"));
  EXPECT_EQ(QueryParameter("&member=a=b&", "member"), Result("a=b"));
}

TEST(AdminQuery, DecodesPercentSigns) {
  EXPECT_EQ(QueryParameter("member=s%2D1%2d%00", "member"), Result(std::string("s-1-\0", 5)));
  for (const char* query : {"member=%", "member=%2", "member=%2g", "member=%g2", "member=a%"})
    EXPECT_EQ(QueryParameter(query, "member"), Result(QueryError::kMalformed)) << query;
}

TEST(AdminQuery, RejectsAbsentEmptyAndDuplicateParameters) {
  for (const char* query : {"", "&", "x=1", "member", "member=", "Member=s-1"})
    EXPECT_EQ(QueryParameter(query, "member"), Result(QueryError::kMissing)) << query;
  EXPECT_EQ(QueryParameter("member=a&member=a", "member"), Result(QueryError::kDuplicate));
  // The first error in the query is reported.
  EXPECT_EQ(QueryParameter("member=a&member=%", "member"), Result(QueryError::kDuplicate));
}

}  // namespace
}  // namespace copperpoint::proxy
