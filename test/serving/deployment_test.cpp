#include "cicadaport/serving/deployment.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

route make_route(const std::string& host, const std::string& prefix)
{
    route out;
    out.name = host + prefix;
    out.host = host;
    out.path_prefix = prefix;
    out.shares = {{"a", 3}, {"b", 1}};
    return out;
}

TEST(deployment_test, picks_the_longest_prefix_of_the_host)
{
    const deployment all{
        1, {make_route("h", "/x/"), make_route("h", "/x/y/"), make_route("g", "/x/y/z/")}, {}, {}};
    EXPECT_EQ(all.find_route("h", "/x/y/z/1")->path_prefix, "/x/y/");
    EXPECT_EQ(all.find_route("h", "/x/1")->path_prefix, "/x/");
    EXPECT_EQ(all.find_route("h", "/x"), nullptr);
    EXPECT_EQ(all.find_route("other", "/x/"), nullptr);
}

TEST(deployment_test, divides_requests_by_weight)
{
    const auto split = make_route("h", "/");
    EXPECT_EQ(deployment::pick_service(split, 0.0), "a");
    EXPECT_EQ(deployment::pick_service(split, 0.74), "a");
    EXPECT_EQ(deployment::pick_service(split, 0.76), "b");
}

} // namespace
} // namespace cicadaport::serving
