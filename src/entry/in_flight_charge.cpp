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
      m_remaining_prefill{m_expected.prefill_tokens}, m_remaining_decode{m_expected.output_tokens}
{
    m_load->requests.fetch_add(1, relaxed);
    m_load->prefill_tokens.fetch_add(m_remaining_prefill, relaxed);
    m_load->decode_tokens.fetch_add(m_remaining_decode, relaxed);
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
    m_remaining_prefill = std::exchange(other.m_remaining_prefill, 0);
    m_remaining_decode = std::exchange(other.m_remaining_decode, 0);
    m_tokens = other.m_tokens;
    return *this;
}

in_flight_charge::~in_flight_charge()
{
    release();
}

void in_flight_charge::record_prefill_end(std::chrono::steady_clock::time_point now)
{
    if (!m_load || m_decisions == nullptr) {
        return;
    }
    release_prefill();
    routing::update_correction(*m_load, m_expected.predicted.first_token,
                               now - m_expected.decided_at);
}

void in_flight_charge::move_account_slot_to(in_flight_charge& next) noexcept
{
    if (m_load && next.m_load && m_expected.counted && !next.m_expected.counted) {
        next.m_expected.counted = true;
        m_expected.counted = false;
    }
}

void in_flight_charge::record_tokens(std::uint32_t count, std::chrono::steady_clock::time_point now)
{
    if (!m_load || m_decisions == nullptr || count == 0) {
        return;
    }
    if (m_tokens == 0) {
        release_prefill();
        routing::update_correction(*m_load, m_expected.predicted.first_token,
                                   now - m_expected.decided_at);
    }
    m_tokens += count;
    const auto done = std::min<std::uint64_t>(count, m_remaining_decode);
    m_remaining_decode -= done;
    m_load->decode_tokens.fetch_sub(done, relaxed);
}

void in_flight_charge::record_response_end()
{
    if (m_decisions != nullptr && m_tokens > 0) {
        m_decisions->outputs.record_output(m_expected.output_class, m_tokens);
    }
}

void in_flight_charge::release_prefill() noexcept
{
    m_load->prefill_tokens.fetch_sub(std::exchange(m_remaining_prefill, 0), relaxed);
}

std::atomic<std::int64_t>& in_flight_charge::rank_work() noexcept
{
    const auto last = m_decisions->work_in_flight.size() - 1;
    return m_decisions->work_in_flight[std::min<std::size_t>(m_expected.rank, last)];
}

double decision_state::fraction_ahead(std::uint32_t rank) const noexcept
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
    release_prefill();
    m_load->decode_tokens.fetch_sub(std::exchange(m_remaining_decode, 0), relaxed);
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
