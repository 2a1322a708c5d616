#include "cicadaport/serving/request_digest.h"

#include <gtest/gtest.h>

#include <set>

namespace cicadaport::serving {
namespace {

struct request_parts {
    std::string method = "POST";
    std::string target = "/a/b?c=1";
    std::string host = "h.example";
    std::string caller = "k";
    std::string body = "body";

    std::uint64_t digest() const
    {
        transport::message_head head;
        head.method = method;
        head.target = target;
        request_metadata metadata;
        metadata.host = host;
        metadata.caller = caller;
        return request_digest(head, metadata, body);
    }
};

TEST(request_digest_test, is_the_same_in_every_build)
{
    EXPECT_EQ(request_parts{}.digest(), 0xbe1375800e57a9cULL);
}

TEST(request_digest_test, differs_with_each_part_and_with_their_boundaries)
{
    const std::vector<request_parts> different{
        {},
        {.method = "PUT"},
        {.target = "/a/b?c=2"},
        {.host = "i.example"},
        {.caller = ""},
        {.body = "body2"},
        {.target = "/a/b?c=1h", .host = ".example"},
        {.caller = "kb", .body = "ody"},
        {.body = ""},
    };
    std::set<std::uint64_t> digests;
    for (const auto& each : different) {
        digests.insert(each.digest());
    }
    EXPECT_EQ(digests.size(), different.size());
}

TEST(request_digest_test, ignores_what_changes_with_each_attempt)
{
    transport::message_head head;
    request_metadata metadata;
    const auto before = request_digest(head, metadata, "x");
    head.fields.add("Request-Id", "1");
    metadata.id = "1";
    metadata.time_left = milliseconds{5};
    EXPECT_EQ(request_digest(head, metadata, "x"), before);
}

} // namespace
} // namespace cicadaport::serving
