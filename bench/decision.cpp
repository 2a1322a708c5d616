// Measures one placement decision, alone and on all cores, while the view and
// the loads are being replaced. Prints JSON lines. Times are processor time of
// the deciding thread, so that what else runs on the machine is not counted.
#include "cicadaport/base/rcu.h"
#include "cicadaport/routing/estimate.h"
#include "cicadaport/routing/placement.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <time.h>
#include <vector>

namespace {

using namespace cicadaport;
using std::chrono::nanoseconds;

constexpr std::size_t index_blocks = 1 << 18;
constexpr std::uint32_t prompt_blocks = 128;
// One engine of so many only reads prompts.
constexpr std::size_t engines_per_prefill = 4;
constexpr int decisions_per_run = 200'000;
constexpr double target_us = 2;
constexpr double target_ratio = 0.9;

// Returns the processor time that this thread has used.
nanoseconds thread_time()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds{now.tv_sec} + nanoseconds{now.tv_nsec};
}

// One fleet as the entry process sees it.
class fleet {
public:
    explicit fleet(std::size_t engines)
        : m_document{make_document(engines)}, m_view{make_view()}, m_loads{make_loads(engines)},
          m_index{index_blocks}
    {
        for (std::uint64_t i = 1; i <= prompt_blocks; ++i) {
            m_blocks.push_back(i * 0x9e3779b97f4a7c15ULL);
            m_index.store(m_blocks.back(), static_cast<std::uint32_t>(i % engines));
        }
    }

    // Decides `count` times and returns how long it took.
    nanoseconds decide(int count, std::uint64_t seed) const
    {
        routing::random_source random{seed};
        const routing::two_stage_completion rule;
        const auto begin = thread_time();
        for (int i = 0; i < count; ++i) {
            const base::rcu_reader guard;
            routing::placement_query question;
            question.candidates = m_view.read(guard).candidates("model");
            question.loads = &m_loads.read(guard);
            question.needs = {prompt_blocks * routing::block_tokens, 64};
            question.prefix = m_index.find(m_blocks);
            const auto choice = rule.choose(question, random);
            choice.chosen->load->requests.fetch_add(1, std::memory_order_relaxed);
            choice.chosen->load->requests.fetch_sub(1, std::memory_order_relaxed);
        }
        return thread_time() - begin;
    }

    // Replaces the view and the loads as fast as it can until told to stop.
    void replace_until(const std::atomic<bool>& stop, std::size_t engines)
    {
        while (!stop.load()) {
            m_view.replace(make_view());
            m_loads.replace(make_loads(engines));
        }
    }

private:
    static std::shared_ptr<const configuration::document> make_document(std::size_t engines)
    {
        auto out = std::make_shared<configuration::document>();
        for (std::size_t i = 0; i < engines; ++i) {
            auto& each = out->endpoints.emplace_back();
            each.name = "engine-" + std::to_string(i);
            each.serves = "model";
        }
        return out;
    }

    std::unique_ptr<const routing::view> make_view()
    {
        return std::make_unique<routing::view>(m_document, 1, std::vector<std::string>{}, m_table);
    }

    static std::unique_ptr<const routing::load_snapshot> make_loads(std::size_t engines)
    {
        auto out = std::make_unique<routing::load_snapshot>();
        for (std::size_t i = 0; i < engines; ++i) {
            const auto amount = static_cast<double>(i * 7 % 13);
            const auto role = i % engines_per_prefill == 1 ? routing::engine_role::prefill
                                                           : routing::engine_role::mixed;
            out->endpoints.push_back({{amount, amount * 300, amount * 40}, role});
        }
        out->collect_prefill_engines();
        return out;
    }

    std::shared_ptr<const configuration::document> m_document;
    routing::load_table m_table;
    base::published<routing::view> m_view;
    base::published<routing::load_snapshot> m_loads;
    routing::prefix_index m_index;
    std::vector<std::uint64_t> m_blocks;
};

void print(const std::string& metric, double value, const std::string& unit,
           const std::string& target)
{
    const nlohmann::json line{{"bench", "decision"},
                              {"metric", metric},
                              {"value", value},
                              {"unit", unit},
                              {"target", target}};
    std::puts(line.dump().c_str());
}

double microseconds_each(nanoseconds took, int count)
{
    return std::chrono::duration<double, std::micro>(took).count() / count;
}

// Returns the mean time of a decision on each of `threads` threads at once.
double measure(const fleet& engines, std::size_t threads)
{
    std::vector<double> times(threads);
    {
        std::vector<std::jthread> running;
        for (std::size_t i = 0; i < threads; ++i) {
            running.emplace_back([&, i] {
                times[i] =
                    microseconds_each(engines.decide(decisions_per_run, i + 1), decisions_per_run);
            });
        }
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

void run(std::size_t engines)
{
    fleet measured{engines};
    std::atomic<bool> stop{false};
    const std::jthread writer{[&] { measured.replace_until(stop, engines); }};
    // One core replaces the view.
    const std::size_t cores = std::max(std::thread::hardware_concurrency(), 2U) - 1;
    measure(measured, 1);
    const auto alone = measure(measured, 1);
    const auto together = measure(measured, cores);
    stop = true;
    const auto suffix = "_" + std::to_string(engines);
    print("decision_time" + suffix, alone, "us", "<= " + std::to_string(target_us));
    print("decision_time_" + std::to_string(cores) + "_threads" + suffix, together, "us", "");
    print("throughput_per_core_ratio" + suffix, alone / together, "ratio",
          ">= " + std::to_string(target_ratio));
}

} // namespace

int main()
{
    for (const std::size_t engines : {13, 21, 120, 720}) {
        run(engines);
    }
    return 0;
}
