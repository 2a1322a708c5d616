// Predicts the time between two events of a stream on an engine that runs several streams.
//
// Each step of an engine generates one token of each of its streams and takes longer the more
// streams there are: interval = idle interval of the engine x (1 + load factor x streams). The
// load factor is common to all engines. The idle interval is learned for each engine, because
// engines run at different speeds. The load factor is learned from the differences between
// observations of the same engine; comparing engines would mistake a fast engine with many
// streams for an engine whose streams cost nothing.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/balancing/replica_speed.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace cicadaport::balancing {

class decode_model {
public:
    // Load factor before any observation, and its bounds. Engines of the deployments have 0 to
    // 0.03. The lower bound keeps streams spread over engines whose streams cost nothing until
    // their slots are full: 30 streams count as much as a difference in speed of 9%.
    static constexpr double initial_load_factor = 0.01;
    static constexpr double min_load_factor = 0.003;
    static constexpr double max_load_factor = 0.1;

    // Adds the mean interval between the events of one stream, and the mean number of streams,
    // including this one, that ran on the engine meanwhile.
    void record(std::uint32_t engine, double streams, fractional_milliseconds interval,
                time_point now);

    // Returns whether any engine was observed.
    bool is_known() const noexcept { return m_observation_count > 0; }

    // Returns the predicted interval with `streams` streams on the engine; nothing before the
    // first observation of any engine.
    std::optional<fractional_milliseconds> interval(std::uint32_t engine, double streams,
                                                    time_point now) const;

    // Returns how many streams the engine runs at this interval; nothing before the first
    // observation of any engine.
    std::optional<double> streams_at(std::uint32_t engine, fractional_milliseconds interval,
                                     time_point now) const;

    // Speed relative to the average above which an engine counts as fast. Prefill between the steps
    // and noise make engines of equal speed differ by less.
    static constexpr double fast_speed = 1.3;

    // Returns the speed of the engine relative to that of an average engine; nothing if it was not
    // observed. Unlike a prediction it does not fade: the speed is that of the hardware.
    std::optional<double> speed(std::uint32_t engine) const;
    bool is_fast(std::uint32_t engine) const { return speed(engine).value_or(1) >= fast_speed; }

    double load_factor() const noexcept { return m_load_factor; }

    // Returns the estimate of the engine's idle interval in milliseconds, or null.
    const replica_speed* find(std::uint32_t engine) const;

    void forget(std::uint32_t engine);

private:
    struct record_of_engine {
        replica_speed idle_interval;
        // Means of the observed streams and intervals, to compare observations with.
        double mean_streams = 0;
        double mean_interval = 0;
        double count = 0;
    };

    // Returns the predicted idle interval of the engine in milliseconds.
    double idle_interval(std::uint32_t engine, time_point now) const;
    void learn_load_factor(record_of_engine& of, double streams, double interval);

    std::unordered_map<std::uint32_t, record_of_engine> m_engines;
    // Idle interval common to all engines, in milliseconds; 0 before the first observation.
    double m_common_interval = 0;
    // Sum of the idle intervals of all engines.
    double m_total_interval = 0;
    double m_observation_count = 0;
    double m_load_factor = initial_load_factor;
    // Sums over observations, with newer ones weighted more: squared differences of the number of
    // streams, their products with relative differences of the interval, and these products
    // multiplied by the mean number of streams.
    double m_squares = 0;
    double m_products = 0;
    double m_scaled_products = 0;
};

} // namespace cicadaport::balancing
