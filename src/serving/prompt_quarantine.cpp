#include "cicadaport/serving/prompt_quarantine.h"

#include <algorithm>
#include <map>

namespace cicadaport::serving {

prompt_quarantine::crash_result prompt_quarantine::record_crash(const engine_crash& crash,
                                                                time_point now)
{
    crash_result out;
    const seen_crash added{crash.engine, crash.at};
    out.is_new = record_end(added, now);
    std::vector<segment_id> added_to;
    for (const auto segment : crash.segments) {
        const auto answered = m_survivals.find(segment);
        if (answered != m_survivals.end() && answered->second + survival_ttl >= crash.at) {
            out.contradicted.push_back({segment, answered->second});
            continue;
        }
        if (!m_suspects.contains(segment) && m_suspects.size() >= max_suspects) {
            make_room();
        }
        auto& known = m_suspects[segment];
        known.announced_at = now;
        auto& crashes = known.crashes;
        if (std::any_of(crashes.begin(), crashes.end(),
                        [&](const auto& each) { return is_same_crash(each, added); })) {
            continue;
        }
        crashes.insert(std::upper_bound(
                           crashes.begin(), crashes.end(), added,
                           [](const auto& left, const auto& right) { return left.at < right.at; }),
                       added);
        if (crashes.size() > max_crashes_per_segment) {
            crashes.erase(crashes.begin());
        }
        added_to.push_back(segment);
    }
    if (!out.is_new && added_to.empty()) {
        return out;
    }
    std::vector<time_point> changed{crash.at};
    for (const auto segment : added_to) {
        const auto found = m_suspects.find(segment);
        if (found != m_suspects.end() && has_separate_crashes(found->second)) {
            mark_explained_ends(found->second, changed);
        }
    }
    update_evidence(changed);
    for (const auto segment : added_to) {
        // Making room for a later segment may have removed an earlier one.
        if (const auto found = m_suspects.find(segment); found != m_suspects.end()) {
            out.suspected.push_back(verdict_of(segment, found->second));
        }
    }
    return out;
}

bool prompt_quarantine::record_end(const seen_crash& end, time_point now)
{
    if (std::any_of(m_recent_ends.begin(), m_recent_ends.end(),
                    [&](const auto& each) { return is_same_crash(each, end); })) {
        return false;
    }
    std::erase_if(m_recent_ends, [&](const auto& each) { return now - each.at > suspicion_ttl; });
    if (m_recent_ends.size() == max_recent_ends) {
        m_recent_ends.erase(m_recent_ends.begin());
    }
    m_recent_ends.push_back({end, false});
    return true;
}

bool prompt_quarantine::has_separate_crashes(const suspect& of) noexcept
{
    return of.crashes.back().at - of.crashes.front().at >= same_crash_time;
}

void prompt_quarantine::mark_explained_ends(const suspect& by, std::vector<time_point>& changed)
{
    for (auto& end : m_recent_ends) {
        if (!end.is_explained &&
            std::any_of(by.crashes.begin(), by.crashes.end(),
                        [&](const auto& each) { return is_same_crash(each, end); })) {
            end.is_explained = true;
            changed.push_back(end.at);
        }
    }
}

void prompt_quarantine::update_evidence(std::span<const time_point> changed)
{
    const auto is_changed = [&](const seen_crash& crash) {
        return std::any_of(changed.begin(), changed.end(), [&](time_point at) {
            return std::chrono::abs(crash.at - at) < 2 * simultaneous_time;
        });
    };
    for (auto& [segment, each] : m_suspects) {
        if (std::any_of(each.crashes.begin(), each.crashes.end(), is_changed)) {
            each.evidence = evidence_against(each);
        }
    }
}

void prompt_quarantine::update_all()
{
    for (auto& each : m_recent_ends) {
        each.is_explained = false;
    }
    std::vector<time_point> changed;
    for (const auto& [segment, each] : m_suspects) {
        if (has_separate_crashes(each)) {
            mark_explained_ends(each, changed);
        }
    }
    for (auto& [segment, each] : m_suspects) {
        each.evidence = evidence_against(each);
    }
}

double prompt_quarantine::evidence_against(const suspect& of) const
{
    double out = 0;
    for (auto first = of.crashes.begin(); first != of.crashes.end();) {
        const auto last = std::find_if(first, of.crashes.end(), [&](const auto& each) {
            return each.at - first->at >= simultaneous_time;
        });
        const auto present = static_cast<std::size_t>(last - first);
        const auto ended_without = static_cast<std::size_t>(
            std::count_if(m_recent_ends.begin(), m_recent_ends.end(), [&](const seen_end& end) {
                return !end.is_explained &&
                       std::chrono::abs(end.at - first->at) < simultaneous_time &&
                       std::none_of(of.crashes.begin(), of.crashes.end(),
                                    [&](const auto& crash) { return is_same_crash(crash, end); });
            }));
        const auto share =
            static_cast<double>(present) / static_cast<double>(present + ended_without);
        out += share * static_cast<double>(std::min(present, max_simultaneous_crashes));
        first = last;
    }
    return out;
}

std::vector<segment_verdict>
prompt_quarantine::record_survival(std::span<const segment_id> segments, time_point at,
                                   time_point now)
{
    std::vector<segment_verdict> out;
    bool explained_ends = false;
    for (const auto segment : segments) {
        if (m_survivals.size() >= max_survivals && !m_survivals.contains(segment)) {
            forget_old(now);
            if (m_survivals.size() >= max_survivals) {
                m_survivals.erase(m_survivals.begin());
            }
        }
        auto& latest = m_survivals[segment];
        latest = std::max(latest, at);
        const auto found = m_suspects.find(segment);
        if (found != m_suspects.end() && found->second.crashes.back().at <= latest + survival_ttl) {
            out.push_back(verdict_of(segment, found->second));
            explained_ends = explained_ends || has_separate_crashes(found->second);
            m_suspects.erase(found);
        }
    }
    if (explained_ends) {
        update_all();
    }
    return out;
}

prompt_quarantine::admission prompt_quarantine::admit(std::span<const segment_id> segments,
                                                      time_point now)
{
    admission out;
    if (m_suspects.empty()) {
        return out;
    }
    for (const auto segment : segments) {
        const auto found = m_suspects.find(segment);
        if (found == m_suspects.end()) {
            continue;
        }
        const auto& known = found->second;
        const auto verdict = verdict_of(segment, known);
        if (!verdict.quarantined_until) {
            continue;
        }
        const bool may_be_tried =
            now >= *verdict.quarantined_until || has_other_explanation(known, segments);
        const auto next_trial =
            known.tried_at == time_point{} ? now : known.tried_at + trial_interval;
        const auto retry_at = may_be_tried ? next_trial : *verdict.quarantined_until;
        if (now < retry_at) {
            out.rejected = rejection{verdict, retry_at};
            out.tried.clear();
            return out;
        }
        out.tried.push_back(segment);
    }
    for (const auto segment : out.tried) {
        record_trial(segment, now);
    }
    return out;
}

std::optional<segment_verdict>
prompt_quarantine::find_convicted(std::span<const segment_id> segments, time_point now) const
{
    for (const auto segment : segments) {
        const auto found = m_suspects.find(segment);
        if (found != m_suspects.end() && is_quarantined(found->second, now) &&
            !has_other_explanation(found->second, segments)) {
            return verdict_of(segment, found->second);
        }
    }
    return std::nullopt;
}

void prompt_quarantine::record_trial(segment_id segment, time_point now)
{
    const auto found = m_suspects.find(segment);
    if (found != m_suspects.end()) {
        found->second.tried_at = now;
    }
}

bool prompt_quarantine::has_other_explanation(const suspect& of,
                                              std::span<const segment_id> segments) const
{
    const auto is_explained = [&](const seen_crash& crash) {
        return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto& other) {
            return &other.second != &of && is_convicted(other.second) &&
                   std::find(segments.begin(), segments.end(), other.first) == segments.end() &&
                   std::any_of(other.second.crashes.begin(), other.second.crashes.end(),
                               [&](const auto& each) { return is_same_crash(each, crash); });
        });
    };
    const auto unexplained_count =
        std::count_if(of.crashes.begin(), of.crashes.end(),
                      [&](const auto& each) { return !is_explained(each); });
    return static_cast<std::size_t>(unexplained_count) <= max_unexplained_crashes;
}

