#include "cicadaport/serving/engine_kv_cache.h"

#include <algorithm>

namespace cicadaport::serving {

void engine_kv_cache::record_prefix(std::uint32_t engine, std::uint32_t prefix, time_point ready,
                                    time_point now)
{
    auto& known = m_engines[engine];
    auto& kept = known.prefixes[prefix];
    const bool again = kept.used != time_point{} && now - kept.used < prefix_ttl;
    kept.ready = again ? std::min(kept.ready, ready) : ready;
    kept.used = now;
    kept.added_tokens = known.added_tokens;
    if (known.prefixes.size() > known.eviction_size) {
        evict(known, now);
    }
}

void engine_kv_cache::evict(record& from, time_point now)
{
    auto ttl = std::chrono::duration_cast<clock::duration>(prefix_ttl);
    const auto is_expired = [&](const auto& each) { return now - each.second.used > ttl; };
    std::erase_if(from.prefixes, is_expired);
    while (from.prefixes.size() > max_unexpired_prefixes && ttl > clock::duration::zero()) {
        ttl /= 2;
        std::erase_if(from.prefixes, is_expired);
    }
    if (from.prefixes.size() > max_unexpired_prefixes) {
        from.prefixes.clear();
    }
    from.eviction_size = std::max(max_prefixes, 2 * from.prefixes.size());
}

void engine_kv_cache::record_added_tokens(std::uint32_t engine, double tokens)
{
    m_engines[engine].added_tokens += tokens;
}

const engine_kv_cache::cached_prefix* engine_kv_cache::find(std::uint32_t engine,
                                                            std::uint32_t prefix) const
{
    const auto known = m_engines.find(engine);
    if (known == m_engines.end()) {
        return nullptr;
    }
    const auto found = known->second.prefixes.find(prefix);
    return found != known->second.prefixes.end() ? &found->second : nullptr;
}

bool engine_kv_cache::has_prefix(std::uint32_t engine, std::uint32_t prefix, double capacity,
                                 time_point now) const
{
    const auto* kept = find(engine, prefix);
    if (kept == nullptr || now - kept->used >= prefix_ttl) {
        return false;
    }
    const auto since = m_engines.at(engine).added_tokens - kept->added_tokens;
    return capacity <= 0 || since <= usable_fraction * capacity;
}

bool engine_kv_cache::is_ready(std::uint32_t engine, std::uint32_t prefix, time_point now) const
{
    const auto* kept = find(engine, prefix);
    return kept != nullptr && kept->ready <= now;
}

std::size_t engine_kv_cache::prefix_count(std::uint32_t engine) const
{
    const auto known = m_engines.find(engine);
    return known != m_engines.end() ? known->second.prefixes.size() : 0;
}

} // namespace cicadaport::serving
