#include "cicadaport/scenario/script.h"

#include "cicadaport/yaml/reader.h"

#include <nlohmann/json.hpp>

#include <array>

namespace cicadaport::scenario {
namespace {

using std::chrono::milliseconds;
using yaml::mapping_reader;

constexpr std::int64_t default_limit_ms = 10'000;
constexpr std::int64_t most_limit_ms = 120'000;
constexpr std::int64_t default_call_ms = 20'000;
constexpr std::int64_t most_engines = 64;
constexpr std::int64_t most_calls = 10'000;
constexpr std::int64_t most_tokens = 4'096;
constexpr double most_calls_per_second = 1'000;

std::optional<base::verdict> read_verdict(mapping_reader& reader)
{
    constexpr std::array<std::string_view, 3> names{"not_run", "may_have_run", "ran"};
    if (reader.text_or("verdict", "").empty()) {
        return std::nullopt;
    }
    const auto text = reader.one_of("verdict", names);
    if (text == names[0]) {
        return base::verdict::not_run;
    }
    return text == names[1] ? base::verdict::may_have_run : base::verdict::ran;
}

publication_result read_result(mapping_reader& reader)
{
    constexpr std::array<std::string_view, 3> names{"accepted", "refused", "unavailable"};
    if (reader.text_or("result", "").empty()) {
        return publication_result::accepted;
    }
    const auto text = reader.one_of("result", names);
    if (text == names[1]) {
        return publication_result::refused;
    }
    return text == names[2] ? publication_result::unavailable : publication_result::accepted;
}

action read_publish(mapping_reader& reader)
{
    publish out;
    out.through = reader.text_or("through", "control-1");
    out.author = reader.text_or("author", "operator");
    out.section = reader.text_or("section", "");
    if (!out.section.empty()) {
        out.find = reader.text("find");
        out.replace = reader.text("replace");
        out.based_on = reader.text_or("based_on", "");
    }
    out.result = read_result(reader);
    out.verdict = read_verdict(reader);
    return out;
}

// Reads what completions and plain requests have in common.
call read_common_call(mapping_reader& reader)
{
    call out;
    out.name = reader.text("name");
    out.through = reader.text("through");
    out.key = reader.text("key");
    out.count = static_cast<std::uint32_t>(reader.integer_or("count", {1, most_calls}, 1));
    out.per_second = reader.number_or("per_second", 0, most_calls_per_second, 0);
    out.timeout =
        milliseconds{reader.integer_or("timeout_ms", {1, most_limit_ms}, default_call_ms)};
    return out;
}

action read_completion(mapping_reader& reader)
{
    constexpr std::int64_t default_tokens = 16;
    auto out = read_common_call(reader);
    out.method = "POST";
    out.path = "/v1/completions";
    out.streamed = reader.boolean_or("streamed", true);
    out.tokens =
        static_cast<std::uint32_t>(reader.integer_or("tokens", {1, most_tokens}, default_tokens));
    const nlohmann::json body{{"model", reader.text("model")},
                              {"prompt", reader.text_or("prompt", "what is left to do today")},
                              {"max_tokens", out.tokens},
                              {"stream", out.streamed}};
    out.body = body.dump();
    return out;
}

action read_request(mapping_reader& reader)
{
    auto out = read_common_call(reader);
    out.method = reader.text_or("method", "POST");
    out.path = reader.text("path");
    out.idempotency_key = reader.text_or("idempotency_key", "");
    out.body = reader.text_or("body", "");
    return out;
}

action read_expect_answers(mapping_reader& reader)
{
    constexpr yaml::integer_range statuses{100, 599};
    expect_answers out;
    out.name = reader.text("name");
    if (!reader.text_or("status", "").empty()) {
        out.status = static_cast<std::uint32_t>(reader.integer("status", statuses));
    }
    out.verdict = read_verdict(reader);
    out.whole = reader.boolean_or("whole", false);
    out.incomplete = reader.boolean_or("incomplete", false);
    return out;
}

action read_expect_runs(mapping_reader& reader)
{
    expect_runs out;
    out.service = reader.text("service");
    out.idempotency_key = reader.text_or("idempotency_key", "");
    out.path = reader.text_or("path", "");
    out.least = static_cast<std::uint32_t>(reader.integer_or("least", {0, most_calls}, 0));
    out.most = static_cast<std::uint32_t>(reader.integer_or("most", {0, most_calls}, most_calls));
    out.unique = reader.boolean_or("unique", false);
    return out;
}

action read_signal(mapping_reader& reader, process_signal signal)
{
    return send_signal{reader.text("process"), signal};
}

action read_roles(mapping_reader& reader)
{
    const auto count = [&](const char* role) {
        return static_cast<std::uint32_t>(reader.integer_or(role, {0, most_engines}, 0));
    };
    return wait_for_roles{count("mixed"), count("prefill"), count("decode")};
}

action read_drain(mapping_reader& reader, bool drain)
{
    return change_drain{reader.text_or("through", "control-1"), reader.text("endpoint"), drain};
}

// One kind of step: its name and how its fields are read.
struct step_kind {
    std::string_view name;
    action (*read)(mapping_reader&);
};

constexpr step_kind step_kinds[] = {
    {"start", [](mapping_reader& r) -> action { return start_processes{r.texts("processes")}; }},
    {"serve", [](mapping_reader&) -> action { return serve{}; }},
    {"wait_until_ready",
     [](mapping_reader& r) -> action { return wait_until_ready{r.texts("processes")}; }},
    {"wait_until_in_force",
     [](mapping_reader& r) -> action {
         return wait_until_in_force{r.text_or("through", "control-1"), r.texts("except")};
     }},
    {"publish", read_publish},
    {"read_configuration",
     [](mapping_reader& r) -> action {
         return read_configuration{r.text_or("through", "control-1"), r.text("name")};
     }},
    {"complete", read_completion},
    {"request", read_request},
    {"expect_answers", read_expect_answers},
    {"kill", [](mapping_reader& r) { return read_signal(r, process_signal::kill); }},
    {"terminate", [](mapping_reader& r) { return read_signal(r, process_signal::terminate); }},
    {"freeze", [](mapping_reader& r) { return read_signal(r, process_signal::freeze); }},
    {"thaw", [](mapping_reader& r) { return read_signal(r, process_signal::thaw); }},
    {"restart", [](mapping_reader& r) -> action { return restart{r.text("process")}; }},
    {"wait_until_exit",
     [](mapping_reader& r) -> action {
         return wait_until_exit{r.text("process"), r.boolean_or("clean", true)};
     }},
    {"faults",
     [](mapping_reader& r) -> action {
         return set_faults{r.text("process"), r.text("set")};
     }},
    {"cut_from_log",
     [](mapping_reader& r) -> action {
         return change_link{r.text("process"), true};
     }},
    {"mend_link_to_log",
     [](mapping_reader& r) -> action {
         return change_link{r.text("process"), false};
     }},
    {"sleep",
     [](mapping_reader& r) -> action {
         return sleep_for{milliseconds{r.integer("ms", {1, most_limit_ms})}};
     }},
    {"expect_runs", read_expect_runs},
    {"expect_no_conflicting_orders",
     [](mapping_reader&) -> action { return expect_no_conflicting_orders{}; }},
    {"wait_for_roles", read_roles},
    {"drain", [](mapping_reader& r) { return read_drain(r, true); }},
    {"undrain", [](mapping_reader& r) { return read_drain(r, false); }},
    {"count_work",
     [](mapping_reader& r) -> action {
         return count_work{r.text("process"), r.text("name")};
     }},
    {"expect_no_work_since",
     [](mapping_reader& r) -> action {
         return expect_no_work_since{r.text("process"), r.text("name")};
     }},
};

// What a step is about, for its line in the result.
struct detail_of {
    std::string operator()(const publish& a) const
    {
        return a.section.empty() ? "the document" : a.section + " by " + a.author;
    }
    std::string operator()(const call& a) const { return a.name + " through " + a.through; }
    std::string operator()(const expect_answers& a) const { return a.name; }
    std::string operator()(const read_configuration& a) const { return a.name; }
    std::string operator()(const set_faults& a) const { return a.process + " " + a.parameters; }
    std::string operator()(const sleep_for& a) const
    {
        return std::to_string(a.time.count()) + " ms";
    }
    std::string operator()(const expect_runs& a) const
    {
        return a.service + " " + (a.idempotency_key.empty() ? a.path : a.idempotency_key);
    }
    std::string operator()(const change_drain& a) const { return a.endpoint; }
    template <typename Other>
    std::string operator()(const Other& a) const
    {
        if constexpr (requires { a.process; }) {
            return a.process;
        }
        else {
            return {};
        }
    }
};

step read_step(mapping_reader& reader)
{
    step out;
    std::size_t found = 0;
    out.limit = milliseconds{reader.integer_or("within_ms", {1, most_limit_ms}, default_limit_ms)};
    for (const auto& kind : step_kinds) {
        reader.nested(kind.name, [&](mapping_reader& fields) {
            ++found;
            out.name = kind.name;
            out.what = kind.read(fields);
        });
    }
    if (found != 1) {
        reader.reject("", "exactly one action", std::to_string(found));
    }
    out.detail = std::visit(detail_of{}, out.what);
    return out;
}

} // namespace

script parse_script(const std::string& text, const std::string& file)
{
    constexpr std::array<std::string_view, 2> deployments{"nguyen_phat", "saheli"};
    yaml::problem_list problems{file};
    mapping_reader reader{yaml::parse(text, problems), "", problems};
    script out;
    out.promise = reader.text("promise");
    out.deployment = reader.one_of("deployment", deployments);
    out.engines = static_cast<std::uint32_t>(reader.integer_or("engines", {1, most_engines}, 0));
    out.engine_arguments = reader.texts("engine_arguments");
    reader.each("steps", [&](mapping_reader& each) { out.steps.push_back(read_step(each)); });
    if (out.steps.empty()) {
        reader.reject("steps", "a list of steps", "none");
    }
    reader.finish();
    problems.throw_if_any();
    return out;
}

} // namespace cicadaport::scenario
