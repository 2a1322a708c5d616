// Checks what becomes of requests, above all around planned stops of hosts.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cicadaport::platform::testing {

// A request is lost if its connection ends without a complete answer within the time of a planned
// stop, from SIGTERM until `slack_after_grace` after the grace time, and either a replica had
// begun to work on it or the connection ended later than `loss_slack` after its last byte. It is
// not lost if its time was over, if its replica broke off, if the host had an unplanned fault, or
// if its replica was at work in the last sixth of the grace time and it was sent at most
// `max_late_time` after SIGTERM.
//
// At all times a request that may not be repeated runs at most once, and not at all if its status
// promises so; and a success has the replica's whole body. No run of a request begins more than
// `gone_slack` after its caller has left, unless its host had an unplanned fault.
//
// Pure. Not thread safe.
class stop_judge {
public:
    using clock = std::chrono::steady_clock;
    using time_point = clock::time_point;
    using milliseconds = std::chrono::milliseconds;
    static constexpr milliseconds loss_slack{200};
    static constexpr milliseconds max_late_time{3'000};
    static constexpr milliseconds slack_after_grace{1'000};
    static constexpr milliseconds gone_slack{500};

    // A request that has ended, as its caller saw it.
    struct request {
        std::string id;
        // The process that received it.
        std::size_t process = 0;
        bool may_repeat = false;
        milliseconds time_limit{0};
        // When its last byte was sent, and when its answer or its connection ended.
        time_point sent{};
        time_point ended{};
        // 0 if there was no complete answer.
        unsigned status = 0;
        bool has_whole_body = false;
        // Whether the answer before it on its connection was cut, so that nothing could follow.
        bool is_behind_cut = false;
        // Whether the host had an unplanned fault from `contact` before the request to its end.
        bool is_excused = false;
    };

    // A request whose caller closed its connection without waiting for the answer.
    struct departure {
        std::string id;
        time_point left{};
        // Whether the host had an unplanned fault from `contact` before the request on.
        bool is_excused = false;
    };

    struct violation {
        request of;
        std::string text;
    };

    // Records the SIGTERM of a process.
    void record_stop(std::size_t process, time_point at, milliseconds grace)
    {
        m_stops[process] = {at, grace};
    }

    // Records that a replica began to run a request.
    void record_run(const std::string& id, time_point at)
    {
        auto& run = m_runs[id];
        ++run.count;
        run.last_began = at;
        record_work(id, at);
    }

    // Records that a replica is at work on a request: runs it, or prefills its prompt.
    void record_work(const std::string& id, time_point at)
    {
        auto& run = m_runs[id];
        run.began = run.is_passed_on() ? run.began : at;
        run.last_at_work = at;
    }

    // Records that a replica breaks off its answer to a request.
    void record_break_off(const std::string& id) { m_runs[id].broke_off = true; }

    void record_request(request ended) { m_requests.push_back(std::move(ended)); }

    void record_departure(departure left) { m_departures.push_back(std::move(left)); }

    std::size_t request_count() const { return m_requests.size(); }
    std::size_t departure_count() const { return m_departures.size(); }

    // Returns the number of requests that were in flight at, or sent after, a SIGTERM.
    std::size_t stopped_count() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_requests.begin(), m_requests.end(),
                          [this](const auto& each) { return stop_of(each) != nullptr; }));
    }

    std::vector<violation> violations() const
    {
        constexpr unsigned first_success = 200;
        constexpr unsigned first_redirection = 300;
        std::vector<violation> out;
        for (const auto& each : m_requests) {
            const auto found = m_runs.find(each.id);
            const auto run = found != m_runs.end() ? found->second : run_record{};
            if (!each.may_repeat && run.count > 1) {
                out.push_back({each, fmt::format("TWICE: ran {} times", run.count)});
            }
            if (!each.may_repeat && promises_not_run(each.status) && run.count > 0) {
                out.push_back({each, fmt::format("REFUSED: got {} and ran", each.status)});
            }
            if (each.status >= first_success && each.status < first_redirection &&
                !each.has_whole_body) {
                out.push_back(
                    {each, fmt::format("MIXED: got {} without the whole body", each.status)});
            }
            if (is_lost(each, run)) {
                const auto since_stop = [&](time_point at) {
                    return std::chrono::duration<double>(at - stop_of(each)->at).count();
                };
                out.push_back(
                    {each, fmt::format("LOST: sent {:.3f} s after SIGTERM, {}, ended "
                                       "without an answer {:.3f} s after SIGTERM",
                                       since_stop(each.sent),
                                       !run.is_passed_on()
                                           ? "not passed on"
                                           : fmt::format("at work from {:.3f} to {:.3f} s",
                                                         since_stop(run.began),
                                                         since_stop(run.last_at_work)),
                                       since_stop(each.ended))});
            }
        }
        add_late_runs(out);
        return out;
    }

private:
    struct run_record {
        std::size_t count = 0;
        time_point began{};
        time_point last_began{};
        time_point last_at_work{};
        bool broke_off = false;

        bool is_passed_on() const { return last_at_work != time_point{}; }
    };

    struct stop_record {
        time_point at;
        milliseconds grace;
    };

    static bool promises_not_run(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    // Returns the planned stop of the request's process in whose time the request ended.
    const stop_record* stop_of(const request& of) const
    {
        const auto found = m_stops.find(of.process);
        if (found == m_stops.end()) {
            return nullptr;
        }
        const auto& stop = found->second;
        return of.ended >= stop.at && of.ended <= stop.at + stop.grace + slack_after_grace
                   ? &stop
                   : nullptr;
    }

    bool is_lost(const request& of, const run_record& run) const
    {
        const auto* const stop = stop_of(of);
        if (stop == nullptr || of.status != 0 || of.is_excused || run.broke_off ||
            of.ended - of.sent >= of.time_limit) {
            return false;
        }
        constexpr int parts = 6;
        const bool was_at_work_at_end =
            run.last_at_work >= stop->at + stop->grace * (parts - 1) / parts;
        if (was_at_work_at_end && of.sent - stop->at <= max_late_time) {
            return false;
        }
        const bool was_passed_on = run.is_passed_on() && run.began <= of.ended;
        return was_passed_on || (!of.is_behind_cut && of.ended - of.sent > loss_slack);
    }

    // Adds the runs that began for callers that had left.
    void add_late_runs(std::vector<violation>& out) const
    {
        for (const auto& each : m_departures) {
            const auto found = m_runs.find(each.id);
            if (each.is_excused || found == m_runs.end() ||
                found->second.last_began <= each.left + gone_slack) {
                continue;
            }
            request of;
            of.id = each.id;
            const std::chrono::duration<double> late = found->second.last_began - each.left;
            out.push_back({std::move(of), fmt::format("GONE: began {:.3f} s after its caller left",
                                                      late.count())});
        }
    }

    // By process.
    std::map<std::size_t, stop_record> m_stops;
    // By request id.
    std::map<std::string, run_record> m_runs;
    std::vector<request> m_requests;
    std::vector<departure> m_departures;
};

} // namespace cicadaport::platform::testing
