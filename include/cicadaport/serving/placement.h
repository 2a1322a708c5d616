// Which endpoints serve a request.
//
// The load that this answers: prompts of very different lengths whose mix
// turns within seconds, on engines of two stages. A prompt can be read by a
// prefill engine, which hands its memory to the decode engine that answers, or
// by the decode engine itself at half the speed. Each request takes the way
// with the earliest predicted first token; so work spreads over both kinds of
// engines in proportion to what is left of them.
//
// A decode engine that reads prompts makes the streams that run beside them
// pause. So decode engines are divided, in the same way by every host: some
// only answer, with prompts that others have read; the rest also read prompts,
// but only of requests whose answers have few events, which seldom pause.
//
// Pure: times and randomness are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/deployment.h"
#include "cicadaport/serving/endpoint_health.h"
#include "cicadaport/serving/engine_memory.h"
#include "cicadaport/serving/fleet_work.h"
#include "cicadaport/serving/reading_model.h"
#include "cicadaport/serving/wire.h"

#include <optional>
#include <random>
#include <set>

namespace cicadaport::serving {

// What an engine needs for prompts.
struct engine_costs {
    // Until engines have shown what they need.
    reading_model::terms reading;
    // A decode engine reads at this part of the speed, between the tokens of
    // other requests.
    double decode_engine_part = 0.4;
    // From the end of reading to the first event, one step.
    fine_milliseconds first_event{5};
    // Handing over a prompt's memory: two more messages and the set-up of the
    // transfer.
    fine_milliseconds hand_over{4};
    // Each message between availability zones takes this much longer, both ways.
    fine_milliseconds other_zone{2};
    // Each answer makes the steps of the others a little longer.
    fine_milliseconds per_answer{0.5};
    // A request that fails has cost so much.
    fine_milliseconds failure{300};
    // Each answer that an engine streams pauses while it reads; and an answer
    // pauses for as many times what the engine has to read.
    fine_milliseconds per_paused_answer{10};
    double pause_behind_reading = 3;
    // An engine that also reads prompts, and one without a free slot, cost an
    // answer so much.
    fine_milliseconds reads_too{300};
    fine_milliseconds no_slot{1'000};
    // Pauses beyond this part of what is in time cost so many times themselves.
    double pause_part = 0.7;
    double pause_weight = 20;
    // Reading a beginning again that another engine keeps counts this many
    // times: it also drives another beginning out.
    double repeated_reading = 4;
    // A copy of a beginning that another engine keeps too counts as this part of
    // reading it, for the same reason.
    double copy_weight = 1;
    // Engines that cost the same are told apart by the prompt's beginning, alike on
    // all hosts, by up to this much: beginnings spread over engines.
    fine_milliseconds spread{5};
    // Setting up the transfer of a beginning from another engine.
    fine_milliseconds transfer_set_up{4};
    // Part of the decode engines that only answer, at least.
    double answering_part = 0.34;
    // Part of their slots that answers may fill before more engines answer.
    double answering_fill = 0.7;
};

// What is asked for one prompt.
struct prompt_question {
    const std::vector<prompt_segment>* prompt = nullptr;
    double prompt_tokens = 0;
    std::uint32_t urgency = 0;
    double bytes_per_token = 0;
    double link_mbps = 0;
    // Tokens that an engine's memory holds; 0 if unknown.
    double memory_tokens = 0;
    std::string_view availability_zone;
    time_point now{};
    // Endpoints that must not be used for this request.
    const std::set<std::string>* excluded = nullptr;
    // Whether another engine may read the prompt.
    bool may_hand_over = true;
    // The longest pause between events that is in time.
    fine_milliseconds pause_objective{150};
    // Whether its answer has several events, so that pauses matter.
    bool many_events = true;
};

// A way to serve a prompt.
struct prompt_plan {
    // Reads the prompt for `runner`; null if `runner` does it.
    endpoint_pointer reader;
    endpoint_pointer runner;
    // From which the engine that reads takes the prompt's beginning; null if it
    // keeps it itself or nobody does.
    endpoint_pointer prefix_source;
    // What the engine that reads the prompt needs for it alone, and when it will
    // be done with it, from now.
    fine_milliseconds reading{0};
    fine_milliseconds read_after{0};
    // What an engine that does nothing but read would need.
    fine_milliseconds nominal_reading{0};
    // Tokens that are read, and their pairs with tokens before them.
    double read_tokens = 0;
    double read_pairs = 0;
    // Part of `reading` that fetches the beginning.
    fine_milliseconds fetching{0};
    // From now to the first event.
    fine_milliseconds first_event{0};
    // Of the request at the engines.
    std::uint32_t urgency = 0;
};

// An average of recent observations that is forgotten while nothing is
// observed, so that an engine that was left alone is tried again.
class recent_average {
public:
    static constexpr std::chrono::milliseconds forgotten{2'500};
    static constexpr double new_part = 0.2;

    void note(fine_milliseconds value, time_point now) noexcept
    {
        const auto before = at(now);
        m_value = before + new_part * (value - before);
        m_at = now;
    }

    fine_milliseconds at(time_point now) const noexcept;

private:
    fine_milliseconds m_value{0};
    time_point m_at{};
};

// What this host knows of one engine.
struct engine_state {
    endpoint_health health;
    // Whether other engines get the memory of the prompts that it reads.
    endpoint_health memory_health;
    // Observed over predicted time, as a moving average.
    double slowness = 1;
    // From when an answer whose prompt had been read was asked for to its first
    // event, and between its events.
    recent_average answer_wait;
    recent_average pause;
};

class engine_placement {
public:
    // A beginning of fewer tokens is read again sooner than it is transferred; it
    // is neither told to other hosts nor asked of other engines.
    static constexpr double least_transfer = 256;

