// Engines whose stages never fit for long, so that hosts keep sending them orders.
#pragma once

#include "platform/soak/order_judge.h"
#include "platform/stand_ins.h"

#include <fmt/format.h>

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <random>

namespace cicadaport::platform::testing {

// Engines of several services that all decode. An engine obeys an order to prefill, and after a
// random time starts again under its id, as an engine that decodes. Engines don't check tokens.
//
// Orders arrive on the engines' threads; all other calls come from one thread.
class order_engines {
public:
    using time_point = std::chrono::steady_clock::time_point;
    // Called for each violation, on an engine's thread.
    using violation_function = std::function<void(const std::string&)>;
    // Returns whether orders of this holder are not judged at this time.
    using excuse_function = std::function<bool(const std::string& holder, time_point at)>;

    static constexpr int service_count = 3;
    static constexpr int engines_per_service = 6;

    order_engines(standin_store& store, std::uint64_t seed, violation_function on_violation,
                  excuse_function is_excused);

    // Returns the services as a configuration lists them, each after a comma.
    static std::string services();

    // Reports the engines to the store that are due.
    void report(time_point now);
    // All engines report again within `time`.
    void report_within(std::chrono::milliseconds time, time_point now);

    bool has(const std::string& id) const { return m_ids.contains(id); }
    std::size_t order_count() const;

private:
    struct engine {
        engine(std::string of_service, std::string with_id, scripted_server::answer_function answer)
            : service{std::move(of_service)}, id{std::move(with_id)}, server{std::move(answer)}
        {
        }

        std::string service;
        std::string id;
        int sequence = 0;
        std::int64_t born = 1;
        time_point next_report{};
        // The following members are guarded by the mutex.
        std::string stage = "decode";
        std::size_t order_count = 0;
        time_point next_start = time_point::max();
        bool is_due = false;
        // Declared last: its thread uses the other members.
        scripted_server server;
    };

    scripted_response answer(engine& at, const received_request& request);
    void take_order(engine& at, const received_request& request);

    standin_store& m_store;
    std::mt19937_64 m_random;
    violation_function m_on_violation;
    excuse_function m_is_excused;
    std::set<std::string> m_ids;
    mutable std::mutex m_mutex;
    // Guarded by the mutex.
    order_judge m_judge;
    std::list<engine> m_engines;
};

} // namespace cicadaport::platform::testing
