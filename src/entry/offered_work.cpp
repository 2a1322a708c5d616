#include "cicadaport/entry/offered_work.h"

#include <algorithm>
#include <cmath>
#include <thread>

namespace cicadaport::entry {
namespace {

double smoothed(double before, double grown, double passed, double weight)
{
    return before + weight * (grown / passed - before);
}

} // namespace

void offered_counter::note(std::string_view model, double prompt_tokens, double output_tokens)
{
    const auto turn = std::hash<std::thread::id>{}(std::this_thread::get_id());
    auto& own = m_shards[turn % shard_count];
    const roles::token_rates request{1, prompt_tokens, output_tokens};
    const std::scoped_lock lock{own.mutex};
    auto found = own.sums.find(model);
    if (found == own.sums.end()) {
        found = own.sums.try_emplace(std::string{model}).first;
    }
    found->second += request;
}

std::map<std::string, roles::token_rates, std::less<>> offered_counter::sums() const
{
    std::map<std::string, roles::token_rates, std::less<>> out;
    for (const auto& each : m_shards) {
        const std::scoped_lock lock{each.mutex};
        for (const auto& [model, sum] : each.sums) {
            out[model] += sum;
        }
    }
    return out;
}

const std::vector<roles::model_offer>&
offered_rates::update(const std::map<std::string, roles::token_rates, std::less<>>& sums,
                      clock::time_point now)
{
    if (m_last_at && now - *m_last_at < min_update_interval) {
        return m_rates;
    }
    const std::chrono::duration<double> passed =
        now - m_last_at.value_or(now - std::chrono::seconds{1});
    const double weight = 1 - std::exp(-passed / smoothing_time);
    for (const auto& [model, sum] : sums) {
        auto found =
            std::find_if(m_rates.begin(), m_rates.end(),
                         [&, &name = model](const auto& each) { return each.model == name; });
        if (found == m_rates.end()) {
            found = m_rates.insert(found, {model, {}});
        }
        const auto before = m_last[model];
        auto& rates = found->rates;
        const auto step = [&](double& rate, double was, double is) {
            rate = smoothed(rate, is - was, passed.count(), weight);
        };
        step(rates.requests, before.requests, sum.requests);
        step(rates.prefill, before.prefill, sum.prefill);
        step(rates.output, before.output, sum.output);
    }
    m_last = sums;
    m_last_at = now;
    return m_rates;
}

} // namespace cicadaport::entry