    // `work` must outlive the placement.
    explicit engine_placement(fleet_work& work, engine_costs costs = {})
        : m_work{work}, m_costs{costs}, m_reading{costs.reading}
    {
    }

    // The decode engines that only answer, the same for all hosts that hear of
    // the same work.
    std::set<const endpoint*> answering_engines(const std::vector<endpoint_pointer>& engines) const;

    // Returns the way with the earliest first event; without a runner if there
    // is no engine to use.
    prompt_plan choose(const prompt_question& question,
                       const std::vector<endpoint_pointer>& engines);

    // Returns the engine that answers a prompt which `reader` has read; null if
    // there is none to use.
    endpoint_pointer choose_runner(const prompt_question& question, const endpoint& reader,
                                   const std::vector<endpoint_pointer>& engines);

    // Notes that an engine was sent a prompt which it will have in memory after
    // `read_after`. Returns how many of its tokens the engine did not keep.
    double note_prompt(const prompt_question& question, const endpoint& engine,
                       fine_milliseconds read_after);
    // Notes what another host has sent to an engine.
    void note_work(const engine_work& work, time_point now);

    // Returns the digest of a prompt's shared beginning that other hosts are told;
    // 0 if it is too short.
    static std::uint32_t beginning_of(const std::vector<prompt_segment>& prompt);

    // Notes how long the engine that reads a prompt took against what was predicted.
    void note_reading(const std::string& engine, const prompt_plan& plan,
                      fine_milliseconds observed);
    // The same where the time is not that of a prefill engine alone.
    void note_time(const std::string& engine, fine_milliseconds predicted,
                   fine_milliseconds observed);

    const reading_model& reading() const noexcept { return m_reading; }

    // The engine takes no work until then: it changes its stage.
    void begin_change(std::uint32_t engine, engine_stage to, time_point until)
    {
        m_changing[engine] = {to, until};
    }

    // Returns the stage that an engine changes to just now.
    std::optional<engine_stage> changing_to(const endpoint& engine, time_point now) const;

    engine_state& state(const std::string& engine) { return m_engines[engine]; }
    void forget(const std::string& engine)
    {
        m_engines.erase(engine);
        m_memory.forget(engine_number(engine));
    }

private:
    // A prompt's shared beginnings, the shortest first: their keys and their tokens;
    // and the engine that keeps the longest of them.
    struct beginnings {
        std::vector<std::uint32_t> keys;
        std::vector<double> tokens;
        endpoint_pointer keeper;
        double kept_by_keeper = 0;
    };

    static beginnings beginnings_of(const std::vector<prompt_segment>& prompt);
    // Returns a number from [0, 1) that all hosts draw alike.
    static double weight_of(const beginnings& of, const endpoint& engine);
    void find_keeper(beginnings& of, const prompt_question& question,
                     const std::vector<endpoint_pointer>& engines) const;
    // Returns how many tokens of the beginnings the engine is known to keep; with
    // `ready_only` it has already read them.
    double known_to_keep(const beginnings& of, const endpoint& engine,
                         const prompt_question& question, bool ready_only) const;

    struct runner_choice {
        endpoint_pointer runner;
        fine_milliseconds cost{0};
    };

    // What reading a prompt costs one engine.
    struct reading_cost {
        fine_milliseconds time{0};
        fine_milliseconds nominal{0};
        double tokens = 0;
        double pairs = 0;
        fine_milliseconds fetching{0};
        // What is read there though another engine keeps it.
        fine_milliseconds repeated{0};
        // Whether the beginning is taken from the engine that keeps most of it.
        bool is_transferred = false;
    };

    runner_choice best_runner(const prompt_question& question, const endpoint& reader,
                              const std::vector<endpoint_pointer>& engines) const;
    // An engine in another availability zone costs so much more.
    fine_milliseconds distance_to(const prompt_question& question, const endpoint& engine) const;
    // How long the memory of so many of the prompt's tokens is under way.
    static fine_milliseconds transfer_time(const prompt_question& question, double tokens);
    // Whether the engine has not failed this request and wants requests.
    bool may_use(const prompt_question& question, const endpoint& engine) const;
    // An engine that fails, or changes its stage, is a last resort.
    fine_milliseconds distrust_of(const prompt_question& question, const endpoint& engine) const;
    reading_cost cost_of_reading(const prompt_question& question, const endpoint& engine,
                                 const beginnings& shared);

    fleet_work& m_work;
    engine_costs m_costs;
    reading_model m_reading;
    std::unordered_map<std::string, engine_state> m_engines;
    struct stage_transition {
        engine_stage to = engine_stage::none;
        time_point until{};
    };
    std::unordered_map<std::uint32_t, stage_transition> m_changing;
    engine_memory m_memory;
};

// What this host knows of one replica of a plain service.
struct replica_state {
    endpoint_health health;
    std::uint32_t in_flight = 0;
};

// Choosing among replicas of plain services: those of the own availability
// zone first, as long as they have free slots; among them the least used. One
// that has this host's part of its connections in use is a last resort.
class replica_placement {
public:
    endpoint_pointer choose(const std::vector<endpoint_pointer>& replicas,
                            std::string_view availability_zone,
                            const std::set<std::string>& excluded, std::uint32_t most_in_flight,
                            time_point now, std::mt19937_64& random);

    replica_state& state(const std::string& replica) { return m_replicas[replica]; }
    void forget(const std::string& replica) { m_replicas.erase(replica); }

private:
    std::unordered_map<std::string, replica_state> m_replicas;
};

} // namespace cicadaport::serving
