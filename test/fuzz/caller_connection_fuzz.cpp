// Plays arbitrary sequences of what a caller, its replica and the event loop can do: whole requests
// and arbitrary bytes, pauses, half closes, resets, answers, and a planned stop. The caller is at
// the other end of a pair of local sockets. Once all callers have left, no request may be begun.
#include "../../platform/wire.h"

#include "cicadaport/serving/caller_connection.h"

#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>
#include <deque>

#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace cicadaport;
using boost::asio::ip::tcp;

constexpr int max_turns = 64;
constexpr std::string_view end_of_head = "\r\n\r\n";

// A replica on loopback that answers when it is told to.
class replica {
public:
    replica() { m_acceptor.non_blocking(true); }

    http::address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    // Takes new connections and what has arrived on them.
    void receive()
    {
        boost::system::error_code error;
        for (;;) {
            tcp::socket accepted{m_context};
            m_acceptor.accept(accepted, error);
            if (error) {
                break;
            }
            accepted.non_blocking(true);
            // A closed port would be kept for a minute, and there are many in one run.
            accepted.set_option(boost::asio::socket_base::linger{true, 0}, error);
            m_connections.push_back({std::move(accepted), {}});
        }
        for (auto& each : m_connections) {
            char buffer[4'096];
            const auto count = each.socket.read_some(boost::asio::buffer(buffer), error);
            const std::string_view arrived{buffer, error ? 0 : count};
            for (auto at = arrived.find(end_of_head); at != std::string_view::npos;
                 at = arrived.find(end_of_head, at + 1)) {
                ++m_requests;
            }
            each.received += arrived;
        }
    }

    // Returns the number of requests that have arrived so far.
    std::size_t requests() const noexcept { return m_requests; }

    // Answers, or ends, the first connection on which a request waits.
    void answer(unsigned kind)
    {
        receive();
        for (auto& each : m_connections) {
            const auto end = each.received.find(end_of_head);
            if (end == std::string::npos) {
                continue;
            }
            constexpr std::string_view name = "Request-Id: ";
            const auto at = each.received.find(name);
            const auto id =
                at < end ? each.received.substr(at + name.size(),
                                                each.received.find('\r', at) - at - name.size())
                         : std::string{};
            each.received.erase(0, end + end_of_head.size());
            boost::system::error_code ignored;
            constexpr unsigned kinds = 4;
            switch (kind % kinds) {
            case 0:
            case 1:
                write(each, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                "\r\nResponse-Seal: s\r\nContent-Length: 1\r\n\r\nx");
                break;
            case 2:
                write(each, "HTTP/1.1 503 X\r\nRequest-Id: " + id +
                                "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                break;
            default:
                each.socket.close(ignored);
                break;
            }
            return;
        }
    }

    void close_all() { m_connections.clear(); }

private:
    struct connection {
        tcp::socket socket;
        std::string received;
    };

    static void write(connection& to, const std::string& bytes)
    {
        boost::system::error_code ignored;
        to.socket.write_some(boost::asio::buffer(bytes), ignored);
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::deque<connection> m_connections;
    std::size_t m_requests = 0;
};

// One host with its callers, for one sequence.
class host {
public:
    explicit host(replica& with) : m_replica{with}
    {
        const std::string address = http::to_string(m_replica.address());
        m_state.deployed = m_wire.read_deployment(serving::feed_entry{
            "config",
            R"({"version":1,"routes":[{"name":"safe","host":"h.example","path-prefix":"/safe/",)"
            R"("kind":"safe","timeout-ms":5000,"target-latency-ms":2000,"max-attempts":2,)"
            R"("service":"s"}],"services":[{"name":"s","max-conns":64}],"limits":)"
            R"({"max-header-bytes":1024,"max-body-bytes":2048}})"});
        const auto report = m_wire.read_endpoint(serving::feed_entry{
            "i-1", R"({"service":"s","address":")" + address +
                       R"(","zone":"z","slots":4,"state":"ready","cold-left-ms":0,"sequence":1,)"
                       R"("born":1,"version":"v1"})"});
        // Short enough for sequences in which reading is paused.
        m_state.caller_bounds.pipelined_bytes = 200;
        m_state.caller_bounds.unread_answer_bytes = 400;
        m_state.endpoints.apply(report.value(), m_state.timers.now());
        m_state.handle_listed_replica(*report);
    }

    ~host()
    {
        expect_nothing_begun_for_nobody();
        end_now();
        turn(max_turns);
        m_replica.close_all();
        turn(max_turns);
    }

    void accept()
    {
        constexpr std::size_t max_callers = 3;
        int ends[2] = {-1, -1};
        if (m_callers.size() >= max_callers ||
            ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) != 0) {
            return;
        }
        tcp::socket socket{m_context};
        socket.assign(tcp::v4(), ends[0]);
        m_callers.push_back(ends[1]);
        std::make_shared<serving::caller_connection>(m_state, m_connections, m_slots,
                                                     std::move(socket))
            ->start();
    }

