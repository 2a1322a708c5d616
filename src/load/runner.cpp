#include "cicadaport/load/runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadaport::load {
namespace asio = boost::asio;

namespace {

using clock = std::chrono::steady_clock;

constexpr unsigned status_ok = 200;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;
// Connections and coroutines are made before the first arrival is due.
constexpr std::chrono::milliseconds lead_time{200};

class runner {
public:
    runner(const profile& of, std::span<const arrival> arrivals,
           std::span<const http::address> entries)
        : m_profile{of}, m_arrivals{arrivals}, m_entries{entries}, m_client{m_context},
          m_results(arrivals.size()), m_start{clock::now() + lead_time}
    {
    }

    std::vector<result> run()
    {
        asio::co_spawn(m_context, send_all(), asio::detached);
        m_context.run();
        return std::move(m_results);
    }

private:
    clock::time_point due(const arrival& each) const
    {
        return m_start + std::chrono::duration_cast<clock::duration>(each.at);
    }

    asio::awaitable<void> send_all()
    {
        asio::steady_timer timer{m_context};
        for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
            timer.expires_at(due(m_arrivals[i]));
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(m_context, send(i), asio::detached);
        }
    }

    asio::awaitable<void> send(std::size_t index)
    {
        const auto& each = m_arrivals[index];
        auto& out = m_results[index];
        out.request_class = each.request_class;
        out.intended = each.at;
        try {
            co_await exchange(index, out);
        }
        catch (const http::exchange_error&) {
            out.ended = out.first_token ? outcome::cut : outcome::failed;
        }
        out.completion = clock::now() - due(each);
    }

    asio::awaitable<void> exchange(std::size_t index, result& out)
    {
        const auto& each = m_arrivals[index];
        const auto& kind = m_profile.classes[each.request_class];
        http::field_list fields;
        fields.add("Authorization", "Bearer " + kind.api_key);
        fields.add("Content-Type", "application/json");
        fields.add("Cicadaport-Deadline-Ms", std::to_string(kind.deadline.count()));
        http::request message{"POST", "/v1/chat/completions", std::move(fields),
                              make_body(m_profile, each)};
        http::exchange_options options;
        options.response_timeout = 2 * kind.deadline;
        auto to = m_entries[index % m_entries.size()];
        auto answer = co_await m_client.open(std::move(to), std::move(message), options);
        out.status = answer.head().status;
        token_counter counter;
        auto last = due(each);
        while (auto piece = co_await answer.next()) {
            const auto now = clock::now();
            if (out.status == status_ok && counter.take(*piece) > 0) {
                note_tokens(out, now - last);
                last = now;
            }
        }
        out.ended = judge(out.status, counter, each);
    }

    static void note_tokens(result& out, seconds after)
    {
        if (out.first_token) {
            out.gaps.push_back(after);
        }
        else {
            out.first_token = after;
        }
    }

    static outcome judge(unsigned status, const token_counter& counter, const arrival& sent)
    {
        if (status == status_too_many || status == status_unavailable) {
            return outcome::refused;
        }
        if (status != status_ok) {
            return outcome::failed;
        }
        return counter.done() && counter.tokens() == sent.output_tokens ? outcome::whole
                                                                        : outcome::cut;
    }

    const profile& m_profile;
    std::span<const arrival> m_arrivals;
    std::span<const http::address> m_entries;
    asio::io_context m_context;
    http::client m_client;
    std::vector<result> m_results;
    clock::time_point m_start;
};

} // namespace

std::uint32_t token_counter::take(std::string_view piece)
{
    constexpr std::string_view data = "data: ";
    const auto before = m_tokens;
    for (const char each : piece) {
        if (each != '\n') {
            m_line += each;
            continue;
        }
        if (m_line == "data: [DONE]") {
            m_done = true;
        }
        else if (m_line.starts_with(data)) {
            ++m_tokens;
        }
        m_line.clear();
    }
    return m_tokens - before;
}

std::vector<result> run_schedule(const profile& of, std::span<const arrival> arrivals,
                                 std::span<const http::address> entries)
{
    return runner{of, arrivals, entries}.run();
}

} // namespace cicadaport::load
