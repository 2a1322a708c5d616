#include "cicadaport/relay/follower.h"

#include "cicadaport/relay/relay_server.h"

#include <peer.pb.h>
#include <spdlog/spdlog.h>
#include <zmq.hpp>

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

} // namespace

class follower::implementation {
public:
    implementation(std::vector<http::address> relays, fold::replica& log, process_table& processes,
                   status_source status)
        : m_relays{std::move(relays)}, m_log{log},
          m_processes{processes}, m_status{std::move(status)}, m_random{std::random_device{}()}
    {
        if (!m_relays.empty()) {
            m_thread = std::jthread{[this](const std::stop_token& stop) { run(stop); }};
        }
    }

    milliseconds since_last_answer() const
    {
        const auto last = m_last_answer.load(std::memory_order_acquire);
        return std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch() - last);
    }

private:
    void run(const std::stop_token& stop)
    {
        std::size_t current = 0;
        auto next_cross_check = clock::now() + cross_check_interval;
        while (!stop.stop_requested()) {
            if (!pull(m_relays[current], pull_wait)) {
                current = (current + 1) % m_relays.size();
                std::this_thread::sleep_for(retry_pause);
            }
            if (clock::now() >= next_cross_check && m_relays.size() > 1) {
                pull(another_than(current), milliseconds{0});
                next_cross_check = clock::now() + cross_check_interval;
            }
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
        if (!reply.state().empty()) {
            m_log.install(reply.state());
        }
        const std::vector<protocol::log_entry> entries{reply.entries().begin(),
                                                       reply.entries().end()};
        m_log.apply(entries);
        const auto now = clock::now();
        for (const auto& member : reply.members()) {
            m_processes.note(member, now);
        }
        m_last_answer.store(now.time_since_epoch(), std::memory_order_release);
        return true;
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
    fold::replica& m_log;
    process_table& m_processes;
    status_source m_status;
    std::mt19937_64 m_random;
    zmq::context_t m_context;
    std::map<http::address, zmq::socket_t> m_sockets;
    std::atomic<clock::duration> m_last_answer{clock::duration{}};
    std::jthread m_thread;
};

follower::follower(std::vector<http::address> relays, fold::replica& log, process_table& processes,
                   status_source status)
    : m_impl{std::make_unique<implementation>(std::move(relays), log, processes, std::move(status))}
{
}

follower::~follower() = default;

milliseconds follower::since_last_answer() const
{
    return m_impl->since_last_answer();
}

} // namespace cicadaport::relay
