// Finds requests on which replicas crash, and keeps them away from replicas.
//
// What crashes an engine may be one segment of a prompt, which other requests share, or a request
// as a whole. The digest of a whole request counts as one more of its segments, which only the same
// request has when it comes again. In what follows an engine stands for any replica.
//
// A segment can crash every engine that begins to answer a request with it, whatever else the
// request contains. Such requests arrive at any host, so the hosts exchange what they observe. An
// engine that ends makes suspects of the segments of those requests whose answers were beginning
// there. A segment is cleared as soon as any host sees a request with it being answered, which
// happens to the segments of normal traffic within moments. A suspect that is present at several
// crashes and is never cleared is quarantined: requests with it are rejected before they reach an
// engine.
//
// A sound segment can be present at the same crashes by chance, or because it occurs only together
// with the one that causes them. While other quarantined segments explain its crashes, and after
// its quarantine has expired, single requests without those others are sent as trials.
//
// Performs no I/O; times are passed in. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace cicadaport::serving {

// Identifies a prompt segment, or a whole request by its digest.
using segment_id = std::uint64_t;

// The end of an engine, with the segments of the requests that it was beginning to answer.
struct engine_crash {
    // Identifies the engine and its incarnation; the same on all hosts.
    std::uint64_t engine = 0;
    base::boot_clock::time_point at{};
    std::vector<segment_id> segments;
};

// A request with this segment was answered.
struct segment_survival {
    segment_id segment = 0;
    base::boot_clock::time_point at{};
};

// The evidence against a segment.
struct segment_verdict {
    segment_id segment = 0;
    // Crashes at which the segment was present since it was last cleared.
    std::size_t crashes = 0;
    base::boot_clock::time_point last_crash{};
    // When the quarantine expires. Empty if the segment is only suspected.
    std::optional<base::boot_clock::time_point> quarantined_until;
};

class prompt_quarantine {
public:
    using time_point = base::boot_clock::time_point;

