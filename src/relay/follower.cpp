#include "cicadaport/relay/follower.h"

#include "cicadaport/relay/log_readers.h"
#include "cicadaport/relay/relay_server.h"

#include <peer.pb.h>
#include <spdlog/spdlog.h>
#include <zmq.hpp>

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace cicadaport::relay {
namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds pull_wait{1'000};
constexpr milliseconds answer_slack{500};
constexpr milliseconds cross_check_interval{2'000};
constexpr milliseconds retry_pause{100};
constexpr milliseconds halted_pause{1'000};
constexpr milliseconds preference_interval{500};

} // namespace

class follower::implementation {
public:
    implementation(std::vector<http::address> relays, fold::replica& log, process_table& processes,
                   status_source status, std::size_t own_relays)
        : m_relays{std::move(relays)}, m_all_relays{m_relays.size() + own_relays}, m_log{log},
          m_processes{processes}, m_status{std::move(status)}, m_random{std::random_device{}()}
    {
        if (!m_relays.empty()) {
            m_thread = std::jthread{[this](const std::stop_token& stop) { run(stop); }};
        }
    }

    milliseconds since_last_answer() const { return since(m_last_answer); }
    milliseconds since_contact() const { return since(m_last_contact); }

private:
    static milliseconds since(const std::atomic<clock::duration>& event)
    {
        const auto last = event.load(std::memory_order_acquire);
        return std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch() - last);
    }

    void run(const std::stop_token& stop)
    {
        ask_everyone(stop);
        auto next_cross_check = clock::now() + cross_check_interval;
        while (!stop.stop_requested()) {
            if (is_fresh()) {
                std::this_thread::sleep_for(retry_pause);
                ask_everyone(stop);
                continue;
            }
            prefer_a_log_reader();
            if (!pull(m_relays[m_current], pull_wait)) {
                m_current = (m_current + 1) % m_relays.size();
                m_passed_over_until = clock::now() + cross_check_interval;
                std::this_thread::sleep_for(retry_pause);
            }
            if (clock::now() >= next_cross_check && m_relays.size() > 1) {
                pull(another_than(m_current), milliseconds{0});
                next_cross_check = clock::now() + cross_check_interval;
            }
            if (m_log.halted()) {
                std::this_thread::sleep_for(halted_pause);
            }
        }
    }

    // The log may be down, and any relay may lag.
    void ask_everyone(const std::stop_token& stop)
    {
        for (const auto& relay : m_relays) {
            if (stop.stop_requested()) {
                return;
            }
            pull(relay, milliseconds{0});
        }
    }

    // Two processes that follow each other learn nothing, so a relay that reads
    // the log is better than another. After a failure the next in the list has
    // its turn first.
    void prefer_a_log_reader()
    {
        const auto now = clock::now();
        if (now < m_next_preference || now < m_passed_over_until) {
            return;
        }
        m_next_preference = now + preference_interval;
        const auto known = m_processes.list(now);
        const auto reads_log = [&](const http::address& relay) {
            const auto text = http::to_string(relay);
            return std::any_of(known.begin(), known.end(), [&](const auto& each) {
                return each.address() == text && each.reads_log() &&
                       each.age_ms() < live_age.count();
            });
        };
        if (reads_log(m_relays[m_current])) {
            return;
        }
        const auto found = std::find_if(m_relays.begin(), m_relays.end(), reads_log);
        if (found != m_relays.end()) {
            m_current = static_cast<std::size_t>(found - m_relays.begin());
        }
    }

    const http::address& another_than(std::size_t current)
    {
        std::uniform_int_distribution<std::size_t> pick{1, m_relays.size() - 1};
        return m_relays[(current + pick(m_random)) % m_relays.size()];
    }

    // Returns whether the relay gave an answer that could be used.
    bool pull(const http::address& relay, milliseconds wait)
    {
        protocol::pull_request request;
        request.set_protocol_version(protocol_version);
        request.set_after_offset(m_log.offset());
        request.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
        *request.mutable_sender() = m_status();
        zmq::message_t answer;
        try {
            auto& socket = socket_of(relay);
            socket.send(zmq::buffer(request.SerializeAsString()), zmq::send_flags::dontwait);
            zmq::pollitem_t item{socket.handle(), 0, ZMQ_POLLIN, 0};
            if (zmq::poll(&item, 1, wait + answer_slack) == 0 ||
                !socket.recv(answer, zmq::recv_flags::dontwait)) {
                // A late answer must not be taken for the next pull's.
                m_sockets.erase(relay);
                return false;
            }
            return take(relay, answer);
        }
        catch (const std::exception& error) {
            spdlog::warn("pull_failed relay={} error=\"{}\"", http::to_string(relay), error.what());
            m_sockets.erase(relay);
            return false;
        }
    }

    bool take(const http::address& relay, const zmq::message_t& answer)
    {
        protocol::pull_reply reply;
        if (!reply.ParseFromArray(answer.data(), static_cast<int>(answer.size())) ||
            reply.protocol_version() != protocol_version) {
            spdlog::warn("pull_refused relay={} reason=\"{}\"", http::to_string(relay),
                         reply.refused());
            return false;
        }
        const auto now = clock::now();
        for (const auto& member : reply.members()) {
            m_processes.note(member, now);
        }
        m_last_answer.store(now.time_since_epoch(), std::memory_order_release);
        const auto contact = (now - milliseconds{reply.contact_age_ms()}).time_since_epoch();
        if (contact > m_last_contact.load(std::memory_order_acquire)) {
            m_last_contact.store(contact, std::memory_order_release);
        }
        if (is_fresh()) {
            begin_with(relay, std::move(reply));
        }
        else {
            take_records(relay, reply);
        }
        return true;
    }

    // A process that starts knows nothing of what it had in force before.
    bool is_fresh() const { return m_log.offset() == 0; }

    // Begins with the answer of a relay that has heard from the log since this
    // process started, or else with the newest of more than half of all relays:
    // a few of them may be cut off together with this process and know an old
    // configuration only.
    void begin_with(const http::address& relay, protocol::pull_reply reply)
    {
        const milliseconds log_age{reply.log_age_ms()};
        const bool reads_log = log_age.count() > 0 && log_age < clock::now() - m_started;
        m_held.insert_or_assign(relay, std::move(reply));
        if (reads_log) {
            take_records(relay, m_held.at(relay));
        }
        else if (m_held.size() * 2 > m_all_relays) {
            const auto newest =
                std::max_element(m_held.begin(), m_held.end(), [](const auto& a, const auto& b) {
                    return a.second.end_offset() < b.second.end_offset();
                });
            take_records(newest->first, newest->second);
        }
        if (!is_fresh()) {
            m_held.clear();
        }
    }

    void take_records(const http::address& relay, const protocol::pull_reply& reply)
    {
        if (!reply.state().empty()) {
            install(relay, reply.state());
        }
        const std::vector<protocol::log_entry> entries{reply.entries().begin(),
                                                       reply.entries().end()};
        m_log.apply(entries);
    }

    // A state that this build can't read leaves the one it has in force.
    void install(const http::address& relay, const std::string& state)
    {
        try {
            m_log.install(state);
        }
        catch (const std::exception& error) {
            spdlog::error("state_unreadable relay={} error=\"{}\"", http::to_string(relay),
                          error.what());
            std::this_thread::sleep_for(halted_pause);
        }
    }

    zmq::socket_t& socket_of(const http::address& relay)
    {
        auto found = m_sockets.find(relay);
        if (found == m_sockets.end()) {
            zmq::socket_t socket{m_context, zmq::socket_type::dealer};
            socket.set(zmq::sockopt::linger, 0);
            socket.connect("tcp://" + http::to_string(relay));
            found = m_sockets.emplace(relay, std::move(socket)).first;
        }
        return found->second;
    }

    std::vector<http::address> m_relays;
    std::size_t m_all_relays;
    clock::time_point m_started = clock::now();
    fold::replica& m_log;
    process_table& m_processes;
    status_source m_status;
    std::mt19937_64 m_random;
    zmq::context_t m_context;
    std::map<http::address, zmq::socket_t> m_sockets;
    // What relays answered while this process was fresh.
    std::map<http::address, protocol::pull_reply> m_held;
    std::size_t m_current = 0;
    clock::time_point m_next_preference;
    clock::time_point m_passed_over_until;
    std::atomic<clock::duration> m_last_answer{clock::duration{}};
    std::atomic<clock::duration> m_last_contact{clock::duration{}};
    std::jthread m_thread;
};

follower::follower(std::vector<http::address> relays, fold::replica& log, process_table& processes,
                   status_source status, std::size_t own_relays)
    : m_impl{std::make_unique<implementation>(std::move(relays), log, processes, std::move(status),
                                              own_relays)}
{
}

follower::~follower() = default;

milliseconds follower::since_last_answer() const
{
    return m_impl->since_last_answer();
}

milliseconds follower::since_contact() const
{
    return m_impl->since_contact();
}

} // namespace cicadaport::relay
