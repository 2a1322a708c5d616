#include "cicadaport/standins/engine_core.h"

#include <algorithm>
#include <xxhash.h>

namespace cicadaport::standins {
namespace {

constexpr std::size_t kept_events = 65'536;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

void engine_core::submit(std::shared_ptr<engine_job> job)
{
    const auto length = static_cast<std::uint32_t>(job->prompt.size());
    const auto known = std::max(cached_tokens(job->prompt), std::min(job->imported_tokens, length));
    // The last token is always computed: it yields the first of the answer.
    job->prefill_left = std::max<std::uint32_t>(length - std::min(known, length), 1);
    m_imported += job->imported_tokens;
    m_waiting.push_back(std::move(job));
}

std::chrono::microseconds engine_core::step()
{
    std::erase_if(m_running, [](const auto& job) { return job->finished(); });
    admit();
    if (m_running.empty()) {
        return std::chrono::microseconds{0};
    }
    const auto decoded = decode();
    const auto prefilled = prefill(m_costs.prefill_chunk);
    const auto imported = std::exchange(m_imported, 0);
    return m_costs.step_base + prefilled * m_costs.per_prefill_token +
           decoded * m_costs.per_decode_token + imported * m_costs.per_imported_token;
}

void engine_core::admit()
{
    std::erase_if(m_waiting, [](const auto& job) { return job->cancelled; });
    std::stable_sort(m_waiting.begin(), m_waiting.end(), [](const auto& left, const auto& right) {
        return left->priority < right->priority;
    });
    while (!m_waiting.empty() && m_running.size() < m_costs.most_running) {
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.erase(m_waiting.begin());
    }
}

std::uint32_t engine_core::prefill(std::uint32_t budget)
{
    std::uint32_t done = 0;
    for (const auto& job : m_running) {
        const auto part = std::min(job->prefill_left, budget - done);
        if (part == 0) {
            continue;
        }
        job->prefill_left -= part;
        done += part;
        if (job->prefill_left == 0) {
            store(job->prompt);
            // Reading the whole prompt yields the first token of the answer.
            job->produced = job->prefill_only ? 0 : 1;
        }
    }
    return done;
}

std::uint32_t engine_core::decode()
{
    std::uint32_t made = 0;
    for (const auto& job : m_running) {
        if (job->prefill_left == 0 && !job->finished()) {
            ++job->produced;
            ++made;
        }
    }
    return made;
}

void engine_core::clear()
{
    for (const auto* list : {&m_waiting, &m_running}) {
        for (const auto& job : *list) {
            job->cancelled = true;
        }
    }
    m_waiting.clear();
    m_running.clear();
    for (const auto block : m_cache) {
        note(false, block);
    }
    m_cache.clear();
    m_cached.clear();
}

engine_load engine_core::load() const
{
    engine_load out;
    out.waiting = static_cast<std::uint32_t>(m_waiting.size());
    out.running = static_cast<std::uint32_t>(m_running.size());
    for (const auto* list : {&m_waiting, &m_running}) {
        for (const auto& job : *list) {
            out.prefill_tokens += job->prefill_left;
            out.decode_tokens += job->prefill_only ? 0 : job->output_tokens - job->produced;
        }
    }
    return out;
}

std::string engine_core::answer_token(const std::vector<std::string>& prompt, std::uint32_t index)
{
    std::uint64_t seed = prompt.size();
    for (const auto& word : prompt) {
        seed = hash_of(word, seed);
    }
    constexpr std::uint64_t vocabulary = 50'000;
    return "w" + std::to_string((seed + index * 7'919ULL) % vocabulary) + " ";
}

std::vector<std::uint64_t> engine_core::block_hashes(const std::vector<std::string>& prompt)
{
    std::vector<std::uint64_t> out;
    std::uint64_t chain = 0;
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        chain = hash_of(prompt[i], chain);
        if ((i + 1) % cache_block_tokens == 0) {
            out.push_back(chain);
        }
    }
    return out;
}

std::uint32_t engine_core::cached_tokens(const std::vector<std::string>& prompt)
{
    std::uint32_t tokens = 0;
    for (const auto block : block_hashes(prompt)) {
        const auto found = m_cached.find(block);
        if (found == m_cached.end()) {
            break;
        }
        m_cache.splice(m_cache.end(), m_cache, found->second);
        tokens += cache_block_tokens;
    }
    return tokens;
}

void engine_core::store(const std::vector<std::string>& prompt)
{
    for (const auto block : block_hashes(prompt)) {
        if (m_cached.contains(block)) {
            continue;
        }
        m_cached.emplace(block, m_cache.insert(m_cache.end(), block));
        note(true, block);
        if (m_cache.size() > m_costs.cache_blocks) {
            const auto evicted = m_cache.front();
            m_cache.pop_front();
            m_cached.erase(evicted);
            note(false, evicted);
        }
    }
}

void engine_core::note(bool stored, std::uint64_t block)
{
    m_events.push_back({++m_sequence, stored, block});
    if (m_events.size() > kept_events) {
        m_events.pop_front();
    }
}

} // namespace cicadaport::standins
