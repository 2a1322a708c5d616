#include "platform/settings.h"
#include "platform/wire.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <limits>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;
using ::testing::Not;

const wire adapter{http::address{"10.0.0.1", 80}};

transport::message_head head(std::initializer_list<http::field> fields)
{
    transport::message_head out;
    out.method = "POST";
    out.target = "/p/q?x=1";
    out.fields = fields;
    return out;
}

// A head full of fields and connection options took the event loop for most of a second.
TEST(wire_test, compares_the_fields_of_a_head_with_all_connection_options_at_once)
{
    constexpr int count = 8'000;
    constexpr int request_count = 50;
    auto large = head({{"Host", "h"}});
    std::string options = "x-0";
    for (int index = 1; index < count; ++index) {
        options += ",X-" + std::to_string(index);
        large.fields.add("x-" + std::to_string(index), "");
    }
    large.fields.add("Connection", options);
    const auto begun = std::chrono::steady_clock::now();
    for (int request = 0; request < request_count; ++request) {
        EXPECT_THAT(adapter.run_request(large, "", {}), Not(HasSubstr("x-7:")));
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 10s);
}

// Each segment was looked up for each engine, however many a caller named.
TEST(wire_test, bounds_the_segments_of_a_prompt)
{
    constexpr std::size_t max_segments = 256;
    std::string parts;
    for (std::size_t part = 0; part <= max_segments; ++part) {
        parts += (parts.empty() ? "" : ",") + std::to_string(part) + ":1";
    }
    const auto read = adapter.read_request(head({{"Host", "h"}, {"Prompt-Prefix", parts}}));
    EXPECT_EQ(read.prompt.size(), max_segments);
}

// The time left overflowed when it was converted.
TEST(wire_test, a_negative_time_left_is_none)
{
    const auto read = adapter.read_request(
        head({{"Host", "h"},
              {"Deadline-Ms", std::to_string(std::numeric_limits<std::int64_t>::min())}}));
    EXPECT_EQ(read.time_left, 0ms);
}

// Parsing nested JSON takes many times its size.
TEST(wire_test, a_large_answer_to_a_prefill_is_not_parsed)
{
    const std::string handle = R"("kv-handle":"h")";
    EXPECT_EQ(adapter.read_kv_handle("{" + handle + "}"), "h");
    const std::string filling(1'000'000, ' ');
    EXPECT_EQ(adapter.read_kv_handle("{" + filling + handle + "}"), std::nullopt);
}