double prompt_quarantine::max_evidence(std::span<const segment_id> segments) const
{
    double out = 0;
    for (const auto segment : segments) {
        const auto found = m_suspects.find(segment);
        out = found != m_suspects.end() ? std::max(out, found->second.evidence) : out;
    }
    return out;
}

std::vector<engine_crash> prompt_quarantine::take_due_announcements(time_point now)
{
    const auto is_due = [&](const suspect& each) {
        return now - each.announced_at >= announcement_interval &&
               (now - each.crashes.back().at < repair_time || is_quarantined(each, now));
    };
    auto out = crashes_of_suspects(is_due);
    for (auto& [segment, each] : m_suspects) {
        if (is_due(each)) {
            each.announced_at = now;
        }
    }
    return out;
}

std::vector<engine_crash> prompt_quarantine::all_crashes() const
{
    return crashes_of_suspects([](const suspect&) { return true; });
}

template <typename Condition>
std::vector<engine_crash> prompt_quarantine::crashes_of_suspects(Condition condition) const
{
    std::map<std::pair<std::uint64_t, time_point>, engine_crash> gathered;
    for (const auto& [segment, each] : m_suspects) {
        if (!condition(each)) {
            continue;
        }
        for (const auto& crash : each.crashes) {
            auto& found = gathered[{crash.engine, crash.at}];
            found.engine = crash.engine;
            found.at = crash.at;
            found.segments.push_back(segment);
        }
    }
    std::vector<engine_crash> out;
    out.reserve(gathered.size());
    for (auto& each : gathered) {
        out.push_back(std::move(each.second));
    }
    return out;
}

