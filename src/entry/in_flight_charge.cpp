#include "cicadaport/entry/engine_choice.h"

#include <algorithm>

namespace cicadaport::entry {
namespace {

constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

in_flight_charge::in_flight_charge(std::shared_ptr<routing::endpoint_load> load)
    : m_load{std::move(load)}
{
    m_load->requests.fetch_add(1, relaxed);
}

in_flight_charge::in_flight_charge(std::shared_ptr<routing::endpoint_load> load,
                                   decision_state& decisions, engine_expectation expected)
    : m_load{std::move(load)}, m_decisions{&decisions}, m_expected{std::move(expected)},
      m_prefill_left{m_expected.prefill_tokens}, m_decode_left{m_expected.output_tokens}
{
    m_load->requests.fetch_add(1, relaxed);
    m_load->prefill_tokens.fetch_add(m_prefill_left, relaxed);
    m_load->decode_tokens.fetch_add(m_decode_left, relaxed);
    rank_work().fetch_add(m_expected.work.count(), relaxed);
}

in_flight_charge::in_flight_charge(in_flight_charge&& other) noexcept
{
    *this = std::move(other);
}

in_flight_charge& in_flight_charge::operator=(in_flight_charge&& other) noexcept
{
    release();
    m_load = std::move(other.m_load);
    m_decisions = other.m_decisions;
    m_expected = std::move(other.m_expected);
    m_prefill_left = std::exchange(other.m_prefill_left, 0);
    m_decode_left = std::exchange(other.m_decode_left, 0);
    m_tokens = other.m_tokens;
    return *this;
}

in_flight_charge::~in_flight_charge()
{
    release();
}

void in_flight_charge::note_prefilled(std::chrono::steady_clock::time_point now)
{
    if (!m_load || m_decisions == nullptr) {
        return;
    }
    give_back_prefill();
    routing::update_correction(*m_load, m_expected.predicted.first_token,
                               now - m_expected.decided_at);
}

void in_flight_charge::pass_account_to(in_flight_charge& next) noexcept
{
    if (m_load && next.m_load && m_expected.counted && !next.m_expected.counted) {
        next.m_expected.counted = true;
        m_expected.counted = false;
    }
}

void in_flight_charge::note_tokens(std::uint32_t count, std::chrono::steady_clock::time_point now)
{
    if (!m_load || m_decisions == nullptr || count == 0) {
        return;
    }
    if (m_tokens == 0) {
        give_back_prefill();
        routing::update_correction(*m_load, m_expected.predicted.first_token,
                                   now - m_expected.decided_at);
    }
    m_tokens += count;
    const auto done = std::min<std::uint64_t>(count, m_decode_left);
    m_decode_left -= done;
    m_load->decode_tokens.fetch_sub(done, relaxed);
}

void in_flight_charge::note_answered()
{
    if (m_decisions != nullptr && m_tokens > 0) {
        m_decisions->outputs.record_output(m_expected.output_class, m_tokens);
    }
}

void in_flight_charge::give_back_prefill() noexcept
{
    m_load->prefill_tokens.fetch_sub(std::exchange(m_prefill_left, 0), relaxed);
}

std::atomic<std::int64_t>& in_flight_charge::rank_work() noexcept
{
    const auto last = m_decisions->work_in_flight.size() - 1;
    return m_decisions->work_in_flight[std::min<std::size_t>(m_expected.rank, last)];
}

double decision_state::part_ahead(std::uint32_t rank) const noexcept
{
    std::int64_t ahead = 0;
    std::int64_t all = 0;
    for (std::size_t each = 0; each < work_in_flight.size(); ++each) {
        const auto work = work_in_flight[each].load(relaxed);
        all += work;
        ahead += each <= rank ? work : 0;
    }
    return all > 0 ? static_cast<double>(ahead) / static_cast<double>(all) : 1;
}

void in_flight_charge::release() noexcept
{
    if (!m_load) {
        return;
    }
    give_back_prefill();
    m_load->decode_tokens.fetch_sub(std::exchange(m_decode_left, 0), relaxed);
    m_load->requests.fetch_sub(1, relaxed);
    if (m_decisions != nullptr) {
        rank_work().fetch_sub(m_expected.work.count(), relaxed);
    }
    if (m_decisions != nullptr && m_expected.counted) {
        m_decisions->limits.release(m_expected.account);
    }
    m_load.reset();
}

std::uint32_t count_events(std::string_view piece) noexcept
{
    std::uint32_t out = 0;
    for (auto at = piece.find("\n\n"); at != piece.npos; at = piece.find("\n\n", at + 2)) {
        ++out;
    }
    return out;
}

} // namespace cicadaport::entry