    void send(std::string_view bytes)
    {
        if (!m_callers.empty()) {
            static_cast<void>(::send(m_callers.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL));
        }
    }

    void read()
    {
        char buffer[4'096];
        if (!m_callers.empty()) {
            static_cast<void>(::recv(m_callers.back(), buffer, sizeof(buffer), 0));
        }
    }

    void half_close()
    {
        if (!m_callers.empty()) {
            ::shutdown(m_callers.back(), SHUT_WR);
        }
    }

    // Closes all callers but `left` of them. What they have not read makes it a reset.
    void close(std::size_t left)
    {
        while (m_callers.size() > left) {
            ::close(m_callers.back());
            m_callers.pop_back();
        }
    }

    void close_last()
    {
        if (!m_callers.empty()) {
            close(m_callers.size() - 1);
        }
    }

    void turn(int count)
    {
        for (int turns = 0; turns < count; ++turns) {
            m_context.restart();
            if (m_context.poll() == 0) {
                break;
            }
            m_replica.receive();
        }
    }

    void run_one()
    {
        m_context.restart();
        m_context.poll_one();
    }

    void begin_stop()
    {
        using std::chrono_literals::operator""s;
        if (!m_state.stop) {
            m_state.stop.emplace(m_state.timers.now(), 8s, 1s);
        }
    }

    void end_now()
    {
        const auto all = m_connections;
        for (const auto& each : all) {
            each->end_now();
        }
    }

private:
    // Ends all callers and lets the replica answer all that it has received.
    void expect_nothing_begun_for_nobody()
    {
        constexpr int max_answers = 16;
        close(0);
        turn(max_turns);
        m_replica.receive();
        const auto begun = m_replica.requests();
        for (int answers = 0; answers < max_answers; ++answers) {
            m_replica.answer(0);
            turn(max_turns);
        }
        if (m_replica.requests() != begun) {
            std::fputs("a request was begun for a caller that has left\n", stderr);
            std::abort();
        }
    }

    replica& m_replica;
    platform::wire m_wire{{"127.0.0.1", 1}};
    boost::asio::io_context m_context;
    serving::host_state m_state{m_context, m_wire, "z", {}};
    serving::connection_slots m_slots{4};
    serving::caller_set m_connections;
    std::deque<int> m_callers;
};

void play(std::string_view bytes)
{
    static replica serving_replica;
    constexpr std::string_view request = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                                         "Request-Id: r\r\nDeadline-Ms: 5000\r\n\r\n";
    host running{serving_replica};
    running.accept();
    while (!bytes.empty()) {
        const auto code = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        constexpr unsigned operations = 12;
        const auto argument = code / operations;
        switch (code % operations) {
        case 0:
            running.accept();
            break;
        case 1:
        case 2: {
            std::string pipelined;
            for (unsigned count = 0; count <= argument % 4; ++count) {
                pipelined += request;
            }
            running.send(pipelined);
            break;
        }
        case 3: {
            const auto literal = bytes.substr(0, argument);
            bytes.remove_prefix(literal.size());
            running.send(literal);
            break;
        }
        case 4:
            running.turn(max_turns);
            break;
        case 5:
            running.run_one();
            break;
        case 6:
            running.read();
            break;
        case 7:
            running.half_close();
            break;
        case 8:
            running.close_last();
            break;
        case 9:
            running.begin_stop();
            break;
        case 10:
            running.end_now();
            break;
        default:
            serving_replica.answer(argument);
            break;
        }
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer asks for this name.
extern "C" int LLVMFuzzerInitialize(int*, char***)
{
    spdlog::set_level(spdlog::level::off);
    return 0;
}

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer asks for this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::size_t max_operations = 256;
    play({reinterpret_cast<const char*>(data), std::min(size, max_operations)});
    return 0;
}
