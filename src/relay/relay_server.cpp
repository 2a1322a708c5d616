#include "cicadaport/relay/relay_server.h"

#include "cicadaport/relay/table_part.h"
#include "cicadaport/relay/work_limit.h"

#include <peer.pb.h>
#include <spdlog/spdlog.h>
#include <zmq.hpp>
#include <zmq_addon.hpp>

#include <atomic>
#include <thread>

namespace cicadaport::relay {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds wake_interval{20};
constexpr std::chrono::milliseconds longest_wait{5'000};
constexpr std::chrono::hours longest_age{24};
constexpr std::size_t most_waiting = 4'096;

// A pull that waits for something newer.
struct waiting_pull {
    table_reader reader;
    std::uint64_t after_offset = 0;
    clock::time_point until;
};

} // namespace

class relay_server::implementation {
public:
    implementation(const http::address& listen, fold::replica& log, process_table& processes,
                   contact_age_source contact_age, log_age_source log_age)
        : m_log{log}, m_processes{processes}, m_contact_age{std::move(contact_age)},
          m_log_age{std::move(log_age)}, m_socket{m_context, zmq::socket_type::router}
    {
        m_socket.set(zmq::sockopt::linger, 0);
        const auto port = listen.port == 0 ? "*" : std::to_string(listen.port);
        m_socket.bind("tcp://" + listen.ip + ":" + port);
        constexpr std::string_view scheme = "tcp://";
        const auto endpoint = m_socket.get(zmq::sockopt::last_endpoint);
        m_address = http::parse_address(endpoint.substr(scheme.size()));
        m_thread = std::jthread{[this](const std::stop_token& stop) { run(stop); }};
    }

    const http::address& address() const noexcept { return m_address; }

private:
    void run(const std::stop_token& stop)
    {
        while (!stop.stop_requested()) {
            zmq::pollitem_t item{m_socket.handle(), 0, ZMQ_POLLIN, 0};
            zmq::poll(&item, 1, wake_interval);
            while (receive_one()) {
            }
            answer_waiting();
        }
    }

    bool receive_one()
    {
        constexpr std::size_t frames_of_a_pull = 2;
        std::vector<zmq::message_t> frames;
        if (!zmq::recv_multipart(m_socket, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
            return false;
        }
        protocol::pull_request request;
        if (frames.size() != frames_of_a_pull ||
            !request.ParseFromArray(frames[1].data(), static_cast<int>(frames[1].size()))) {
            return true;
        }
        const auto peer = frames[0].to_string();
        if (request.protocol_version() != protocol_version) {
            refuse(peer, request);
            return true;
        }
        const auto now = clock::now();
        m_processes.note(request.sender(), now);
        const auto wait = std::min<std::chrono::milliseconds>(
            std::chrono::milliseconds{request.wait_ms()}, longest_wait);
        if (m_waiting.size() < most_waiting) {
            // A pull that does not wait comes from a process that looks around.
            const table_reader reader{peer, request.sender().kind() == "entry", wait.count() > 0};
            m_waiting.push_back({reader, request.after_offset(), now + wait});
        }
        return true;
    }

    void refuse(const std::string& peer, const protocol::pull_request& request)
    {
        protocol::pull_reply reply;
        reply.set_protocol_version(protocol_version);
        reply.set_refused("protocol version " + std::to_string(request.protocol_version()) +
                          " is not " + std::to_string(protocol_version));
        spdlog::warn("pull_refused peer={} reason=\"{}\"", request.sender().id(), reply.refused());
        send(peer, reply);
    }

    void answer_waiting()
    {
        const auto now = clock::now();
        const auto newest = m_log.offset();
        std::erase_if(m_waiting, [&](const waiting_pull& pull) {
            if (pull.after_offset >= newest && pull.until > now) {
                return false;
            }
            answer(pull, now);
            return true;
        });
    }

    void answer(const waiting_pull& pull, clock::time_point now)
    {
        protocol::pull_reply reply;
        reply.set_protocol_version(protocol_version);
        m_log.fill_reply(pull.after_offset, reply);
        if (m_contact_age) {
            const auto age = std::min<std::chrono::milliseconds>(m_contact_age(), longest_age);
            reply.set_contact_age_ms(static_cast<std::uint32_t>(age.count()));
        }
        if (const auto age = m_log_age ? m_log_age() : std::nullopt) {
            // 0 would say that the log never answered.
            const auto told = std::clamp<std::chrono::milliseconds>(
                *age, std::chrono::milliseconds{1}, longest_age);
            reply.set_log_age_ms(static_cast<std::uint32_t>(told.count()));
        }
        if (m_table_part.is_due(pull.reader, now)) {
            auto statuses = m_table_part.choose(pull.reader, m_processes.list(now), now);
            limit_work(statuses);
            for (auto& status : statuses) {
                *reply.add_members() = std::move(status);
            }
        }
        send(pull.reader.peer, reply);
    }

    void send(const std::string& peer, const protocol::pull_reply& reply)
    {
        m_socket.send(zmq::buffer(peer), zmq::send_flags::sndmore | zmq::send_flags::dontwait);
        m_socket.send(zmq::buffer(reply.SerializeAsString()), zmq::send_flags::dontwait);
    }

    fold::replica& m_log;
    process_table& m_processes;
    contact_age_source m_contact_age;
    log_age_source m_log_age;
    table_part m_table_part;
    zmq::context_t m_context;
    zmq::socket_t m_socket;
    http::address m_address;
    std::vector<waiting_pull> m_waiting;
    std::jthread m_thread;
};

relay_server::relay_server(const http::address& listen, fold::replica& log,
                           process_table& processes, contact_age_source contact_age,
                           log_age_source log_age)
    : m_impl{std::make_unique<implementation>(listen, log, processes, std::move(contact_age),
                                              std::move(log_age))}
{
}

relay_server::~relay_server() = default;

const http::address& relay_server::address() const noexcept
{
    return m_impl->address();
}

} // namespace cicadaport::relay
