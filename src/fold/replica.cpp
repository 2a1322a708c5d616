#include "cicadaport/fold/replica.h"

#include <peer.pb.h>
#include <record.pb.h>

namespace cicadaport::fold {
namespace {

constexpr std::size_t kept_entries = 1'024;
constexpr int entries_per_answer = 256;

} // namespace

void replica::add_listener(listener call)
{
    m_listeners.push_back(std::move(call));
}

void replica::apply(std::span<const protocol::log_entry> entries)
{
    const std::scoped_lock order{m_order};
    {
        const std::scoped_lock lock{m_mutex};
        const auto before = m_state.offset();
        for (const auto& entry : entries) {
            if (entry.offset() <= m_state.offset()) {
                continue;
            }
            remember(entry, m_state.apply(entry.offset(), entry.payload()));
            m_recent.push_back(entry);
            if (m_recent.size() > kept_entries) {
                m_recent_after = m_recent.front().offset();
                m_recent.pop_front();
            }
        }
        if (m_state.offset() == before) {
            return;
        }
    }
    notify();
}

void replica::remember(const protocol::log_entry& entry, decision made)
{
    protocol::record record;
    if (!record.ParseFromString(entry.payload()) ||
        !m_decisions.emplace(record.append_id(), std::move(made)).second) {
        return;
    }
    m_decided.push_back(record.append_id());
    if (m_decided.size() > kept_entries) {
        m_decisions.erase(m_decided.front());
        m_decided.pop_front();
    }
}

std::optional<decision> replica::decision_of(const std::string& append_id) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_decisions.find(append_id);
    return found == m_decisions.end() ? std::nullopt : std::optional{found->second};
}

bool replica::install(std::string_view serialized)
{
    auto newer = state::deserialize(serialized);
    const std::scoped_lock order{m_order};
    {
        const std::scoped_lock lock{m_mutex};
        if (newer.offset() <= m_state.offset()) {
            return false;
        }
        m_state = std::move(newer);
        m_recent.clear();
        m_recent_after = m_state.offset();
    }
    notify();
    return true;
}

// Called with m_order held, without which nobody changes the state.
void replica::notify()
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

void replica::answer(std::uint64_t after_offset, protocol::pull_reply& reply) const
{
    const std::scoped_lock lock{m_mutex};
    reply.set_end_offset(m_state.offset());
    if (after_offset < m_recent_after) {
        reply.set_state(m_state.serialize());
        return;
    }
    for (const auto& entry : m_recent) {
        if (entry.offset() > after_offset && reply.entries_size() < entries_per_answer) {
            *reply.add_entries() = entry;
        }
    }
}

} // namespace cicadaport::fold
