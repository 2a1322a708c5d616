#include "cicadaport/load/report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cicadaport::load {
namespace {

using nlohmann::json;

constexpr double half = 0.5;
constexpr double ninety_five = 0.95;

double milliseconds_of(seconds value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

void count(class_summary& summary, const result& each, seconds deadline)
{
    ++summary.sent;
    switch (each.ended) {
    case outcome::whole:
        ++(each.completion <= deadline ? summary.in_time : summary.late);
        break;
    case outcome::cut:
        ++summary.cut;
        break;
    case outcome::refused:
        ++summary.refused;
        break;
    case outcome::failed:
        ++summary.failed;
        break;
    }
}

// Sums up the results of one class, or of all where `only` is empty.
class_summary summarize_class(const profile& of, std::span<const result> results,
                              std::optional<std::size_t> only)
{
    class_summary out;
    out.name = only ? of.classes[*only].name : "all";
    std::vector<seconds> first_tokens;
    std::vector<seconds> gaps;
    std::vector<seconds> completions;
    for (const auto& each : results) {
        if (only && each.request_class != *only) {
            continue;
        }
        count(out, each, of.classes[each.request_class].deadline);
        if (each.first_token) {
            first_tokens.push_back(*each.first_token);
        }
        if (each.ended == outcome::whole) {
            completions.push_back(each.completion);
        }
        gaps.insert(gaps.end(), each.gaps.begin(), each.gaps.end());
    }
    out.first_token_p50 = percentile(first_tokens, half);
    out.first_token_p95 = percentile(std::move(first_tokens), ninety_five);
    out.between_tokens_p95 = percentile(std::move(gaps), ninety_five);
    out.completion_p95 = percentile(std::move(completions), ninety_five);
    return out;
}

} // namespace

std::string_view to_string(outcome value) noexcept
{
    switch (value) {
    case outcome::whole:
        return "whole";
    case outcome::cut:
        return "cut";
    case outcome::refused:
        return "refused";
    case outcome::failed:
        break;
    }
    return "failed";
}

seconds percentile(std::vector<seconds> samples, double part)
{
    if (samples.empty()) {
        return seconds{0};
    }
    const auto rank = static_cast<std::size_t>(part * static_cast<double>(samples.size()));
    const auto place = static_cast<std::ptrdiff_t>(std::min(rank, samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + place, samples.end());
    return samples[static_cast<std::size_t>(place)];
}

std::vector<class_summary> summarize(const profile& of, std::span<const result> results)
{
    std::vector<class_summary> out;
    for (std::size_t i = 0; i < of.classes.size(); ++i) {
        out.push_back(summarize_class(of, results, i));
    }
    out.push_back(summarize_class(of, results, std::nullopt));
    return out;
}

std::string to_json(const class_summary& summary)
{
    const json out{{"class", summary.name},
                   {"sent", summary.sent},
                   {"in_time", summary.in_time},
                   {"late", summary.late},
                   {"cut", summary.cut},
                   {"refused", summary.refused},
                   {"failed", summary.failed},
                   {"first_token_p50_ms", milliseconds_of(summary.first_token_p50)},
                   {"first_token_p95_ms", milliseconds_of(summary.first_token_p95)},
                   {"between_tokens_p95_ms", milliseconds_of(summary.between_tokens_p95)},
                   {"completion_p95_ms", milliseconds_of(summary.completion_p95)}};
    return out.dump();
}

std::string to_json(const profile& of, const result& each)
{
    json out{{"class", of.classes[each.request_class].name},
             {"intended_s", each.intended.count()},
             {"outcome", to_string(each.ended)},
             {"status", each.status},
             {"completion_ms", milliseconds_of(each.completion)}};
    if (each.first_token) {
        out["first_token_ms"] = milliseconds_of(*each.first_token);
    }
    return out.dump();
}

std::string to_table(std::span<const class_summary> summaries)
{
    std::ostringstream out;
    out << "class         sent in_time late cut refused failed  first p50/p95 ms  gap p95 ms\n";
    for (const auto& each : summaries) {
        out << each.name << std::string(14 - std::min<std::size_t>(each.name.size(), 13), ' ')
            << each.sent << ' ' << each.in_time << ' ' << each.late << ' ' << each.cut << ' '
            << each.refused << ' ' << each.failed << "  " << milliseconds_of(each.first_token_p50)
            << '/' << milliseconds_of(each.first_token_p95) << "  "
            << milliseconds_of(each.between_tokens_p95) << '\n';
    }
    return out.str();
}

seconds least_work(const profile& of, const arrival& each, const bound_costs& costs)
{
    static_cast<void>(of);
    const auto prefill = each.own_words * costs.per_prefill_token;
    const auto step_part = costs.step_base / costs.most_running;
    return prefill + each.output_tokens * (costs.per_decode_token + step_part);
}

std::uint32_t goodput_bound(const profile& of, std::span<const arrival> arrivals,
                            std::uint32_t engines, const bound_costs& costs)
{
    std::vector<seconds> work;
    seconds last_deadline{0};
    for (const auto& each : arrivals) {
        work.push_back(least_work(of, each, costs));
        last_deadline =
            std::max<seconds>(last_deadline, each.at + of.classes[each.request_class].deadline);
    }
    std::sort(work.begin(), work.end());
    const auto first = arrivals.empty() ? seconds{0} : arrivals.front().at;
    auto left = engines * (last_deadline - first);
    std::uint32_t served = 0;
    for (const auto& each : work) {
        left -= each;
        if (left < seconds{0}) {
            break;
        }
        ++served;
    }
    return served;
}

} // namespace cicadaport::load
