// Decides which host may send an engine its next order.
//
// An order is announced in the platform's store before it is sent: a record under the engine's
// name, appended on the condition that no other record was appended since the list was read. Of
// several racing hosts one succeeds. The offset of its record in the list is the order's fencing
// token. The host sends the order within `send_timeout` of the start of its announcement, or not
// at all; all other hosts send the engine no order for `exclusive_period` after they see the
// record. Orders of two hosts to one engine are therefore at least the difference of these times
// apart, even if a host is frozen, partitioned or killed at any point, since an order that was not
// sent in time is dropped.
//
// Performs no I/O; records and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <unordered_map>

namespace cicadaport::serving {

class order_ledger {
public:
    // Time from the start of the announcement to the last byte of the order, on a clock that keeps
    // running while the host is suspended.
    static constexpr std::chrono::milliseconds send_timeout{900};
    // An order without a response may still be executed up to 12 s later. After that time plus
    // `send_timeout`, the engine's report shows whether it was executed.
    static constexpr std::chrono::milliseconds exclusive_period{14'000};

    // After this time an order has been executed, or its execution will not be reported any more.
    static constexpr std::chrono::milliseconds stage_change_timeout{6'000};

    // Records that an engine's newest record is at `offset` and announces a change to stage `to`.
    void record_order(const std::string& engine, std::uint64_t offset, engine_stage to,
                      time_point now);

    // Returns whether this host may announce an order for the engine.
    bool can_announce(const std::string& engine, time_point now) const;

    // Returns whether an order whose announcement started at `announced` may still be sent.
    static bool may_send(time_point announced, time_point now) noexcept
    {
        return now - announced < send_timeout;
    }

    // Returns the stage that an engine may currently be changing to, or nothing.
    std::optional<engine_stage> changing_to(const std::string& engine, time_point now) const;

private:
    struct record {
        std::uint64_t offset = 0;
        engine_stage to = engine_stage::none;
        time_point seen{};
    };

    std::unordered_map<std::string, record> m_records;
};

} // namespace cicadaport::serving
