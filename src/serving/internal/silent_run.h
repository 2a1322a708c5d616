// A run whose replica is silent, kept until another replica has begun to continue its stream.
#pragma once

#include "cicadaport/serving/exchange.h"

namespace cicadaport::serving {

// What an exchange knows of one run.
struct exchange::run_state {
    std::shared_ptr<transport::exchange_connection> connection;
    endpoint_pointer endpoint;
    time_point sent{};
    time_point first_event{};
    bool survived = false;
    std::optional<transport::message_head> answer;
    serving::answer_metadata answer_metadata;
    bool answer_confirmed = true;
    // The bytes of the event that has not arrived whole.
    std::string incomplete_event;
    std::uint64_t decode_work = 0;
};

// Observes the run's connection. When the replica goes on, the exchange returns to it.
//
// Not thread safe.
class exchange::silent_run final : public transport::answer_observer {
public:
    // `owner` must outlive the object.
    silent_run(exchange& owner, run_state run) : m_owner{owner}, m_run{std::move(run)}
    {
        m_run.connection->set_observer(*this);
    }

    const run_state& state() const noexcept { return m_run; }
    // Returns the run's state. The connection must get another observer, or be abandoned.
    run_state take() { return std::move(m_run); }

private:
    bool owns(const transport::message_head& head) override { return m_owner.owns(head); }

    void on_head(transport::message_head head) override
    {
        auto& owner = m_owner;
        const auto keep = owner.shared_from_this();
        owner.return_to_silent_run();
        owner.on_head(std::move(head));
    }

    // The exchange destroys this object when it returns to the run.
    void on_body(std::string_view piece) override
    {
        auto& owner = m_owner;
        const auto keep = owner.shared_from_this();
        owner.return_to_silent_run();
        owner.on_body(piece);
    }

    void on_complete() override
    {
        auto& owner = m_owner;
        const auto keep = owner.shared_from_this();
        owner.return_to_silent_run();
        owner.on_complete();
    }

    void on_failure(transport::exchange_failure) override { m_owner.handle_silent_run_failure(); }

    exchange& m_owner;
    run_state m_run;
};

} // namespace cicadaport::serving