TEST(wire_test, parses_a_request_head)
{
    const auto terms =
        adapter.read_request(head({{"Host", "Shop.example:80"},
                                   {"Request-Id", "ab"},
                                   {"Deadline-Ms", "800"},
                                   {"Token-Count", "1460,80"},
                                   {"Prompt-Prefix", "5c1e07a2:800, 91bd3f06:660"}}));
    EXPECT_EQ(terms.host, "shop.example");
    EXPECT_EQ(terms.path, "/p/q");
    EXPECT_EQ(terms.id, "ab");
    EXPECT_EQ(terms.time_left, serving::milliseconds{800});
    EXPECT_EQ(terms.prompt_tokens, 1'460U);
    EXPECT_EQ(terms.max_output_tokens, 80U);
    ASSERT_EQ(terms.prompt.size(), 2U);
    EXPECT_EQ(terms.prompt[0].id, 0x5c1e07a2U);
    EXPECT_EQ(terms.prompt[1].tokens, 660U);
    EXPECT_FALSE(terms.last_event_id);
}

TEST(wire_test, parses_the_head_of_a_request_that_continues_a_stream)
{
    const auto terms = adapter.read_request(
        head({{"Host", "h"}, {"Request-Id", "ab"}, {"Last-Event-Id", "7"}, {"Resumes", "cd"}}));
    EXPECT_EQ(terms.last_event_id, "7");
    EXPECT_EQ(terms.resumed_request, "cd");
}

TEST(wire_test, rejects_a_request_with_no_or_two_hosts)
{
    EXPECT_THROW(adapter.read_request(head({})), serving::invalid_request);
    EXPECT_THROW(adapter.read_request(head({{"Host", "a"}, {"host", "b"}})),
                 serving::invalid_request);
}

TEST(wire_test, replaces_a_callers_kv_fetch_field_with_the_engine_that_has_the_prefix)
{
    serving::run_parameters terms;
    terms.only_prefill = true;
    const auto caller = head({{"Host", "a"}, {"Kv-Fetch", "9.9.9.9:9"}});
    EXPECT_THAT(adapter.run_request(caller, "", terms), Not(HasSubstr("Kv-Fetch")));
    terms.prefix_source = http::address{"10.1.0.2", 8'080};
    const auto sent = adapter.run_request(caller, "", terms);
    EXPECT_THAT(sent, HasSubstr("Kv-Fetch: 10.1.0.2:8080\r\n"));
    EXPECT_THAT(sent, Not(HasSubstr("9.9.9.9")));
}

TEST(wire_test, forwards_a_request_without_fields_that_only_the_system_may_set)
{
    serving::run_parameters terms;
    terms.endpoint = "i-1";
    terms.time_left = serving::milliseconds{500};
    const auto sent = adapter.run_request(head({{"Host", "a"},
                                                {"Model", "m"},
                                                {"X-Own", "1"},
                                                {"Connection", "X-Hop, Model"},
                                                {"X-Hop", "1"},
                                                {"Kv-Source", "1.2.3.4:5/x"},
                                                {"kv-hold", "h"},
                                                {"Pin-Ms", "9"},
                                                {"Serving-Stage", "prefill"},
                                                {"Request-Priority", "0"},
                                                {"Target-Instance", "i-9"},
                                                {"Expected-Version", "7"},
                                                {"Deadline-Ms", "99999"},
                                                {"Transfer-Encoding", "chunked"}}),
                                          "body", terms);
    EXPECT_THAT(sent, HasSubstr("POST /p/q?x=1 HTTP/1.1\r\n"));
    EXPECT_THAT(sent, HasSubstr("\r\nModel: m\r\n")) << "kept although Connection names it";
    EXPECT_THAT(sent, HasSubstr("X-Own: 1"));
    EXPECT_THAT(sent, HasSubstr("Deadline-Ms: 500\r\n"));
    EXPECT_THAT(sent, HasSubstr("Target-Instance: i-1\r\n"));
    EXPECT_THAT(sent, HasSubstr("Content-Length: 4\r\n"));
    EXPECT_TRUE(sent.ends_with("\r\n\r\nbody"));
    for (const auto* dropped :
         {"X-Hop", "Kv-", "kv-hold", "Pin-Ms", "Serving-Stage", "Request-Priority", "i-9",
          "Expected-Version", "99999", "Transfer-Encoding"}) {
        EXPECT_THAT(sent, Not(HasSubstr(dropped)));
    }
}

TEST(wire_test, a_relayed_request_names_the_stream_and_the_attempts_left_but_no_replica)
{
    serving::run_parameters terms;
    terms.after_event = "7";
    terms.resumed_request = "cd";
    terms.attempts_left = 1;
    const auto caller = head({{"Host", "a"}, {"Resumes", "x"}, {"Attempts-Left", "9"}});
    const auto sent = adapter.run_request(caller, "", terms);
    EXPECT_THAT(sent, HasSubstr("Resumes: cd\r\n"));
    EXPECT_THAT(sent, HasSubstr("Last-Event-Id: 7\r\n"));
    EXPECT_THAT(sent, HasSubstr("Attempts-Left: 1\r\n"));
    EXPECT_THAT(sent, Not(HasSubstr("Attempts-Left: 9")));
    EXPECT_THAT(sent, Not(HasSubstr("Target-Instance")));
    EXPECT_EQ(adapter.read_request(head({{"Host", "a"}, {"Attempts-Left", "2"}})).attempts_left,
              2U);
}

TEST(wire_test, parses_the_leaving_and_retry_after_fields_of_a_response)
{
    const auto terms = [](unsigned status, const std::string& name, const std::string& value) {
        transport::message_head answer;
        answer.status = status;
        answer.fields.add(name, value);
        return adapter.read_answer(answer);
    };
    EXPECT_TRUE(terms(200, "Server-Leaving", "1").is_leaving);
    EXPECT_FALSE(terms(200, "Server-Leaving", "0").is_leaving);
    EXPECT_FALSE(terms(200, "X-Other", "1").is_leaving);
    EXPECT_EQ(terms(503, "Retry-After", "1.5").requested_backoff, 1'500ms);
    EXPECT_EQ(terms(503, "Retry-After", " 2 ").requested_backoff, 2'000ms);
    EXPECT_EQ(terms(503, "Retry-After", "86400").requested_backoff, 60'000ms) << "the maximum";
    EXPECT_EQ(terms(503, "Retry-After", "1e300").requested_backoff, 60'000ms);
    for (const auto* nonsense : {"-1", "nan", "inf", "soon", "", "1 2"}) {
        EXPECT_EQ(terms(503, "Retry-After", nonsense).requested_backoff, std::nullopt) << nonsense;
    }
    EXPECT_EQ(terms(429, "Retry-After", "1").requested_backoff, std::nullopt);
}

TEST(wire_test, parses_the_advertised_limit_of_a_replica)
{
    const auto terms = [](unsigned status, const std::string& value) {
        transport::message_head answer;
        answer.status = status;
        answer.fields.add("Server-Limit", value);
        return adapter.read_answer(answer);
    };
    EXPECT_EQ(terms(200, "5.6").requests_per_second, 5.6);
    EXPECT_EQ(terms(503, " 1 ").requests_per_second, 1.0);
    EXPECT_EQ(terms(200, "0").requests_per_second, 0.0);
    for (const auto* nonsense : {"-1", "nan", "inf", "few", "", "1 2"}) {
        EXPECT_EQ(terms(200, nonsense).requests_per_second, std::nullopt) << nonsense;
        EXPECT_TRUE(terms(200, nonsense).has_advertised_limit)
            << "an unreadable limit has not ended";
    }
    EXPECT_FALSE(adapter.read_answer({}).has_advertised_limit);
    transport::message_head twice;
    twice.fields.add("Server-Limit", "7");
    twice.fields.add("server-limit", "few");
    twice.fields.add("Server-Limit", "3");
    EXPECT_EQ(adapter.read_answer(twice).requests_per_second, 3.0) << "the lowest";
}

TEST(wire_test, reports_the_unknown_fields_of_a_response)
{
    transport::message_head answer;
    for (const auto* known : {"Request-Id", "response-seal", "Server-Leaving", "Content-Type",
                              "Connection", "Weight-Versions"}) {
        answer.fields.add(known, "1");
    }
    answer.fields.add("Server-Mood", "1");
    EXPECT_THAT(adapter.read_answer(answer).unknown_fields, ::testing::ElementsAre("Server-Mood"));
}

TEST(wire_test, sends_the_kv_source_and_the_event_to_resume_after)
{
    serving::run_parameters terms;
    terms.endpoint = "i-1";
    terms.urgency = 3;
    terms.from = serving::prompt_kv_cache{{"1.2.3.4", 5}, "h"};
    terms.after_event = "41";
    const auto sent = adapter.run_request(head({{"Host", "a"}, {"Last-Event-Id", "7"}}), "", terms);
    EXPECT_THAT(sent, HasSubstr("Kv-Source: 1.2.3.4:5/h\r\n"));
    EXPECT_THAT(sent, HasSubstr("Request-Priority: 3\r\n"));
    EXPECT_THAT(sent, HasSubstr("Last-Event-Id: 41\r\n"));
    EXPECT_THAT(sent, Not(HasSubstr("Last-Event-Id: 7")));
}

std::optional<serving::endpoint_report> read_endpoint(const std::string& value)
{
    return adapter.read_endpoint({"i-1", value});
}

TEST(wire_test, parses_an_endpoint_entry)
{
    const auto read = read_endpoint(
        R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":64,)"
        R"("state":"ready","cold-left-ms":0,"stage":"decode","sequence":4,"born":17})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->id, "i-1");
    EXPECT_EQ(read->version, "v1");
    EXPECT_EQ(read->address, (http::address{"10.1.2.3", 80}));
    EXPECT_EQ(read->stage, serving::engine_stage::decode);
    EXPECT_EQ(read->incarnation, 17);
    EXPECT_EQ(read->sequence, 4);
    EXPECT_FALSE(read->leaving);
}

// Returns a complete entry in which the text of one field is replaced.
std::string entry_with(const std::string& field, const std::string& replacement)
{
    std::string out = R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1",)"
                      R"("slots":4,"state":"ready","cold-left-ms":0,"sequence":4,"born":17})";
    return out.replace(out.find(field), field.size(), replacement);
}

TEST(wire_test, an_invalid_endpoint_entry_yields_no_endpoint)
{
    for (const std::string value : {"", "not json", "[]", "{}", R"({"service":1})"}) {
        EXPECT_FALSE(read_endpoint(value)) << value;
    }
    const std::vector<std::pair<std::string, std::string>> replacements{
        {R"("ready")", R"("odd")"},
        {"10.1.2.3:80", "nowhere"},
        {R"("slots":4)", R"("slots":"4")"},
        {R"("born":17)", R"("born":1.5)"},
        {R"("born":17)", R"("born":17,"stage":"x")"},
        {R"("version":"v1")", R"("version":7)"},
        {R"("cold-left-ms":0)", R"("cold-left-ms":"0")"},
    };
    for (const auto& [field, replacement] : replacements) {
        EXPECT_FALSE(read_endpoint(entry_with(field, replacement))) << replacement;
    }
}

// Regression: entries of another writer without slots, sequence or remaining warm-up time were used
// as replicas.
TEST(wire_test, an_endpoint_entry_that_lacks_a_field_yields_no_endpoint)
{
    ASSERT_TRUE(read_endpoint(entry_with("17", "18")));
    for (const std::string field :
         {R"("service":"s",)", R"("address":"10.1.2.3:80",)", R"("zone":"z",)",
          R"("version":"v1",)", R"("slots":4,)", R"("state":"ready",)", R"("cold-left-ms":0,)",
          R"("sequence":4,)"}) {
        EXPECT_FALSE(read_endpoint(entry_with(field, ""))) << field;
    }
}

TEST(wire_test, an_entry_with_a_number_or_port_out_of_range_yields_no_endpoint)
{
    ASSERT_TRUE(read_endpoint(entry_with("17", "18")));
    for (const std::string number : {"1e400", "-1e400", "18446744073709551616", "1e3", "4.0",
                                     "9223372036854775808", "18446744073709551615"}) {
        EXPECT_FALSE(read_endpoint(entry_with(":4,\"born", ":" + number + ",\"born"))) << number;
        EXPECT_FALSE(read_endpoint(entry_with("17", number))) << number;
        EXPECT_FALSE(read_endpoint(entry_with("4", number))) << number;
    }
    for (const std::string slots : {"-1", "4294967296", "4294967300"}) {
        EXPECT_FALSE(read_endpoint(entry_with("4", slots))) << slots;
    }
    for (const std::string port : {"0", "65536", "-1", "1e3", "", "18446744073709551616", "80 "}) {
        EXPECT_FALSE(read_endpoint(entry_with(":80", ":" + port))) << port;
    }
    EXPECT_FALSE(read_endpoint(entry_with(":80", R"(\u0000\r\nX: y:80)")));
}

TEST(wire_test, an_entry_whose_id_is_no_field_value_yields_no_endpoint)
{
    const auto value = entry_with("17", "18");
    for (const std::string id : {"", "i 1", "i-1\r\nX: y", "i\xff", "i\t"}) {
        EXPECT_FALSE(adapter.read_endpoint({id, value})) << id;
    }
}

constexpr std::size_t deep = 100'000;
const std::string deeply_nested = std::string(deep, '[') + std::string(deep, ']');

TEST(wire_test, deeply_nested_json_yields_nothing_and_ends_no_process)
{
    EXPECT_FALSE(read_endpoint(std::string(2 * deep, '[')));
    EXPECT_FALSE(read_endpoint(deeply_nested));
    for (const std::string field : {"\"s\"", "\"10.1.2.3:80\"", "4", "17"}) {
        EXPECT_FALSE(read_endpoint(entry_with(field, deeply_nested)));
    }
    EXPECT_EQ(adapter.read_deployment({"config", deeply_nested}), nullptr);
    for (const std::string field : {"limits", "routes", "services", "version"}) {
        EXPECT_EQ(adapter.read_deployment({"config", R"({"version":1,"routes":[],"services":[],")" +
                                                         field + R"(":)" + deeply_nested + "}"}),
                  nullptr)
            << field;
    }
    EXPECT_EQ(adapter.read_kv_handle(deeply_nested), std::nullopt);
    EXPECT_EQ(adapter.read_status(200, deeply_nested), std::nullopt);
    EXPECT_EQ(adapter.read_append(200, deeply_nested), std::nullopt);
    EXPECT_EQ(adapter.read_first_offset(410, deeply_nested), std::nullopt);
    EXPECT_THROW(adapter.read_newest(200, deeply_nested), serving::store_error);
}

TEST(wire_test, answers_with_fields_of_another_type_yield_nothing)
{
    EXPECT_EQ(adapter.read_status(200, R"({"sequence":1,"busy":"no"})"), std::nullopt);
    EXPECT_EQ(adapter.read_status(200, R"({"sequence":1,"busy":[]})"), std::nullopt);
    for (const std::string offset : {R"("7")", "-1", "1e3", "[]", "null"}) {
        EXPECT_EQ(adapter.read_append(200, R"({"offset":)" + offset + "}"), std::nullopt) << offset;
    }
    for (const std::string handle : {"7", "[]", R"("")", R"("a\r\nX: y")", R"("a b")"}) {
        EXPECT_EQ(adapter.read_kv_handle(R"({"kv-handle":)" + handle + "}"), std::nullopt)
            << handle;
    }
}

TEST(wire_test, a_record_without_a_valid_key_does_not_hide_the_others)
{
    // One record without content, one that is shorter than its key length, and a sound one.
    const std::string odd{"\0\0\0\0\0\0\0\2\5k", 10};
    const std::string sound{"\0\0\0\3\1kv", 7};
    const auto page = adapter.read_records(200, std::string(16, '\0') + odd + sound + odd, 4);
    ASSERT_EQ(page.entries.size(), 1U);
    EXPECT_EQ(page.entries[0].key, "k");
    EXPECT_EQ(page.entries[0].offset, 6U);
    EXPECT_EQ(page.next_offset, 9U);
}

TEST(wire_test, an_item_that_cannot_be_read_does_not_hide_the_others)
{
    const std::string sound = R"({"key":"i-1","value":"dg==","offset":3})";
    for (const std::string odd :
         {R"({"key":7,"value":"dg=="})", R"({"key":"x"})", R"({"key":"x","value":"%"})",
          R"({"key":"x","value":"dg==","offset":"3"})", "[]", "7",
          R"({"key":"\udc80","value":"dg=="})", "{\"key\":\"x\xff\",\"value\":\"dg==\"}",
          "{\"key\":\"x\x01\",\"value\":\"dg==\"}"}) {
        const auto page = adapter.read_newest(200, R"({"items":[)" + odd + "," + sound + "," + odd +
                                                       R"(],"more":false,"end":9})");
        ASSERT_FALSE(page.entries.empty()) << odd;
        const bool has_sound =
            std::any_of(page.entries.begin(), page.entries.end(), [](const auto& each) {
                return each.key == "i-1" && each.value == "v" && each.offset == 3;
            });
        EXPECT_TRUE(has_sound) << odd;
        EXPECT_EQ(page.next_offset, 9U);
    }
}

TEST(wire_test, a_list_is_continued_after_a_key_with_any_bytes)
{
    EXPECT_THAT(adapter.newest_request(serving::feed::endpoints, "a&b c\r\nX: y"),
                HasSubstr("&after=a%26b%20c%0D%0AX%3A%20y HTTP/1.1\r\n"));
    EXPECT_THAT(adapter.newest_request(serving::feed::endpoints, "i-7f3a.91_c2"),
                HasSubstr("&after=i-7f3a.91_c2 HTTP/1.1\r\n"));
}

TEST(wire_test, a_configuration_with_a_number_out_of_range_yields_no_deployment)
{
    const auto with = [](const std::string& version, const std::string& timeout) {
        return adapter.read_deployment(
            {"config", R"({"version":)" + version +
                           R"(,"routes":[{"name":"r","host":"h","path-prefix":"/a/","kind":"safe",)"
                           R"("service":"s","timeout-ms":)" +
                           timeout + R"(}],"services":[]})"});
    };
    EXPECT_NE(with("1", "600"), nullptr);
    for (const std::string number :
         {"-1", "1e400", "18446744073709551616", "1e30", "\"1\"", "[]"}) {
        EXPECT_EQ(with(number, "600"), nullptr) << number << " would hide all later versions";
        EXPECT_EQ(with("1", number), nullptr) << number;
    }
}

TEST(wire_test, parses_a_configuration)
{
    const auto read = adapter.read_deployment(
        {"config",
         R"({"version":7,"routes":[)"
         R"({"name":"r","host":"h","path-prefix":"/a/","kind":"streaming","timeout-ms":8000,)"
         R"("target-latency-ms":250,"priority":1,"service":"s","max-attempts":2,"sticky":true,)"
         R"("resumable":true,"target-gap-ms":150},)"
         R"({"name":"t","host":"h","path-prefix":"/b/","kind":"unsafe","timeout-ms":600,)"
         R"("traffic-split":[{"service":"s","weight":90},{"service":"u","weight":10}]}],)"
         R"("services":[{"name":"s","health-path":"/health","max-conns":360,)"
         R"("engine":{"slots":64,"token-kv-bytes":163840,"link-mbps":1200.5,"switch-s":3.0}}],)"
         R"("limits":{"max-header-bytes":8192,"idle-timeout-ms":9000}})"});
    ASSERT_NE(read, nullptr);
    EXPECT_EQ(read->version(), 7U);
    const auto* stream = read->find_route("h", "/a/x");
    ASSERT_NE(stream, nullptr);
    EXPECT_TRUE(stream->streamed);
    EXPECT_EQ(stream->repeats, serving::repeat_rule::any) << "a resumable stream may be retried";
    EXPECT_EQ(stream->caller_patience, serving::milliseconds{2'000});
    const auto* once = read->find_route("h", "/b/x");
    EXPECT_EQ(once->repeats, serving::repeat_rule::once);
    EXPECT_EQ(once->shares.size(), 2U);
    EXPECT_EQ(read->find_service("s")->engines->switch_time, serving::milliseconds{3'000});
    EXPECT_EQ(read->limits().head_bytes, 8'192U);
    EXPECT_EQ(read->limits().idle_timeout, serving::milliseconds{9'000});
}

TEST(wire_test, parses_how_the_number_of_replicas_may_be_changed)
{
    const auto read = adapter.read_deployment(
        {"config", R"({"version":1,"routes":[],"services":[{"name":"a","scale":{"min":1,"max":46,)"
                   R"("boot-s":4.0,"spot-price":0.18,"zone-prices":{"z":0.85}}},{"name":"b"}]})"});
    ASSERT_NE(read, nullptr);
    EXPECT_FALSE(read->find_service("b")->scale);
    const auto& scale = read->find_service("a")->scale;
    ASSERT_TRUE(scale);
    EXPECT_EQ(scale->min_replicas, 1U);
    EXPECT_EQ(scale->max_replicas, 46U);
    EXPECT_EQ(scale->boot_time, serving::milliseconds{4'000});
    EXPECT_DOUBLE_EQ(scale->reclaimable_price_ratio, 0.18);
    EXPECT_DOUBLE_EQ(scale->zone_prices.at("z"), 0.85);
}

TEST(wire_test, an_order_for_replicas_names_the_kind_only_if_it_is_reclaimable)
{
    EXPECT_EQ(adapter.scale_order("s", {"a", duties::replica_kind::ordinary, 6}),
              R"({"desired":6,"service":"s","zone":"a"})");
    EXPECT_EQ(adapter.scale_order("s", {"a", duties::replica_kind::reclaimable, 0}),
              R"({"desired":0,"service":"s","spot":true,"zone":"a"})");
}

TEST(wire_test, an_invalid_configuration_yields_no_deployment)
{
    EXPECT_EQ(adapter.read_deployment({"config", "{}"}), nullptr);
    EXPECT_EQ(adapter.read_deployment({"config", std::nullopt}), nullptr);
    EXPECT_EQ(adapter.read_deployment({"other", R"({"version":1,"routes":[],"services":[]})"}),
              nullptr);
}

TEST(wire_test, distinguishes_expired_records_from_a_rejection)
{
    const auto kind_of = [](unsigned status) {
        try {
            adapter.read_records(status, "", 0);
        }
        catch (const serving::store_error& error) {
            return std::optional{error.what_kind()};
        }
        return std::optional<serving::store_error::kind>{};
    };
    EXPECT_EQ(kind_of(410), serving::store_error::kind::expired);
    EXPECT_EQ(kind_of(503), serving::store_error::kind::refused);
    EXPECT_EQ(kind_of(200), serving::store_error::kind::refused) << "shorter than its header";
}

TEST(wire_test, reads_the_first_offset_that_is_left_of_expired_records)
{
    EXPECT_EQ(adapter.read_first_offset(410, R"({"first":812})"), 812U);
    EXPECT_EQ(adapter.read_first_offset(200, R"({"first":812})"), std::nullopt);
    for (const std::string_view body : {"", "[]", "{}", R"({"first":"812"})", R"({"first":-1})"}) {
        EXPECT_EQ(adapter.read_first_offset(410, body), std::nullopt) << body;
    }
}

TEST(wire_test, an_append_has_a_condition_only_if_an_offset_is_given)
{
    const std::vector<serving::feed_entry> entries{{"", "value"}};
    EXPECT_THAT(adapter.append_request(serving::feed::stream_origins, entries, std::nullopt),
                Not(HasSubstr("&at=")));
    EXPECT_THAT(adapter.append_request(serving::feed::orders, entries, 0), HasSubstr("&at=0 "));
}

TEST(wire_test, a_truncated_record_is_an_error)
{
    const std::string body = std::string(16, '\0') + std::string{"\0\0\0\5\1kv", 7};
    EXPECT_THROW(adapter.read_records(200, body, 0), serving::store_error);
    EXPECT_EQ(adapter.read_records(200, std::string(16, '\0') + std::string{"\0\0\0\3\1kv", 7}, 4)
                  .next_offset,
              5U);
}

TEST(wire_test, an_order_contains_the_replica_the_fencing_token_and_the_expected_count)
{
    serving::stage_order order;
    order.engine = "i-1";
    order.to = serving::engine_stage::prefill;
    order.holder = "host-1";
    order.fencing_token = 41;
    order.expected_orders = 2;
    const auto sent = adapter.order_request({"1.2.3.4", 5}, order);
    EXPECT_THAT(sent, HasSubstr("Target-Instance: i-1\r\n"));
    EXPECT_THAT(sent, HasSubstr(R"("fencing-token":41)"));
    EXPECT_THAT(sent, HasSubstr(R"("expected":2)"));
    EXPECT_THAT(sent, HasSubstr(R"("stage":"prefill")"));
}

class settings_test : public ::testing::Test {
public:
    ~settings_test() override { std::remove(file.c_str()); }

protected:
    settings_test() : file{std::string{std::tmpnam(nullptr)} + ".toml"} {}

    void write(const std::string& text) const { std::ofstream{file} << text; }

    std::string file;
    const std::string whole = "node-name = \"n\"\nzone = \"z\"\nnew-field = 1\n"
                              "internal-ports = [7380, 7395]\nseeds = [\"10.1.0.2:8144\"]\n"
                              "[listen]\nfront = \"10.1.0.1:1\"\nready = \"10.1.0.1:2\"\n"
                              "[platform]\naddress = \"10.9.0.1:3\"\n"
                              "[bounds]\ngrace-s = 8\nretry-budget-ratio = 0.2\n";
};

TEST_F(settings_test, are_read_and_unknown_fields_are_ignored)
{
    write(whole);
    const auto read = read_settings(file);
    EXPECT_EQ(read.name, "n");
    EXPECT_EQ(read.caller_address, (http::address{"10.1.0.1", 1}));
    EXPECT_EQ(read.store_address, (http::address{"10.9.0.1", 3}));
    EXPECT_EQ(read.peers.own, (http::address{"10.1.0.1", 7380}));
    EXPECT_EQ(read.peers.seed_ips, std::vector<std::string>{"10.1.0.2"});
    EXPECT_EQ(read.grace_time, serving::milliseconds{8'000});
    EXPECT_DOUBLE_EQ(read.attempts.ratio, 0.2);
}

TEST_F(settings_test, take_the_list_timing_from_the_bounds)
{
    write(whole + "config-apply-ms = 1200\ncontact-ms = 1500\ndrain-ms = 900\n");
    const auto read = read_settings(file);
    EXPECT_EQ(read.max_apply_delay, serving::milliseconds{1'200});
    EXPECT_EQ(read.max_recovery_delay, serving::milliseconds{1'500});
    EXPECT_EQ(read.max_leaving_delay, serving::milliseconds{900});
}

TEST_F(settings_test, take_the_limits_of_the_process_from_the_deployment)
{
    write(whole);
    EXPECT_EQ(read_settings(file).max_memory, std::nullopt);
    EXPECT_EQ(read_settings(file).max_descriptors, std::nullopt);
    write(whole + "[limits]\nmemory-mb = 260\nmax-fds = 4100\n");
    EXPECT_EQ(read_settings(file).max_memory, 260'000'000U);
    EXPECT_EQ(read_settings(file).max_descriptors, 4'100U);
    write(whole + "[limits]\nmemory-mb = \"much\"\n");
    EXPECT_THROW(read_settings(file), std::runtime_error);
}

TEST_F(settings_test, take_the_duties_from_the_cloud_interface)
{
    write(whole);
    EXPECT_FALSE(read_settings(file).duties);
    write(whole + "usage-window-s = 4\nusage-late-s = 7\nlease-ms = 2500\n[cloud-api]\n"
                  "address = \"10.9.0.2:4\"\nduties = [\"usage_report\"]\nduty-per-s = 20\n");
    const auto duties = read_settings(file).duties;
    ASSERT_TRUE(duties);
    EXPECT_EQ(duties->address, (http::address{"10.9.0.2", 4}));
    EXPECT_TRUE(duties->reports_usage);
    EXPECT_FALSE(duties->scales);
    EXPECT_DOUBLE_EQ(duties->calls_per_second, 20);
    EXPECT_EQ(duties->usage_window, serving::milliseconds{4'000});
    EXPECT_EQ(duties->usage_due, serving::milliseconds{7'000});
    EXPECT_EQ(duties->lease_time, serving::milliseconds{2'500});
}

TEST_F(settings_test, bound_the_age_of_keys_only_if_revocation_is_strict)
{
    write(whole + "revoke-ms = 5000\nstrict-revoke = false\n");
    EXPECT_FALSE(read_settings(file).max_revocation_delay);
    write(whole + "revoke-ms = 5000\nstrict-revoke = true\n");
    EXPECT_EQ(read_settings(file).max_revocation_delay, serving::milliseconds{5'000});
}

TEST_F(settings_test, report_a_missing_field)
{
    write("node-name = \"n\"\nzone = \"z\"\n");
    try {
        read_settings(file);
        FAIL() << "no error";
    }
    catch (const std::runtime_error& error) {
        EXPECT_THAT(error.what(), HasSubstr("listen.front"));
    }
    write("not toml at all");
    EXPECT_THROW(read_settings(file), std::runtime_error);
}

history::epoch_statement epoch_of(std::initializer_list<http::field> fields)
{
    transport::message_head head;
    head.fields = fields;
    return wire{{"127.0.0.1", 1}}.read_store_epoch(head);
}

TEST(wire_test, the_store_states_its_epoch_as_a_whole_number)
{
    EXPECT_EQ(epoch_of({{"store-era", " 7 "}}).epoch, 7U);
    EXPECT_EQ(epoch_of({{"Store-Era", "9223372036854775807"}}).epoch, 9223372036854775807U);
    EXPECT_FALSE(epoch_of({{"Content-Length", "7"}}).is_stated);
}

TEST(wire_test, an_epoch_that_is_no_whole_number_below_two_to_the_63_is_none)
{
    for (const auto* text :
         {"", "-1", "x", "1.5", "0x1", "1 2", "9223372036854775808", "99999999999999999999"}) {
        const auto stated = epoch_of({{"Store-Era", text}});
        EXPECT_TRUE(stated.is_stated) << text;
        EXPECT_FALSE(stated.epoch) << text;
    }
}

TEST(wire_test, two_epochs_in_one_answer_count_if_they_agree)
{
    EXPECT_EQ(epoch_of({{"Store-Era", "3"}, {"Store-Era", "3"}}).epoch, 3U);
    EXPECT_FALSE(epoch_of({{"Store-Era", "3"}, {"Store-Era", "4"}}).epoch);
    EXPECT_FALSE(epoch_of({{"Store-Era", "x"}, {"Store-Era", "4"}}).epoch);
}

} // namespace
} // namespace cicadaport::platform
