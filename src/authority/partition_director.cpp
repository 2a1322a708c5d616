#include "cicadaport/authority/partition_director.h"

#include "cicadaport/authority/process_deadline.h"
#include "cicadaport/authority/service_floor.h"
#include "cicadaport/authority/test_switches.h"
#include "cicadaport/base/identifier.h"

#include <peer.pb.h>
#include <spdlog/spdlog.h>
#include <state.pb.h>

#include <algorithm>

namespace cicadaport::authority {
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick{50};
// Time between two runs of the role controller.
constexpr milliseconds role_interval{500};
constexpr milliseconds poll_interval{2'000};
constexpr milliseconds outstanding_poll_interval{100};
constexpr milliseconds failed_order_backoff{10'000};
// Upper bound on the time from when a process has folded an intent until the
// engine reports the work that the process was dispatching at that moment.
constexpr milliseconds dispatch_time{200};

} // namespace

// A snapshot of one engine in the folded state, and the engine's last answer.
struct partition_director::engine_view {
    configuration::endpoint endpoint;
    std::shared_ptr<const configuration::document> document;
    std::optional<protocol::endpoint_wish_state> wish;
    std::optional<protocol::endpoint_orders> orders;
    // Whether this engine may leave service in addition to those already out of it.
    bool has_spare = false;
    std::optional<engine_record> observed;
    // The role that the controller proposes; may be empty.
    std::string proposed;

    bool is_outstanding() const { return orders && orders->has_intent(); }
    std::optional<protocol::endpoint_order> wanted() const
    {
        if (!observed) {
            return std::nullopt;
        }
        return wanted_order(endpoint, *document, wish ? &*wish : nullptr,
                            orders ? &*orders : nullptr, *observed, proposed);
    }
};

partition_director::partition_director(director_services services, std::string partition,
                                       std::string self, lease_timing timing)
    : m_services{std::move(services)}, m_partition{std::move(partition)}, m_self{std::move(self)},
      m_timing{timing}, m_keeper{m_self, timing, std::random_device{}()}, m_roles{m_partition}
{
}

asio::awaitable<void> partition_director::run()
{
    asio::steady_timer timer{m_services.context};
    while (!m_stopping) {
        const bool has_engines = !engine_names().empty();
        if (has_engines) {
            co_await keep_lease();
            start_polls();
            run_role_controller();
        }
        timer.expires_after(tick);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto busy = [](const auto& each) { return each.second.busy; };
    while (std::any_of(m_engines.begin(), m_engines.end(), busy)) {
        timer.expires_after(tick);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_await release();
    m_ended = true;
}

asio::awaitable<void> partition_director::keep_lease()
{
    const auto lease = observe_lease();
    const auto sent_at = base::boot_clock::now();
    const auto action = m_keeper.next_action(lease, sent_at);
    if (action == lease_action::none) {
        co_return;
    }
    protocol::record record;
    if (action == lease_action::claim) {
        auto& claim = *record.mutable_claim_lease();
        claim.set_partition(m_partition);
        claim.set_observed_renewal_offset(lease.renewed_offset);
        claim.set_duration_ms(static_cast<std::uint32_t>(m_timing.duration.count()));
    }
    else {
        record.mutable_renew_lease()->set_partition(m_partition);
        record.mutable_renew_lease()->set_fencing_number(m_keeper.fencing_number());
    }
    m_keeper.record_proposed(sent_at);
    const bool accepted = co_await propose(std::move(record));
    const auto now_folded = observe_lease();
    if (accepted && now_folded.holder == m_self && !now_folded.released) {
        m_keeper.record_accepted(now_folded.fencing_number, sent_at);
    }
    if (accepted && action == lease_action::claim) {
        m_roles.restart();
        spdlog::info("lease_claimed partition={} fencing_number={}", m_partition,
                     m_keeper.fencing_number());
    }
}

asio::awaitable<void> partition_director::release()
{
    if (!m_keeper.is_held(base::boot_clock::now())) {
        co_return;
    }
    protocol::record record;
    record.mutable_release_lease()->set_partition(m_partition);
    record.mutable_release_lease()->set_fencing_number(m_keeper.fencing_number());
    m_keeper.forget_lease();
    const bool released = co_await propose(std::move(record));
    spdlog::info("lease_released partition={} accepted={}", m_partition, released);
}

// Returns whether the fold accepted the record; false if the outcome is unknown.
asio::awaitable<bool> partition_director::propose(protocol::record record)
{
    record.set_author(m_self);
    try {
        const auto made = co_await m_services.proposals.propose(record);
        if (!made.accepted) {
            spdlog::info("proposal_refused partition={} reason=\"{}\"", m_partition, made.reason);
        }
        co_return made.accepted;
    }
    catch (const shared_log::log_error& error) {
        spdlog::warn("proposal_failed partition={} error=\"{}\"", m_partition, error.what());
    }
    co_return false;
}

observed_lease partition_director::observe_lease() const
{
    observed_lease out;
    m_services.replica.inspect([&](const fold::state& state) {
        const auto& leases = state.message().leases();
        const auto found = leases.find(m_partition);
        if (found != leases.end()) {
            out = {found->second.holder(), found->second.fencing_number(),
                   found->second.renewed_offset(), milliseconds{found->second.duration_ms()},
                   found->second.released()};
        }
    });
    return out;
}

std::vector<std::string> partition_director::engine_names() const
{
    std::vector<std::string> out;
    m_services.replica.inspect([&](const fold::state& state) {
        for (const auto& each : state.document()->endpoints) {
            if (each.kind == configuration::endpoint_kind::engine &&
                partition_of(each) == m_partition) {
                out.push_back(each.name);
            }
        }
    });
    return out;
}

std::optional<partition_director::engine_view>
partition_director::view_of(const std::string& name) const
{
    std::optional<engine_view> out;
    m_services.replica.inspect([&](const fold::state& state) {
        const auto* endpoint = state.document()->find_endpoint(name);
        if (endpoint == nullptr) {
            return;
        }
        out.emplace();
        out->endpoint = *endpoint;
        out->document = state.document();
        const auto& wishes = state.message().wishes();
        const auto& orders = state.message().orders();
        if (const auto found = wishes.find(name); found != wishes.end()) {
            out->wish = found->second;
        }
        if (const auto found = orders.find(name); found != orders.end()) {
            out->orders = found->second;
        }
        out->has_spare = may_leave_service(state, *endpoint);
        out->proposed = m_roles.proposed_role(name);
    });
    return out;
}

void partition_director::start_polls()
{
    const auto now = base::boot_clock::now();
    if (!m_keeper.is_held(now)) {
        return;
    }
    for (const auto& name : engine_names()) {
        auto& progress = m_engines[name];
        if (!progress.busy && now >= progress.next_poll_at) {
            progress.busy = true;
            asio::co_spawn(m_services.context, poll_engine(name), asio::detached);
        }
    }
}

void partition_director::run_role_controller()
{
    const auto now = base::boot_clock::now();
    if (now < m_next_role_run_at || !m_keeper.is_held(now)) {
        return;
    }
    m_next_role_run_at = now + role_interval;
    const auto processes = m_services.processes.list(relay::process_table::clock::now());
    m_services.replica.inspect(
        [&](const fold::state& state) { m_roles.observe(state, processes, roles::clock::now()); });
    for (auto& [name, progress] : m_engines) {
        if (!m_roles.proposed_role(name).empty()) {
            progress.next_poll_at =
                std::min(progress.next_poll_at, now + outstanding_poll_interval);
        }
    }
}

std::optional<role_report> partition_director::current_roles() const
{
    if (!m_keeper.is_held(base::boot_clock::now())) {
        return std::nullopt;
    }
    return m_roles.report();
}

asio::awaitable<void> partition_director::poll_engine(std::string name)
{
    auto& progress = m_engines[name];
    auto view = view_of(name);
    progress.next_poll_at = base::boot_clock::now() + poll_interval;
    if (view) {
        if (view->is_outstanding() || (view->wish && !view->wish->role().empty())) {
            progress.next_poll_at = base::boot_clock::now() + outstanding_poll_interval;
        }
        co_await take_next_step(std::move(*view), progress);
    }
    progress.busy = false;
}

asio::awaitable<void> partition_director::take_next_step(engine_view view,
                                                         engine_progress& progress)
{
    view.observed = co_await m_services.engines.observe(view.endpoint.address);
    auto situation = situation_of(view, progress);
    situation.drained = view.is_outstanding() && co_await is_drained(view, progress);
    switch (next_order_step(situation)) {
    case order_step::announce:
        co_await announce(view);
        break;
    case order_step::send:
        co_await send(view, progress);
        break;
    case order_step::settle_applied:
        co_await settle(view, progress, true);
        break;
    case order_step::settle_failed:
        co_await settle(view, progress, false);
        break;
    case order_step::none:
    case order_step::wait:
    case order_step::wait_for_drain:
        break;
    }
}

// Returns the inputs of the next step, except whether the engine is drained.
order_situation partition_director::situation_of(const engine_view& view,
                                                 const engine_progress& progress)
{
    m_roles.record_answer(view.endpoint.name, view.observed);
    order_situation out;
    out.outstanding_order = view.is_outstanding() ? view.orders->intent().order_id() : "";
    out.observed = view.observed;
    out.wanted = view.wanted().has_value();
    out.new_order_allowed = is_new_order_allowed(view, progress);
    out.has_spare = view.has_spare;
    return out;
}

// An engine that checks fencing numbers refuses late orders of earlier lease
// holders itself.
bool partition_director::is_new_order_allowed(const engine_view& view,
                                              const engine_progress& progress) const
{
    const auto now = base::boot_clock::now();
    const auto predecessor_orders_expire_at = m_keeper.claimed_at() + max_packet_lifetime;
    const bool no_late_order =
        now >= predecessor_orders_expire_at && now >= progress.new_order_allowed_at;
    return no_late_order || (view.endpoint.checks_fencing && now >= progress.new_order_allowed_at);
}

asio::awaitable<bool> partition_director::is_drained(const engine_view& view,
                                                     engine_progress& progress)
{
    const auto& order = view.orders->intent().order_id();
    if (!m_services.is_folded_everywhere(view.orders->intent_offset())) {
        co_return false;
    }
    if (progress.draining_for != order) {
        progress.draining_for = order;
        progress.drained_since = std::chrono::steady_clock::now() + dispatch_time;
    }
    co_return co_await m_services.engines.is_idle_since(view.endpoint.address,
                                                        progress.drained_since);
}

asio::awaitable<void> partition_director::announce(const engine_view& view)
{
    // An operator may have changed the wanted role while the engine was polled.
    auto fresh = view_of(view.endpoint.name);
    if (!fresh || fresh->is_outstanding()) {
        co_return;
    }
    fresh->observed = view.observed;
    const auto wanted = fresh->wanted();
    if (!wanted) {
        co_return;
    }
    auto order = *wanted;
    order.set_order_id(base::make_identifier());
    protocol::record record;
    auto& intent = *record.mutable_intent();
    intent.set_partition(m_partition);
    intent.set_fencing_number(m_keeper.fencing_number());
    *intent.mutable_order() = order;
    pause_at_test_step("before_announcement");
    if (co_await propose(std::move(record))) {
        m_roles.record_announced(view.endpoint.name);
        spdlog::info("order_announced endpoint={} order={}", view.endpoint.name, order.order_id());
    }
}

// The process deadline is set before the second check, so that if this process is
// stopped at any later point, it is killed and its sockets close when the lease
// expires. The first check prevents a process whose lease has already expired
// from killing itself.
asio::awaitable<void> partition_director::send(const engine_view& view, engine_progress& progress)
{
    pause_at_test_step("before_check");
    const auto held_until = m_keeper.held_until();
    const auto fencing_number = m_keeper.fencing_number();
    const auto has_time = [&] {
        return is_switched_off("lease_check") ||
               base::boot_clock::now() + m_timing.duration / 2 < held_until;
    };
    if (!has_time()) {
        spdlog::info("order_not_sent endpoint={} reason=lease_ends", view.endpoint.name);
        co_return;
    }
    std::optional<process_deadline> bound;
    if (!is_switched_off("process_deadline")) {
        bound.emplace(held_until);
    }
    if (!has_time()) {
        co_return;
    }
    pause_at_test_step("after_check");
    const auto limit = m_timing.duration / 4;
    const bool answered = co_await m_services.engines.send(
        view.endpoint.address, view.orders->intent(), fencing_number, limit);
    pause_at_test_step("after_write");
    if (!answered) {
        progress.new_order_allowed_at = base::boot_clock::now() + max_packet_lifetime;
    }
}

asio::awaitable<void> partition_director::settle(const engine_view& view, engine_progress& progress,
                                                 bool applied)
{
    pause_at_test_step("before_settlement");
    protocol::record record;
    auto& settlement = *record.mutable_settlement();
    settlement.set_partition(m_partition);
    settlement.set_fencing_number(m_keeper.fencing_number());
    settlement.set_endpoint(view.endpoint.name);
    settlement.set_order_id(view.orders->intent().order_id());
    settlement.set_applied(applied);
    if (!applied) {
        progress.new_order_allowed_at = base::boot_clock::now() + failed_order_backoff;
    }
    const bool accepted = co_await propose(std::move(record));
    spdlog::info("order_settled endpoint={} order={} applied={} accepted={}", view.endpoint.name,
                 view.orders->intent().order_id(), applied, accepted);
}

} // namespace cicadaport::authority
