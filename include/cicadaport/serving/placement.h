// Chooses the endpoints that serve a request.
//
// Prompt lengths differ widely and their mix changes within seconds. Engines have one of
// two stages. A prompt can be prefilled by a prefill engine, which transfers the KV cache
// to a decode engine, or by the decode engine itself at about half the speed. Each
// request takes the path with the earliest predicted first token, so that work spreads
// over both kinds of engines in proportion to their free capacity.
//
// Prefill on a decode engine stalls the streams that run beside it. Decode engines are
// therefore divided into two groups, identically on every host: some only decode prompts
// that were prefilled elsewhere; the others also prefill, but only for requests whose
// responses have few events, where a stall seldom matters.
//
// Pure: times and randomness are passed in. Not thread safe.
#pragma once

#include "cicadaport/balancing/decode_model.h"
#include "cicadaport/serving/deployment.h"
#include "cicadaport/serving/endpoint_health.h"
#include "cicadaport/serving/engine_kv_cache.h"
#include "cicadaport/serving/fleet_work.h"
#include "cicadaport/serving/prefill_model.h"
#include "cicadaport/serving/wire.h"

#include <optional>
#include <random>
#include <set>

namespace cicadaport::serving {

// Cost model for prompts on an engine.
struct engine_costs {
    // Terms of the prefill time before any observation.
    prefill_model::terms prefill_terms;
    // Prefill speed of a decode engine relative to a prefill engine, because it prefills
    // between the tokens of other requests.
    double decode_engine_speed_ratio = 0.4;
    // Time from the end of prefill to the first event: one step.
    fractional_milliseconds first_event{5};
    // Overhead of a KV transfer: two more messages and the setup of the transfer.
    fractional_milliseconds kv_transfer_overhead{4};
    // Round-trip time added to each message between availability zones.
    fractional_milliseconds cross_zone_delay{2};
    // Cost of each stream on the engine, which lengthens the steps of the others
    // slightly. It applies until the pace of engines has been observed.
    fractional_milliseconds per_stream{0.5};
    // Cost of a failed request, multiplied by the failure fraction of the engine.
    fractional_milliseconds failure{300};
    // Cost of prefill on a decode engine for each stream that it stalls, and the weight
    // of the prefill queued on an engine in the cost of a stream that it would stall.
    fractional_milliseconds per_stalled_stream{10};
    double queued_prefill_weight = 3;
    // Penalties for decoding on an engine that also prefills, and on one without a free
    // slot.
    fractional_milliseconds mixed_engine_penalty{300};
    fractional_milliseconds no_free_slot_penalty{1'000};
    // Penalty for decoding on an engine that also prefills, in addition to the predicted time of
    // the stream: a prefill stalls the stream for longer than the pause objective allows.
    fractional_milliseconds stalled_stream_penalty{3'000};
    // Cost of a stream whose predicted pace misses the one that its route needs, multiplied by the
    // ratio of both, and the largest such ratio that is told apart.
    fractional_milliseconds missed_pace{10'000};
    double max_missed_pace_ratio = 4;
    // Age of what is known of other hosts' streams: 8 ms of batching and the way. With 60 ms,
    // streams of engines of equal speed were spread almost at random. Streams that begin meanwhile
    // raise the predicted time on engines by about as much, so an engine is chosen at random among
    // those whose costs differ by less.
    fractional_milliseconds information_age{10};
    // A pause beyond this fraction of the pause objective is penalized by `pause_weight`
    // times the excess.
    double pause_objective_fraction = 0.7;
    double pause_weight = 20;
    // Weight of prefilling a prompt prefix again that another engine has cached: the
    // prefill also evicts another prefix.
    double repeated_prefill_weight = 4;
    // Weight of copying a prompt prefix that another engine also has cached, relative to
    // prefilling it: the copy also evicts another prefix.
    double copy_weight = 1;
    // Maximum cost that breaks ties between engines. It derives from the hash of the
    // prompt prefix and the engine, is the same on all hosts, and distributes prefixes
    // over engines.
    fractional_milliseconds spread{5};
    // Setup of the transfer of a prompt prefix from another engine.
    fractional_milliseconds transfer_setup{4};
    // Minimum fraction of the decode engines that only decode.
    double min_decode_only_fraction = 0.34;
    // Fraction of their slots that streams may occupy before more engines only decode.
    double target_slot_fraction = 0.7;
};

// A request to place one prompt.
struct prompt_query {
    const std::vector<prompt_segment>* prompt = nullptr;
    double prompt_tokens = 0;
    std::uint32_t urgency = 0;
    double bytes_per_token = 0;
    double link_mbps = 0;
    // Capacity of an engine's KV cache in tokens; 0 if unknown.
    double memory_tokens = 0;
    std::string_view availability_zone;
    time_point now{};
    // Endpoints that must not be used for this request.
    const std::set<std::string>* excluded = nullptr;
    // Engines that must not generate the response, but may prefill the prompt for another one.
    const std::set<std::string>* excluded_from_decode = nullptr;
    // Whether a separate engine may prefill the prompt.
    bool can_use_prefill_engine = true;
    // The longest pause between events that meets the objective.
    fractional_milliseconds pause_objective{150};
    // Whether the response has several events, so that pauses between them matter.
    bool has_many_events = true;
    // Number of events of a usual and of a long response of the route.
    double usual_events = 1;
    double long_events = 1;
    // Time from now until the response must be complete; 0 if it is not limited.
    fractional_milliseconds time_left{0};
    // Source of random numbers if other hosts choose at the same time; null otherwise.
    std::mt19937_64* random = nullptr;
};

// The engines that serve a prompt, and the predicted times.
struct prompt_plan {
    // Engine that prefills the prompt for `decode_engine`; null if `decode_engine`
    // prefills it itself.
    endpoint_pointer prefill_engine;
    endpoint_pointer decode_engine;
    // Engine from which the prompt prefix is transferred; null if the engine that
    // prefills has it cached, or no engine has.
    endpoint_pointer prefix_source;
    // Predicted prefill time of this prompt alone, and the time from now until its
    // prefill is complete.
    fractional_milliseconds prefill_time{0};
    fractional_milliseconds prefill_latency{0};
    // Prefill time on an engine that does nothing else.
    fractional_milliseconds nominal_prefill_time{0};
    // Tokens to prefill, and their pairs with preceding tokens.
    double prefilled_tokens = 0;
    double prefilled_pairs = 0;
    // Time within `prefill_time` for transferring the prompt prefix.
    fractional_milliseconds prefix_transfer_time{0};
    // Time from now to the first event, and from there to the end of a usual response; the latter
    // is 0 before any pace was observed.
    fractional_milliseconds first_event{0};
    fractional_milliseconds stream_time{0};
    // Urgency of the request at the engines.
    std::uint32_t urgency = 0;
};

// Exponential moving average that decays to zero while nothing is observed, so that an
// engine that was avoided is tried again.
class recent_average {
public:
    static constexpr std::chrono::milliseconds decay_time{2'500};
    static constexpr double new_value_weight = 0.2;

    void record(fractional_milliseconds value, time_point now) noexcept
    {
        const auto before = at(now);
        m_value = before + new_value_weight * (value - before);
        m_at = now;
    }

    fractional_milliseconds at(time_point now) const noexcept;

private:
    fractional_milliseconds m_value{0};
    time_point m_at{};
};

// State of one engine as known to this host.
struct engine_state {
    endpoint_health health;
    // Health of the KV transfers from this engine to others.
    endpoint_health kv_transfer_health;
    // Time from the decode request of a prefilled prompt to its first event, and the
    // pause between events.
    recent_average decode_start_delay;
    recent_average pause;
};

class engine_placement {
public:
    // Minimum number of tokens of a prompt prefix to transfer. A shorter prefix is
    // prefilled again sooner than it is transferred; it is neither announced to other
    // hosts nor requested from other engines.
    static constexpr double min_transfer_tokens = 256;

    // `work` must outlive the placement.
    explicit engine_placement(fleet_work& work, engine_costs costs = {})
        : m_work{work}, m_costs{costs}, m_prefill_model{costs.prefill_terms}
    {
    }

    // Returns the decode engines that only decode: fast ones before the others. The result is the
    // same on all hosts that know of the same work and the same speeds.
    std::set<const endpoint*>
    decode_only_engines(const std::vector<endpoint_pointer>& engines) const;

    // Returns the plan with the earliest first event. Its decode engine is null if no
    // engine is usable.
    prompt_plan choose(const prompt_query& query, const std::vector<endpoint_pointer>& engines);

    // Returns the engine that decodes a prompt prefilled by `prefill_engine`; null if no engine
    // is usable.
    endpoint_pointer choose_decode_engine(const prompt_query& query, const endpoint& prefill_engine,
                                          const std::vector<endpoint_pointer>& engines);

    // Records that a prompt was sent to an engine, which has it in its KV cache after
    // `prefill_latency`. Returns how many of its tokens the engine did not have cached.
    double record_prompt(const prompt_query& query, const endpoint& engine,
                         fractional_milliseconds prefill_latency);
    // Records work that another host has sent to an engine.
    void record_work(const engine_work& work, time_point now);
    // Records what this or another host observed of work that has ended: the time ratio of a
    // prefill, or the milliseconds between the events of a stream. 0 means nothing.
    void record_result(const ended_work& work, double observed, time_point now);

    // Returns the digest of the shared prompt prefix that is announced to other hosts; 0
    // if the prefix is too short.
    static std::uint32_t shared_prefix_digest(const std::vector<prompt_segment>& prompt);

    // Learns from the observed prefill time of a plan. Returns the time ratio of the engine, to be
    // recorded with the end of the work.
    double learn_prefill_time(const std::string& engine, const prompt_plan& plan,
                              fractional_milliseconds observed, time_point now);
    // Returns the time ratio of an engine that shows in an observed time: the ratio to the time
    // that is predicted without regard to the engine's speed.
    double observed_time_ratio(const std::string& engine, fractional_milliseconds predicted,
                               fractional_milliseconds observed, time_point now) const;
    // Returns the expected ratio of an engine's prefill time to the time that is predicted without
    // regard to its speed.
    double time_ratio(std::uint32_t engine, time_point now) const;

    // Returns whether the engine is known to be faster than most, from its streams or, if it had
    // none, from its prefill times.
    bool is_fast(std::uint32_t engine) const;
    // Returns how many streams the engine runs at the pace that the query needs, at most its slots.
    double stream_capacity(const prompt_query& query, const endpoint& engine) const;

    const prefill_model& model() const noexcept { return m_prefill_model; }
    const balancing::decode_model& pace() const noexcept { return m_pace; }

    // Marks the engine as changing its stage: it takes no work until `until`.
    void begin_stage_change(std::uint32_t engine, engine_stage to, time_point until)
    {
        m_changing[engine] = {to, until};
    }

    // Returns the stage to which an engine is currently changing.
    std::optional<engine_stage> changing_to(const endpoint& engine, time_point now) const;

    engine_state& state(const std::string& engine) { return m_engines[engine]; }
    void forget(const std::string& engine)
    {
        m_engines.erase(engine);
        m_kv_cache.forget(engine_number(engine));
        m_pace.forget(engine_number(engine));
        m_time_ratios.erase(engine_number(engine));
    }

private:
    // Shared prefixes of a prompt, the shortest first, as keys and token counts, and the
    // engine that has the longest of them cached.
    struct prompt_prefixes {
        std::vector<std::uint32_t> keys;
        std::vector<double> tokens;
        endpoint_pointer source;
        double source_tokens = 0;
    };

    static prompt_prefixes prefixes_of(const std::vector<prompt_segment>& prompt);
    // Returns the rendezvous hash weight of an engine for a prompt prefix, in [0, 1). It
    // is the same on all hosts.
    static double rendezvous_weight(const prompt_prefixes& of, const endpoint& engine);
    void find_prefix_source(prompt_prefixes& of, const prompt_query& query,
                            const std::vector<endpoint_pointer>& engines) const;
    // Returns how many tokens of the prefixes the engine is known to have cached; with
    // `ready_only`, only those whose prefill is complete.
    double known_cached_tokens(const prompt_prefixes& of, const endpoint& engine,
                               const prompt_query& query, bool ready_only) const;

    // Returns the same engines as decode_only_engines(), ordered by address.
    std::vector<const endpoint*>
    find_decode_only(const std::vector<endpoint_pointer>& engines) const;

    struct decode_engine_choice {
        endpoint_pointer decode_engine;
        fractional_milliseconds cost{0};
    };

    // Cost of prefilling a prompt on one engine.
    struct prefill_cost {
        fractional_milliseconds time{0};
        fractional_milliseconds nominal{0};
        double tokens = 0;
        double pairs = 0;
        fractional_milliseconds prefix_transfer_time{0};
        // Cost of prefilling or copying tokens that another engine already has cached.
        fractional_milliseconds repeated_cost{0};
        // Whether the prefix is transferred from the engine that has most of it cached.
        bool is_transferred = false;
    };

    decode_engine_choice best_decode_engine(const prompt_query& query,
                                            const endpoint& prefill_engine,
                                            fractional_milliseconds prefill_latency,
                                            const std::vector<endpoint_pointer>& engines,
                                            const std::vector<const endpoint*>& decode_only) const;
    // Returns the interval between events that a stream needs which begins after `delay`.
    fractional_milliseconds needed_interval(const prompt_query& query,
                                            fractional_milliseconds delay) const;
    // Returns the predicted time of a usual response on an engine; 0 before any pace was observed.
    fractional_milliseconds stream_time(const prompt_query& query, const endpoint& engine) const;
    // Returns the predicted time of a stream on an engine that runs `streams` others, with the
    // penalty for a pace that misses `needed`; nothing before any pace was observed.
    std::optional<fractional_milliseconds> stream_cost(const prompt_query& query,
                                                       std::uint32_t engine, std::size_t streams,
                                                       fractional_milliseconds needed) const;
    // Additional cost of an engine in another availability zone.
    fractional_milliseconds zone_cost(const prompt_query& query, const endpoint& engine) const;
    // Transfer time of the KV cache entries for this many tokens.
    static fractional_milliseconds transfer_time(const prompt_query& query, double tokens);
    // Returns the state of the engine; null if there is none.
    const engine_state* find_state(const endpoint& engine) const;
    // Whether the engine has not failed this request and has not asked for backoff.
    static bool may_use(const prompt_query& query, const endpoint& engine,
                        const engine_state* known);
    // Whether the engine may also generate the response.
    static bool may_decode(const prompt_query& query, const endpoint& engine,
                           const engine_state* known);
    // Penalty for an engine that fails or changes its stage, which is used only as a last
    // resort.
    fractional_milliseconds penalty_of(const prompt_query& query, const endpoint& engine,
                                       const engine_state* known) const;
    prefill_cost estimate_prefill_cost(const prompt_query& query, const endpoint& engine,
                                       const prompt_prefixes& shared);

    fleet_work& m_work;
    engine_costs m_costs;
    prefill_model m_prefill_model;
    balancing::decode_model m_pace;
    std::unordered_map<std::uint32_t, balancing::replica_speed> m_time_ratios;
    std::unordered_map<std::string, engine_state> m_engines;
    struct stage_transition {
        engine_stage to = engine_stage::none;
        time_point until{};
    };
    std::unordered_map<std::uint32_t, stage_transition> m_changing;
    engine_kv_cache m_kv_cache;
};

// State of one replica of a plain service as known to this host.
struct replica_state {
    endpoint_health health;
    std::uint32_t in_flight = 0;
};

// Chooses among replicas of plain services: those in the own availability zone first
// while they have free slots, and among them the least loaded. A replica on which this
// host already uses its share of the connections is a last resort.
class replica_placement {
public:
    endpoint_pointer choose(const std::vector<endpoint_pointer>& replicas,
                            std::string_view availability_zone,
                            const std::set<std::string>& excluded, std::uint32_t max_in_flight,
                            time_point now, std::mt19937_64& random);

    replica_state& state(const std::string& replica) { return m_replicas[replica]; }
    void forget(const std::string& replica) { m_replicas.erase(replica); }

private:
    std::unordered_map<std::string, replica_state> m_replicas;
};

} // namespace cicadaport::serving
