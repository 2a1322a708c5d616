// Decides step by step whether one attempt to give orders may go on: the list of announcements is
// read, the orders are announced, and sent once the store has acknowledged the announcement.
//
// All steps belong to one generation of the store's history. After a return of the store its list
// may lack announcements whose orders are at work, so nothing is announced until
// `order_ledger::exclusive_period` has passed since this host learned of the return.
//
//   order_attempt attempt{ledger, history};
//   auto refused = attempt.read(page, now);               // until the last page
//   refused = attempt.announce(orders, "host-7", now);    // then append them at `list_end()`
//   refused = attempt.acknowledge(offset, now);
//   refused = attempt.check_sending(order, now);          // for each order
//
// After a refusal no further step is to be made.
//
// Performs no I/O; answers and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/history/store_history.h"
#include "cicadaport/orders/order_ledger.h"

#include <span>
#include <vector>

namespace cicadaport::orders {

// Why an attempt ends.
enum class refusal {
    // The store has returned from an older copy since the attempt began.
    store_returned,
    // The list does not continue what was read from it: the store has returned unannounced.
    list_contradicts,
    // The store's present history has not been known for `order_ledger::exclusive_period`.
    recent_return,
    // No fencing token above the known ones can be formed.
    no_token,
    // The announcement is at another place in the list than its tokens were formed for.
    misplaced,
    // The time in which the orders may be sent has passed.
    too_late,
    // Another host has said meanwhile that it sends the engine an order.
    other_order,
};

std::string_view to_string(refusal reason);

// A record of the list.
struct listed_order {
    engine_key engine;
    std::uint64_t offset = 0;
    std::string value;
};

// A page of the newest records of all engines.
struct list_page {
    // Offset of the first record that the list does not have yet.
    std::uint64_t list_end = 0;
    bool is_last = true;
    std::vector<listed_order> orders;
};

// An order to be announced and sent.
struct planned_order {
    engine_key engine;
    std::string stage;
    // Formed by `order_attempt::announce()`.
    std::uint64_t token = 0;
    // The value of the announcement.
    std::string value;
};

class order_attempt {
public:
    // Both must outlive the attempt.
    order_attempt(order_ledger& ledger, const history::store_history& history);

    // Returns why no attempt needs to begin: the list has been read in the present history, which
    // is too young.
    static std::optional<refusal>
    check_begin(const order_ledger& ledger, const history::store_history& history, time_point now);

    // Records a page of the list.
    std::optional<refusal> read(const list_page& page, time_point now);

    // The place at which the orders have to be announced: the end of the list as first read.
    std::uint64_t list_end() const noexcept { return m_list_end; }

    // Forms tokens and announcements. The append has to start at `now`.
    std::optional<refusal> announce(std::vector<planned_order> orders, std::string_view holder,
                                    time_point now);

    // The orders with their tokens, in the order in which they are announced.
    std::span<const planned_order> planned() const noexcept { return m_orders; }

    // Records that the store has acknowledged the announcement, whose first record is at `offset`.
    std::optional<refusal> acknowledge(std::uint64_t offset, time_point now);

    // Returns why one of the announced orders may not be sent.
    std::optional<refusal> check_sending(const planned_order& order, time_point now) const;

    // From this time on none of the orders may be sent.
    time_point send_deadline() const noexcept
    {
        return m_announced_at + order_ledger::send_timeout;
    }

private:
    static bool is_recent(const history::store_history& history, time_point now);
    std::optional<refusal> check_history(time_point now) const;

    order_ledger* m_ledger;
    const history::store_history* m_history;
    std::uint64_t m_generation;
    std::uint64_t m_list_end = 0;
    bool m_reading = false;
    std::vector<planned_order> m_orders;
    time_point m_announced_at{};
};

} // namespace cicadaport::orders