void prompt_quarantine::forget_old(time_point now)
{
    std::erase_if(m_survivals, [&](const auto& each) { return now - each.second > survival_ttl; });
    std::erase_if(m_suspects, [&](const auto& each) {
        const auto verdict = verdict_of(each.first, each.second);
        // An expired quarantine is remembered as long as it lasted: the next one is longer.
        return verdict.quarantined_until ? now - *verdict.quarantined_until >
                                               *verdict.quarantined_until - verdict.last_crash
                                         : now - verdict.last_crash > suspicion_ttl;
    });
}

std::size_t prompt_quarantine::quarantined_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_suspects.begin(), m_suspects.end(),
                      [&](const auto& each) { return is_quarantined(each.second, now); }));
}

bool prompt_quarantine::is_same_crash(const seen_crash& one, const seen_crash& other) noexcept
{
    return one.engine == other.engine && std::chrono::abs(one.at - other.at) < same_crash_time;
}

segment_verdict prompt_quarantine::verdict_of(segment_id segment, const suspect& of)
{
    segment_verdict out{segment, of.crashes.size(), of.crashes.back().at, std::nullopt};
    if (is_convicted(of)) {
        base::boot_clock::duration time = initial_quarantine;
        for (auto left = of.evidence - evidence_threshold; left >= 1 && time < max_quarantine;
             left -= 1) {
            time *= 2;
        }
        out.quarantined_until =
            out.last_crash + std::min<base::boot_clock::duration>(time, max_quarantine);
    }
    return out;
}

bool prompt_quarantine::is_quarantined(const suspect& of, time_point now)
{
    const auto until = verdict_of({}, of).quarantined_until;
    return until && now < *until;
}

void prompt_quarantine::make_room()
{
    const auto least = std::min_element(
        m_suspects.begin(), m_suspects.end(), [](const auto& left, const auto& right) {
            return std::pair{left.second.crashes.size(), left.second.crashes.back().at} <
                   std::pair{right.second.crashes.size(), right.second.crashes.back().at};
        });
    m_suspects.erase(least);
}

} // namespace cicadaport::serving
