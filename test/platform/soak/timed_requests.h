// Requests that take long, from callers that keep their connections, and the replicas' work on
// them.
#pragma once

#include "platform/soak/host_fleet.h"
#include "platform/soak/stop_judge.h"

#include <mutex>
#include <random>

namespace cicadaport::platform::testing {

// Thread safe, except for judge().
class timed_requests {
public:
    // Losses are judged only if the host had no unplanned fault for `contact`.
    explicit timed_requests(milliseconds contact) : m_contact{contact} {}

    // A replica's answer to such a request: works for the time that the request names, and adds
    // `fields` to the head.
    scripted_response work(const received_request& request, const std::string& fields);

    // Sends requests to one host until `done`. Uses each connection until the host announces its
    // end or ends it. All draws come from the seed.
    void send(fleet_host& host, std::uint64_t seed, const std::atomic<bool>& done);

    // Records that a host has just got SIGTERM.
    void record_stop(const fleet_host& host);

    // May be called once all threads have returned from send().
    const stop_judge& judge() const noexcept { return m_judge; }

private:
    struct timed_request {
        stop_judge::request judged;
        std::string head;
        std::string body;
    };
    struct timed_work {
        std::string id;
        soak_time end;
        bool breaks_off = false;
    };

    scripted_response next_event(const timed_work& work, int number);
    // Works until `due`, then sends `reply`.
    scripted_response respond_at(soak_time due, const std::string& id,
                                 const scripted_response& reply);

    static timed_request draw(const fleet_host& host, std::mt19937_64& random,
                              std::size_t body_bytes = 4);
    // Sends more requests at once than a host reads ahead, and closes the connection.
    void send_ahead_and_leave(const fleet_host& host, caller& from, std::mt19937_64& random);
    // Receives the answer for the judge. Returns whether the connection can be reused.
    bool receive(const fleet_host& host, caller& from, stop_judge::request& sent);

    milliseconds m_contact;
    std::mutex m_mutex;
    // Guarded by the mutex.
    stop_judge m_judge;
};

} // namespace cicadaport::platform::testing
