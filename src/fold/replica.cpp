#include "cicadaport/fold/replica.h"

#include <peer.pb.h>
#include <record.pb.h>

namespace cicadaport::fold {
namespace {

constexpr std::size_t max_recent_entries = 1'024;
constexpr std::size_t max_recent_bytes = 4UL * 1024 * 1024;
constexpr int max_reply_entries = 256;
constexpr std::size_t max_reply_bytes = 256UL * 1024;

// Returns the entry as followers receive it: a snapshot record without its state.
protocol::log_entry without_snapshot_state(const protocol::log_entry& entry)
{
    protocol::record record;
    if (!record.ParseFromString(entry.payload()) || !record.has_state_snapshot()) {
        return entry;
    }
    record.mutable_state_snapshot()->clear_state();
    protocol::log_entry out;
    out.set_offset(entry.offset());
    out.set_payload(record.SerializeAsString());
    return out;
}

} // namespace

replica::replica() = default;
replica::~replica() = default;

void replica::add_listener(listener call)
{
    m_listeners.push_back(std::move(call));
}

void replica::apply(std::span<const protocol::log_entry> entries)
{
    const std::scoped_lock change_lock{m_change_mutex};
    if (fold_all(entries)) {
        notify_listeners();
    }
}

// Returns whether the offset advanced.
bool replica::fold_all(std::span<const protocol::log_entry> entries)
{
    const std::scoped_lock lock{m_mutex};
    const auto before = m_state.offset();
    try {
        for (const auto& entry : entries) {
            if (entry.offset() <= m_state.offset()) {
                continue;
            }
            if (entry.offset() != m_state.offset() + 1) {
                break;
            }
            m_state.apply(entry.offset(), entry.payload());
            buffer_entry(entry);
        }
    }
    catch (const unknown_record& error) {
        m_halted = "offset " + std::to_string(m_state.offset() + 1) + ": " + error.what();
    }
    return m_state.offset() != before;
}

void replica::buffer_entry(const protocol::log_entry& entry)
{
    m_recent_entries.push_back(without_snapshot_state(entry));
    m_recent_bytes += m_recent_entries.back().payload().size();
    while (m_recent_entries.size() > max_recent_entries || m_recent_bytes > max_recent_bytes) {
        m_offset_before_recent = m_recent_entries.front().offset();
        m_recent_bytes -= m_recent_entries.front().payload().size();
        m_recent_entries.pop_front();
    }
}

std::optional<decision> replica::decision_of(const std::string& append_id) const
{
    const std::scoped_lock lock{m_mutex};
    return m_state.decision_of(append_id);
}

bool replica::install(std::string_view serialized)
{
    auto newer = state::deserialize(serialized);
    const std::scoped_lock change_lock{m_change_mutex};
    {
        const std::scoped_lock lock{m_mutex};
        if (newer.offset() <= m_state.offset() ||
            newer.configuration_offset() < m_state.configuration_offset()) {
            return false;
        }
        m_state = std::move(newer);
        m_halted.reset();
        m_recent_entries.clear();
        m_recent_bytes = 0;
        m_offset_before_recent = m_state.offset();
    }
    notify_listeners();
    return true;
}

// Requires m_change_mutex, which every writer holds; the state can be read without m_mutex.
void replica::notify_listeners()
{
    for (const auto& call : m_listeners) {
        call(m_state);
    }
}

std::uint64_t replica::offset() const
{
    const std::scoped_lock lock{m_mutex};
    return m_state.offset();
}

std::optional<std::string> replica::halted() const
{
    const std::scoped_lock lock{m_mutex};
    return m_halted;
}

state replica::copy() const
{
    const std::scoped_lock lock{m_mutex};
    return m_state;
}

void replica::inspect(const std::function<void(const state&)>& read) const
{
    const std::scoped_lock lock{m_mutex};
    read(m_state);
}

void replica::fill_reply(std::uint64_t after_offset, protocol::pull_reply& reply) const
{
    const std::scoped_lock lock{m_mutex};
    reply.set_end_offset(m_state.offset());
    if (after_offset < m_offset_before_recent) {
        reply.set_state(m_state.serialize());
        return;
    }
    std::size_t bytes = 0;
    for (auto i = after_offset - m_offset_before_recent; i < m_recent_entries.size(); ++i) {
        if (reply.entries_size() == max_reply_entries || bytes > max_reply_bytes) {
            break;
        }
        *reply.add_entries() = m_recent_entries[i];
        bytes += m_recent_entries[i].payload().size();
    }
}

} // namespace cicadaport::fold
