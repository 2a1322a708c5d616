// Hosts that report usage, or order replicas, while the store returns from an older copy of its
// data at any point.
#include "cicadaport/duties/subject_authority.h"
#include "cicadaport/duties/usage_plan.h"

#include <gmock/gmock.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace cicadaport::duties {
namespace {

using namespace std::chrono_literals;
using step = subject_authority::step;

constexpr milliseconds lease{3'000};
constexpr milliseconds window_length{5'000};
constexpr milliseconds tick{50};
constexpr time_point start{std::chrono::hours{1}};
// The last window that was reported at the start.
constexpr std::uint64_t first_window = 719;

enum class fate { goes_on, is_killed, is_frozen, is_cut_off };

struct schedule {
    std::size_t host_count = 3;
    // When the store returns, and how many of its records it has lost.
    milliseconds return_at{};
    std::size_t lost = 1;
    // What happens to the first host at the return.
    fate of_holder = fate::goes_on;
    bool hosts_hear_each_other = true;
    // Whether the store returns a second time a random time later, and whether it carries some
    // appends out seconds late.
    bool returns_twice = false;
    bool is_late = false;
    // How many calls to the platform remain without an answer.
    unsigned lost_answers = 0;
    // Whether all hosts order replicas again and again, instead of reporting usage.
    bool orders_replicas = false;
    // Whether the store states its epoch and hosts follow it.
    bool follows_history = true;
    unsigned seed = 1;
};

// One report as the platform receives it.
struct call {
    std::string holder;
    time_point at;
    std::uint64_t token = 0;
    std::string body;
};

std::string body_of(std::uint64_t window, const std::string& host)
{
    return std::to_string(window) + " counted by " + host;
}

struct host {
    host(std::string with_name, std::size_t with_rank)
        : name{std::move(with_name)}, authority{name, lease}, rank{with_rank}
    {
    }

    std::string name;
    subject_authority authority;
    std::size_t rank = 0;
    milliseconds clock_error{0};
    std::uint64_t epoch = 1;
    std::optional<std::uint64_t> last_reported;
    // The window and the body of the report that this host wants to make.
    std::optional<std::uint64_t> wanted;
    std::string body;
    time_point inactive_until{};
    // Answers that are on their way.
    std::multimap<time_point, std::function<void(time_point)>> answers;
    bool is_calling = false;

    // Hosts that don't follow the history know no epoch.
    std::optional<std::uint64_t> known_epoch() const
    {
        return epoch > 1 ? std::optional{epoch} : std::nullopt;
    }

    time_of_day time(time_point now) const
    {
        return time_of_day{
            std::chrono::duration_cast<milliseconds>(now.time_since_epoch() + clock_error)};
    }
};

// Plays one schedule. The hosts' decisions are those of the product; their calls are carried out
// here, each after a random delay of some ticks.
class play {
public:
    explicit play(const schedule& with) : m_with{with}, m_random{with.seed}
    {
        for (std::size_t rank = 0; rank < with.host_count; ++rank) {
            const std::string name(1, static_cast<char>('a' + rank));
            m_hosts.emplace_back(name, rank);
            m_hosts.back().clock_error = 300ms * static_cast<int>(rank % 2);
            m_hosts.back().last_reported = first_window;
        }
        for (std::uint64_t window = first_window - 2; window <= first_window; ++window) {
            m_records.push_back({"a", body_of(window, "a"), m_records.size()});
        }
    }

    void run()
    {
        constexpr auto duration = 40s;
        const auto second_return = start + m_with.return_at + tick * (m_random() % 160);
        for (auto now = start; now < start + duration; now += tick) {
            if (now == start + m_with.return_at || (m_with.returns_twice && now == second_return)) {
                return_from_copy(now);
            }
            for (auto at = m_arrivals.begin(); at != m_arrivals.end() && at->first <= now;) {
                at->second(now);
                at = m_arrivals.erase(at);
            }
            for (auto& each : m_hosts) {
                if (now >= each.inactive_until) {
                    act(each, now);
                }
            }
        }
    }

    // Returns which rules the calls have violated.
    std::vector<std::string> violations() const
    {
        std::vector<std::string> out;
        std::map<std::uint64_t, std::string> bodies;
        std::map<std::uint64_t, std::string> holders;
        std::map<std::string, time_point> acted;
        std::uint64_t token = 0;
        std::string holder;
        for (const auto& each : m_calls) {
            if (bodies.emplace(std::stoull(each.body), each.body).first->second != each.body) {
                out.push_back("two reports of one window");
            }
            if (each.token < token) {
                out.push_back("the token falls");
            }
            if (holders.emplace(each.token, each.holder).first->second != each.holder) {
                out.push_back("two holders of one token");
            }
            const auto before = acted.find(each.holder);
            if (!holder.empty() && holder != each.holder && before != acted.end() &&
                each.at - before->second <= lease) {
                out.push_back("two holders in turns within a lease");
            }
            token = std::max(token, each.token);
            holder = each.holder;
            acted[each.holder] = each.at;
        }
        return out;
    }

    std::uint64_t last_window() const
    {
        return m_calls.empty() ? 0 : std::stoull(m_calls.back().body);
    }

    std::uint64_t last_token() const { return m_calls.empty() ? 0 : m_calls.back().token; }

private:
    void return_from_copy(time_point now)
    {
        m_records.resize(m_records.size() - std::min(m_with.lost, m_records.size()));
        ++m_epoch;
        constexpr auto freeze_time = 4s;
        auto& holder = m_hosts.front();
        m_cut_off_until = m_with.of_holder == fate::is_cut_off ? now + freeze_time : now;
        if (m_with.of_holder == fate::is_killed) {
            holder.inactive_until = time_point::max();
        }
        else if (m_with.of_holder == fate::is_frozen) {
            holder.inactive_until = now + freeze_time;
        }
    }

    milliseconds delay() { return tick * (1 + m_random() % 3); }

    void learn(host& of, std::uint64_t epoch, time_point now) const
    {
        if (m_with.follows_history && epoch > of.epoch) {
            of.epoch = epoch;
            of.authority.begin_history(epoch, now);
        }
    }

    void act(host& of, time_point now)
    {
        for (auto at = of.answers.begin(); at != of.answers.end() && at->first <= now;) {
            const auto handle = std::move(at->second);
            of.answers.erase(at);
            handle(now);
            at = of.answers.begin();
        }
        constexpr auto poll_interval = 500ms;
        if ((now - start) % poll_interval == tick * of.rank && reaches_store(of, now)) {
            learn(of, m_epoch, now);
        }
        decide(of, now);
        if (of.wanted && !of.is_calling) {
            if (const auto held = of.authority.current_permit(now)) {
                send_call(of, *held, now);
                return;
            }
            if (!of.authority.is_requested()) {
                of.authority.withdraw();
                of.authority.request(of.body, now);
            }
            if (of.authority.knows_newest() && !may_replace(of, now)) {
                of.wanted.reset();
                of.authority.withdraw();
                return;
            }
        }
        const auto next = of.authority.next(now);
        if (next.what == step::read || next.what == step::append) {
            of.authority.begin(next, now);
            send_to_store(of, next, now);
        }
    }

    bool reaches_store(const host& of, time_point now) const
    {
        return of.rank != 0 || now >= m_cut_off_until;
    }

    bool may_replace(const host& of, time_point now) const
    {
        const auto& newest = of.authority.newest();
        if (m_with.orders_replicas) {
            return true;
        }
        return (!of.last_reported || *of.last_reported < *of.wanted) &&
               m_plan.may_replace(*of.wanted, newest && newest->content == of.body,
                                  view_of(of, now));
    }

    usage_view view_of(const host& of, time_point now) const
    {
        const auto& newest = of.authority.newest();
        usage_view out;
        out.now = of.time(now);
        out.rank = of.rank;
        out.last_done = of.last_reported;
        out.knows_newest = of.authority.knows_newest();
        if (const auto since = of.authority.complete_since()) {
            out.complete_since = of.time(*since);
        }
        if (newest) {
            out.recorded_window = std::stoull(newest->content);
            out.is_record_delivered = of.last_reported && *out.recorded_window <= *of.last_reported;
        }
        return out;
    }

    void decide(host& of, time_point now)
    {
        if (of.wanted) {
            return;
        }
        if (m_with.orders_replicas) {
            constexpr unsigned mean_pause_in_ticks = 10;
            if (m_random() % mean_pause_in_ticks == 0) {
                of.wanted = ++m_orders;
                of.body = body_of(m_orders, of.name);
                of.authority.request(of.body, now);
            }
            return;
        }
        const auto verdict = m_plan.decide(view_of(of, now));
        switch (verdict.what) {
        case usage_verdict::kind::nothing:
            return;
        case usage_verdict::kind::read:
            of.authority.request_newest();
            return;
        case usage_verdict::kind::repeat:
            of.body = of.authority.newest()->content;
            break;
        case usage_verdict::kind::report:
            of.body = body_of(verdict.window, of.name);
            break;
        }
        of.wanted = verdict.window;
        of.authority.request(of.body, now);
    }

    void send_to_store(host& of, const subject_authority::next_step& what, time_point now)
    {
        const auto arrival = now + delay();
        const auto end = arrival + delay();
        if (!reaches_store(of, now)) {
            of.answers.emplace(end, [&](time_point at) { of.authority.handle_no_answer(at); });
            return;
        }
        if (m_with.is_late && what.what == step::append && m_random() % 4 == 0) {
            constexpr auto store_timeout = 500ms;
            of.answers.emplace(now + store_timeout,
                               [&](time_point at) { of.authority.handle_no_answer(at); });
            m_arrivals.emplace(
                now + tick * (m_random() % 100),
                [this, &of, what, sent_in = of.known_epoch()](time_point) {
                    if (what.offset == m_records.size()) {
                        m_records.push_back({of.name, what.content, what.offset, sent_in});
                    }
                });
            return;
        }
        m_arrivals.emplace(arrival, [this, &of, what, end, sent_in = of.known_epoch()](time_point) {
            const auto epoch = m_epoch;
            const auto size = m_records.size();
            std::function<void(time_point)> handle;
            if (what.what == step::read) {
                const auto newest = size > 0 ? std::optional{m_records.back()} : std::nullopt;
                handle = [&of, newest, size](time_point at) {
                    of.authority.handle_read_result(newest, size, at);
                };
            }
            else if (what.offset == size) {
                m_records.push_back({of.name, what.content, size, sent_in});
                handle = [&of, size](time_point at) {
                    of.authority.handle_append_result(size, at);
                };
            }
            else {
                handle = [&of](time_point at) { of.authority.handle_append_refusal(at); };
            }
            of.answers.emplace(end, [this, &of, epoch, handle](time_point at) {
                learn(of, epoch, at);
                if (m_with.follows_history && epoch < of.epoch) {
                    of.authority.handle_no_answer(at);
                }
                else {
                    handle(at);
                }
            });
        });
    }

    void send_call(host& of, const permit& under, time_point now)
    {
        of.is_calling = true;
        const auto arrival = std::min(now + delay(), under.expires);
        m_arrivals.emplace(arrival,
                           [this, made = call{of.name, arrival, under.fencing_token, of.body}](
                               time_point) { m_calls.push_back(made); });
        const auto end = arrival + delay();
        const bool is_lost = m_with.orders_replicas ? m_with.lost_answers > m_random() % 3
                                                    : m_lost_answers < m_with.lost_answers;
        if (is_lost) {
            ++m_lost_answers;
            constexpr auto call_timeout = 700ms;
            of.answers.emplace(now + call_timeout, [&of](time_point at) {
                of.is_calling = false;
                if (!of.authority.current_permit(at)) {
                    of.wanted.reset();
                    of.authority.end_request();
                }
            });
            return;
        }
        of.answers.emplace(end, [this, &of](time_point at) {
            of.is_calling = false;
            const auto window = *std::exchange(of.wanted, std::nullopt);
            of.authority.end_request();
            note_reported(of, window);
            for (auto& other : m_hosts) {
                if (m_with.hosts_hear_each_other && &other != &of) {
                    other.answers.emplace(at + tick, [this, &other, window](time_point) {
                        note_reported(other, window);
                    });
                }
            }
        });
    }

    static void note_reported(host& of, std::uint64_t window)
    {
        of.last_reported = std::max(of.last_reported.value_or(0), window);
    }

    schedule m_with;
    std::mt19937 m_random;
    usage_plan m_plan{window_length, 2 * window_length};
    std::uint64_t m_epoch = 1;
    std::vector<duty_record> m_records;
    std::vector<host> m_hosts;
    std::multimap<time_point, std::function<void(time_point)>> m_arrivals;
    time_point m_cut_off_until{};
    std::uint64_t m_orders = 0;
    unsigned m_lost_answers = 0;
    std::vector<call> m_calls;
};

// Calls `check` with the schedules of all returns around one report: in steps of a tick from before
// its record is read until after the platform has answered and each rank may have acted.
void for_each_schedule(bool follows_history, const std::function<void(const schedule&)>& check)
{
    schedule each;
    each.follows_history = follows_history;
    for (const std::size_t host_count : {2U, 3U}) {
        for (auto at = 12s + 800ms; at < 17s; at += tick) {
            for (const auto of_holder :
                 {fate::goes_on, fate::is_killed, fate::is_frozen, fate::is_cut_off}) {
                for (unsigned kind = 0; kind < 16; ++kind) {
                    each.host_count = host_count;
                    each.return_at = at;
                    each.of_holder = of_holder;
                    each.hosts_hear_each_other = (kind & 1U) != 0;
                    each.lost_answers = (kind & 2U) != 0 ? 2 : 0;
                    each.returns_twice = (kind & 4U) != 0;
                    each.is_late = (kind & 8U) != 0;
                    ++each.seed;
                    each.lost = 1 + each.seed / 16 % 2;
                    check(each);
                }
            }
        }
    }
}

std::string describe(const schedule& of)
{
    return "return at " + std::to_string(of.return_at.count()) + " ms without " +
           std::to_string(of.lost) + " records, " + std::to_string(of.host_count) +
           " hosts, fate " + std::to_string(static_cast<int>(of.of_holder)) + ", gossip " +
           std::to_string(of.hosts_hear_each_other) + ", lost answers " +
           std::to_string(of.lost_answers) + ", twice " + std::to_string(of.returns_twice) +
           ", late " + std::to_string(of.is_late) + ", seed " + std::to_string(of.seed);
}

// Regression: a window whose report was acknowledged was reported again with other counts by a host
// that found no record of it.
TEST(returned_store_test, no_return_of_the_store_breaks_a_rule_of_duties)
{
    for_each_schedule(true, [](const schedule& each) {
        play of{each};
        of.run();
        EXPECT_THAT(of.violations(), ::testing::IsEmpty()) << describe(each);
        EXPECT_GE(of.last_window(), first_window + 4) << "reports go on; " << describe(each);
    });
}

// Regression: a host replaced a record at once, since the record of the holder was lost, and both
// gave orders in turns within a lease.
TEST(returned_store_test, no_return_of_the_store_breaks_a_rule_of_orders_for_replicas)
{
    for_each_schedule(true, [](schedule each) {
        each.orders_replicas = true;
        play of{each};
        of.run();
        EXPECT_THAT(of.violations(), ::testing::IsEmpty()) << describe(each);
        EXPECT_GT(of.last_token(), 1ULL << 33U) << "orders go on; " << describe(each);
    });
}

// Shows that the schedules find each kind of violation if hosts take offsets and records for facts.
TEST(returned_store_test, without_histories_each_rule_of_duties_is_broken)
{
    std::set<std::string> found;
    for_each_schedule(false, [&found](schedule each) {
        if (each.seed % 5 != 0) {
            return;
        }
        for (const bool orders_replicas : {false, true}) {
            each.orders_replicas = orders_replicas;
            play of{each};
            of.run();
            const auto violations = of.violations();
            found.insert(violations.begin(), violations.end());
        }
    });
    EXPECT_THAT(found, ::testing::UnorderedElementsAre(
                           "two reports of one window", "the token falls",
                           "two holders of one token", "two holders in turns within a lease"));
}

} // namespace
} // namespace cicadaport::duties
