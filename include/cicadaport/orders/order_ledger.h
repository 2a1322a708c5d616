// What one host knows of the orders that were announced for engines, by all hosts.
//
// An order is announced in the platform's store before it is sent: a record under the engine's
// name, appended on the condition that no other record was appended since the list was read. Of
// several racing hosts one succeeds. The host sends the order within `send_timeout` of the start of
// its announcement, or not at all; all other hosts send the engine no order for `exclusive_period`
// after they see the record. Orders of two hosts to one engine are therefore at least the
// difference of these times apart, even if a host is frozen, partitioned or killed at any point,
// since an order that was not sent in time is dropped.
//
// A record may be lost and its offset given out again when the store returns from an older copy.
// Offsets are therefore compared within one generation of the store's history only; fencing tokens
// and times are kept across generations.
//
// Performs no I/O; records and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"
#include "cicadaport/orders/announcement.h"

#include <unordered_map>

namespace cicadaport::orders {

using time_point = base::boot_clock::time_point;

// An engine by its id and by the digest of it that hosts use among themselves.
struct engine_key {
    std::string id;
    std::uint32_t number = 0;
};

class order_ledger {
public:
    // Time from the start of the announcement to the sending of the order, on a clock that keeps
    // running while the host is suspended.
    static constexpr std::chrono::milliseconds send_timeout{900};
    // An order without a response may still be executed up to 12 s later. After that time plus
    // `send_timeout`, the engine's report shows whether it was executed.
    static constexpr std::chrono::milliseconds exclusive_period{14'000};

    // After this time an order has been executed, or its execution will not be reported any more.
    static constexpr std::chrono::milliseconds stage_change_timeout{6'000};

    // Begins a reading of the whole list, which ends at `list_end`, in a generation of the store's
    // history. Returns false if the list does not continue what was read from it in this
    // generation; then the store has returned from an older copy.
    [[nodiscard]] bool begin_reading(std::uint64_t generation, std::uint64_t list_end);

    // Records an engine's newest record in the list. Returns false as above.
    [[nodiscard]] bool record_listed(const engine_key& engine, std::uint64_t offset,
                                     std::string_view value, time_point now);

    // Ends the reading. Returns false as above: a known record is not in the list any more.
    [[nodiscard]] bool end_reading();

    // Records that another host said that it sends the engine an order with this token.
    void record_sent_order(std::uint32_t engine, std::uint64_t token, time_point now);

    // Records that other hosts know tokens up to this one, for any engine.
    void record_largest_token(std::uint64_t token);

    // Returns the largest token that other hosts have stated; 0 if there is none.
    std::uint64_t stated_token() const noexcept { return m_stated_token; }

    // Returns the largest token that this host knows of, for any engine; 0 if there is none.
    std::uint64_t largest_token() const;

    // Returns whether the list has been read as a whole in a generation.
    bool has_read(std::uint64_t generation) const noexcept
    {
        return m_read_generation == generation;
    }

    // Returns the largest known token of an order to the engine; 0 if there is none. Tokens that
    // were stated for any engine do not count.
    std::uint64_t known_token(std::uint32_t engine) const;

    // Returns whether this host may announce an order for the engine.
    bool can_announce(const engine_key& engine, time_point now) const;

    // Returns whether another host said lately that it sends the engine an order.
    bool has_heard_of_order(std::uint32_t engine, time_point now) const;

    // Returns the stage that an engine may currently be changing to, or nothing.
    std::optional<std::string_view> changing_to(const std::string& engine, time_point now) const;

private:
    struct record {
        std::uint64_t generation = 0;
        std::uint64_t offset = 0;
        std::string value;
        announcement said;
        time_point seen{};
        // The last reading that found the record.
        std::uint64_t reading = 0;
    };

    struct sent_orders {
        std::uint64_t largest_token = 0;
        // When another host last said that it sends an order.
        std::optional<time_point> heard;
    };

    std::unordered_map<std::string, record> m_records;
    std::unordered_map<std::uint32_t, sent_orders> m_sent;
    // The largest token that other hosts have stated for any engine.
    std::uint64_t m_stated_token = 0;
    std::uint64_t m_generation = 0;
    std::optional<std::uint64_t> m_read_generation;
    std::uint64_t m_known_end = 0;
    std::uint64_t m_reading = 0;
};

} // namespace cicadaport::orders
