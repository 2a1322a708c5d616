// The model of an engine that batches continuously.
//
// Work advances in steps. In one step the engine reads a chunk of the prompts
// that wait and makes one token for each answer in its batch; the step takes
// time for both, so that long prompts slow the answers beside them. Prompt
// prefixes are kept in a cache of limited size.
//
// Pure: it reads no clock and opens no socket. Not thread safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadaport::standins {

// What things cost. The ratios are those of a mid-sized model on one replica.
struct engine_costs {
    std::chrono::microseconds step_base{8'000};
    std::chrono::microseconds per_prefill_token{60};
    std::chrono::microseconds per_decode_token{250};
    std::chrono::microseconds per_imported_token{4};
    std::uint32_t prefill_chunk = 512;
    std::uint32_t most_running = 64;
    std::uint32_t cache_blocks = 4'096;
};

enum class engine_role { mixed, prefill, decode };

// Tokens in one block of the prefix cache.
constexpr std::size_t cache_block_tokens = 16;

// One request inside the engine.
struct engine_job {
    std::string id;
    std::vector<std::string> prompt;
    std::uint32_t output_tokens = 0;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    bool prefill_only = false;
    // Prompt tokens whose cache comes from another engine.
    std::uint32_t imported_tokens = 0;

    // Progress, kept by the engine.
    std::uint32_t prefill_left = 0;
    std::uint32_t produced = 0;
    bool cancelled = false;
    bool finished() const noexcept
    {
        return cancelled || (prefill_left == 0 && (prefill_only || produced >= output_tokens));
    }
};

// A block that entered or left the prefix cache.
struct cache_event {
    std::uint64_t sequence = 0;
    bool stored = false;
    std::uint64_t block = 0;
};

// Counts of work, for load reports.
struct engine_load {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t decode_tokens = 0;
};

class engine_core {
public:
    explicit engine_core(engine_costs costs) : m_costs{costs} {}

    // Adds a job; the caller keeps a share of it to see its progress.
    void submit(std::shared_ptr<engine_job> job);

    // Makes one step and returns how long it takes; zero when there is no work.
    std::chrono::microseconds step();

    // Forgets all jobs and the cache, as a change of role or a crash does.
    void clear();

    engine_load load() const;
    const std::deque<cache_event>& events() const noexcept { return m_events; }

    // Token `index` of the answer to `prompt`; the same on every engine.
    static std::string answer_token(const std::vector<std::string>& prompt, std::uint32_t index);

    // Hashes of the whole blocks of `prompt`, each covering all before it.
    static std::vector<std::uint64_t> block_hashes(const std::vector<std::string>& prompt);

private:
    using jobs = std::vector<std::shared_ptr<engine_job>>;

    void admit();
    std::uint32_t prefill(std::uint32_t budget);
    std::uint32_t decode();
    std::uint32_t cached_tokens(const std::vector<std::string>& prompt);
    void store(const std::vector<std::string>& prompt);
    void note(bool stored, std::uint64_t block);

    engine_costs m_costs;
    jobs m_waiting;
    jobs m_running;
    std::uint32_t m_imported = 0;
    // Least recently used blocks first.
    std::list<std::uint64_t> m_cache;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cached;
    std::deque<cache_event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace cicadaport::standins
