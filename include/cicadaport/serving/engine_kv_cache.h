// Estimates which prompt prefixes the engines still have in their KV caches.
//
// Prompts share long prefixes, and there are more prefixes than fit into the KV caches.
// An engine evicts the least recently used entries, so a prefix is gone once the engine
// has added as many tokens as its cache holds, however short the time. An estimate by
// time alone would send prompts to engines that have evicted their prefixes, which would
// then be prefilled again.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <unordered_map>

namespace cicadaport::serving {

class engine_kv_cache {
public:
    // Time after its last use for which a prefix is expected to stay cached.
    static constexpr std::chrono::seconds prefix_ttl{20};
    // Fraction of an engine's KV cache that is expected to hold prefixes; prompts in
    // prefill or decode use the rest.
    static constexpr double usable_fraction = 0.85;
    // Number of prefixes of one engine above which expired ones are removed.
    static constexpr std::size_t max_prefixes = 1'024;
    // Number of prefixes of one engine that remain when expired ones are removed; of more, the
    // least recently used ones are removed too.
    static constexpr std::size_t max_unexpired_prefixes = 16 * max_prefixes;

    // Records that a prompt with this prefix was sent to an engine, which has it cached
    // from `ready` on.
    void record_prefix(std::uint32_t engine, std::uint32_t prefix, time_point ready,
                       time_point now);

    // Records tokens that an engine adds to its KV cache because it did not have them
    // cached.
    void record_added_tokens(std::uint32_t engine, double tokens);

    // Returns whether an engine whose KV cache holds `capacity` tokens still has a prefix
    // cached, or will have once it has prefilled the prompts that were sent to it; a
    // `capacity` of 0 means no bound.
    bool has_prefix(std::uint32_t engine, std::uint32_t prefix, double capacity,
                    time_point now) const;

    // Returns whether the engine has completed the prefill of a prefix.
    bool is_ready(std::uint32_t engine, std::uint32_t prefix, time_point now) const;

    void forget(std::uint32_t engine) { m_engines.erase(engine); }

    // Returns the number of prefixes recorded for an engine.
    std::size_t prefix_count(std::uint32_t engine) const;

private:
    struct cached_prefix {
        time_point used{};
        time_point ready{};
        // Total tokens that the engine had added by the last use of the prefix.
        double added_tokens = 0;
    };
    struct record {
        double added_tokens = 0;
        std::unordered_map<std::uint32_t, cached_prefix> prefixes;
        // Number of prefixes above which the next ones are removed: twice the number that remained
        // the last time, so that the cost of a removal is spread over many records.
        std::size_t eviction_size = max_prefixes;
    };

    static void evict(record& from, time_point now);

    const cached_prefix* find(std::uint32_t engine, std::uint32_t prefix) const;

    std::unordered_map<std::uint32_t, record> m_engines;
};

} // namespace cicadaport::serving
