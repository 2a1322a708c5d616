// Who may give an engine its next order.
//
// An order is announced in the platform's store before it is sent: a record
// under the engine's name, appended on the condition that nobody has appended
// since the list was read. Of hosts that race, one succeeds. Its record's place
// in the list is the order's fencing token. The host sends the order within
// `sending_time` of having begun to announce it, or never; everybody else
// leaves the engine alone for `quiet_time` after seeing the record. So orders
// of two hosts to one engine are at least the difference apart, also when a
// host is frozen, cut off or killed at any point: what it has not sent in time
// it does not send.
//
// Pure: records and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <unordered_map>

namespace cicadaport::serving {

class order_ledger {
public:
    // From the begin of the announcement to the last byte of the order, counted
    // on a clock that goes on while the host is suspended.
    static constexpr std::chrono::milliseconds sending_time{900};
    // Orders that got no answer may be carried out up to 12 s later; after that
    // and `sending_time` the engine shows what has become of them.
    static constexpr std::chrono::milliseconds quiet_time{14'000};

    // After this time an order has been carried out or never will be told of.
    static constexpr std::chrono::milliseconds changing_time{6'000};

    // Notes that an engine's newest record stands at `offset` and announces a
    // change to `to`.
    void note(const std::string& engine, std::uint64_t offset, engine_stage to, time_point now);

    // Returns whether an order may be announced for the engine.
    bool is_free(const std::string& engine, time_point now) const;

    // Returns whether an order may still be sent that began to be announced at
    // `announced`.
    static bool may_send(time_point announced, time_point now) noexcept
    {
        return now - announced < sending_time;
    }

    // Returns the stage that an engine may be changing to just now.
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