    // Evidence from which on a segment is quarantined. The crash of one engine counts as 1. Of the
    // engines that end within `simultaneous_time`, as when a rack fails, at most
    // `max_simultaneous_crashes` count, and less if the segment was present at only some of those
    // that nothing else explains.
    static constexpr double evidence_threshold = 2.5;
    static constexpr std::size_t max_simultaneous_crashes = 2;
    static constexpr std::chrono::milliseconds simultaneous_time{100};
    // Two observations of one engine within this time are of the same crash.
    static constexpr std::chrono::milliseconds same_crash_time{1'000};
    // A segment that was answered this long before a crash, or later, is not suspected for it.
    static constexpr std::chrono::seconds survival_ttl{15};
    // The first quarantine. Each further crash doubles it.
    static constexpr std::chrono::minutes initial_quarantine{10};
    static constexpr std::chrono::hours max_quarantine{24};
    // Number of crashes of a segment that other segments may leave unexplained if it is to be tried
    // again, and the minimum time between two trials of all hosts together.
    static constexpr std::size_t max_unexplained_crashes = 1;
    static constexpr std::chrono::seconds trial_interval{2};
    // A segment that is only suspected is forgotten this long after its last crash.
    static constexpr std::chrono::minutes suspicion_ttl{10};
    // Evidence is announced to other hosts again if no host has done so for this time, as long
    // as the segment is quarantined or its last crash is more recent than `repair_time`.
    static constexpr std::chrono::seconds announcement_interval{2};
    static constexpr std::chrono::seconds repair_time{10};
    // Bounds of the memory used.
    static constexpr std::size_t max_suspects = 1'024;
    static constexpr std::size_t max_crashes_per_segment = 12;
    static constexpr std::size_t max_survivals = 8'192;
    static constexpr std::size_t max_recent_ends = 256;
    // Segments of one request that are considered.
    static constexpr std::size_t max_segments_per_request = 64;

    struct crash_result {
        // Whether this is the first report of the crash.
        bool is_new = false;
        // Segments for which the crash is new evidence.
        std::vector<segment_verdict> suspected;
        // Segments that are not suspected because they were answered recently.
        std::vector<segment_survival> contradicted;
    };

    // Records the end of an engine, seen by this host or announced by another one. `segments` may
    // be empty.
    crash_result record_crash(const engine_crash& crash, time_point now);

    // Records that a request was answered. Returns what was known against its segments, which
    // are now cleared.
    std::vector<segment_verdict> record_survival(std::span<const segment_id> segments,
                                                 time_point at, time_point now);

    struct rejection {
        segment_verdict verdict;
        // When a request with these segments may be admitted.
        time_point retry_at{};
    };
    struct admission {
        // Empty if the request may be sent to an engine.
        std::optional<rejection> rejected;
        // Quarantined segments for which the admitted request is a trial.
        std::vector<segment_id> tried;
    };

    // Decides whether a request with these segments may be sent to an engine. A trial counts as
    // begun.
    admission admit(std::span<const segment_id> segments, time_point now);

    // Returns the verdict against a request with these segments that was sent already; empty unless
    // a segment is in quarantine and nothing else explains its crashes.
    std::optional<segment_verdict> find_convicted(std::span<const segment_id> segments,
                                                  time_point now) const;

    // Records that another host has sent a trial request.
    void record_trial(segment_id segment, time_point now);

    // Returns the largest evidence against one of the segments.
    double max_evidence(std::span<const segment_id> segments) const;

    // Returns crashes that are due to be announced to other hosts again, and counts them as
    // announced at `now`.
    std::vector<engine_crash> take_due_announcements(time_point now);

    // Returns all evidence, for a host that has just started.
    std::vector<engine_crash> all_crashes() const;

    void forget_old(time_point now);

    std::size_t quarantined_count(time_point now) const;
    std::size_t suspect_count() const noexcept { return m_suspects.size(); }
    bool is_suspect(segment_id segment) const { return m_suspects.contains(segment); }

private:
    struct seen_crash {
        std::uint64_t engine = 0;
        time_point at{};
    };
    struct seen_end : seen_crash {
        // Whether a suspect was present that was also present at a crash at another time. It may
        // have caused this end, which then says nothing about a common failure.
        bool is_explained = false;
    };
    struct suspect {
        // In order of time.
        std::vector<seen_crash> crashes;
        time_point announced_at{};
        time_point tried_at{};
        double evidence = 0;
    };

    static bool is_same_crash(const seen_crash& one, const seen_crash& other) noexcept;
    // Returns whether the crash was not known yet.
    bool record_end(const seen_crash& end, time_point now);
    double evidence_against(const suspect& of) const;
    // Returns whether the suspect was present at crashes so far apart that they have no common
    // cause but itself.
    static bool has_separate_crashes(const suspect& of) noexcept;
    // Marks the ends at which the suspect was present as explained. Adds the times of those that
    // were not before to `changed`.
    void mark_explained_ends(const suspect& by, std::vector<time_point>& changed);
    // Computes the evidence anew that ends of engines at these times may have changed.
    void update_evidence(std::span<const time_point> changed);
    // Computes anew which ends are explained, and all evidence.
    void update_all();
    static segment_verdict verdict_of(segment_id segment, const suspect& of);
    static bool is_convicted(const suspect& of) noexcept
    {
        return of.evidence >= evidence_threshold;
    }
    static bool is_quarantined(const suspect& of, time_point now);
    // Returns whether quarantined segments that are not among `segments` explain the crashes of
    // the suspect.
    bool has_other_explanation(const suspect& of, std::span<const segment_id> segments) const;
    template <typename Condition>
    std::vector<engine_crash> crashes_of_suspects(Condition condition) const;
    void make_room();

    std::unordered_map<segment_id, suspect> m_suspects;
    std::unordered_map<segment_id, time_point> m_survivals;
    // Engines that ended lately, whatever they were running.
    std::vector<seen_end> m_recent_ends;
};

} // namespace cicadaport::serving
