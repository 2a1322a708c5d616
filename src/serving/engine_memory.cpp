#include "cicadaport/serving/engine_memory.h"

namespace cicadaport::serving {

void engine_memory::record_prefix(std::uint32_t engine, std::uint32_t beginning, time_point ready,
                                  time_point now)
{
    auto& known = m_engines[engine];
    auto& kept = known.beginnings[beginning];
    const bool again = kept.used != time_point{} && now - kept.used < prefix_ttl;
    kept.ready = again ? std::min(kept.ready, ready) : ready;
    kept.used = now;
    kept.taken_in = known.taken_in;
    if (known.beginnings.size() > max_prefixes) {
        std::erase_if(known.beginnings,
                      [&](const auto& each) { return now - each.second.used > prefix_ttl; });
    }
}

void engine_memory::record_added_tokens(std::uint32_t engine, double tokens)
{
    m_engines[engine].taken_in += tokens;
}

const engine_memory::cached_prefix* engine_memory::find(std::uint32_t engine,
                                                        std::uint32_t beginning) const
{
    const auto known = m_engines.find(engine);
    if (known == m_engines.end()) {
        return nullptr;
    }
    const auto found = known->second.beginnings.find(beginning);
    return found != known->second.beginnings.end() ? &found->second : nullptr;
}

bool engine_memory::keeps(std::uint32_t engine, std::uint32_t beginning, double capacity,
                          time_point now) const
{
    const auto* kept = find(engine, beginning);
    if (kept == nullptr || now - kept->used >= prefix_ttl) {
        return false;
    }
    const auto since = m_engines.at(engine).taken_in - kept->taken_in;
    return capacity <= 0 || since <= usable_part * capacity;
}

bool engine_memory::is_ready(std::uint32_t engine, std::uint32_t beginning, time_point now) const
{
    const auto* kept = find(engine, beginning);
    return kept != nullptr && kept->ready <= now;
}

} // namespace cicadaport::serving
