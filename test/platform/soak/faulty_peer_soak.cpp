#include "platform/soak/faulty_peer_soak.h"

#include <fcntl.h>
#include <sys/stat.h>

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

constexpr auto longest_start = 10s;
constexpr auto sample_interval = 50ms;
constexpr auto request_interval = 20ms;
constexpr auto request_deadline = 3s;
constexpr auto grace = 4s;
constexpr auto slack_after_grace = 1s;
constexpr std::size_t kb_per_mb = 1'000;
constexpr std::size_t max_memory_mb = 260;
constexpr double max_memory_share = 0.6;
// A host that needs more is ended, since the machine is shared.
constexpr std::size_t given_up_at_mb = 800;
constexpr std::size_t max_descriptors = 400;
constexpr std::size_t sound_callers = 6;
constexpr std::size_t callers_of_each_kind = 20;
constexpr std::size_t callers_with_part_of_head = 150;
constexpr std::size_t max_body_bytes = 4'194'304;
constexpr std::size_t large_answer_bytes = 1'000'000;
constexpr int log_pipe_bytes = 4'096;

const std::string filler(32'768, 'y');
const std::string answer_head = "HTTP/1.1 200 X\r\nRequest-Id: {}\r\nResponse-Seal: s\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string trailer_field = "X: " + filler + "\r\n";

const std::vector<std::pair<std::string, faulty_message>>& faulty_replicas()
{
    static const std::vector<std::pair<std::string, faulty_message>> all{
        {"trailer",
         {answer_head + chunked + "4\r\nbody\r\n0\r\n", trailer_field, faulty_peers::without_end}},
        {"extension", {answer_head + chunked + "4;x=", filler, faulty_peers::without_end}},
        {"chunks",
         {answer_head + chunked, "8000\r\n" + filler + "\r\n", faulty_peers::without_end}},
        {"unending", {answer_head + "\r\n", filler, faulty_peers::without_end}},
        {"interim", {"", "HTTP/1.1 103 X\r\n\r\n", faulty_peers::without_end}},
    };
    return all;
}

std::string head(const std::string& method, const std::string& path)
{
    return fmt::format("{} /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {{}}\r\n"
                       "Deadline-Ms: {}\r\n",
                       method, path, std::chrono::milliseconds{request_deadline}.count());
}

scripted_response answer_of_size(const received_request& to, std::size_t bytes)
{
    return make_response(200, "Request-Id: " + to.field("Request-Id") + "\r\nResponse-Seal: s\r\n",
                         std::string(bytes, 'b'));
}

// What the sound callers of one host have got. Thread safe.
struct sound_counts {
    std::atomic<std::size_t> sent{0};
    std::atomic<std::size_t> served{0};
    std::atomic<std::size_t> refused{0};
    std::atomic<std::size_t> unanswered{0};
    std::atomic<std::size_t> not_ready{0};
};

// Requests from callers that do as they should, and readiness checks. Thread safe.
class sound_requests {
public:
    sound_requests(const http::address& callers, const http::address& readiness)
        : m_callers{boost::asio::ip::make_address(callers.ip), callers.port},
          m_readiness{boost::asio::ip::make_address(readiness.ip), readiness.port}
    {
        for (std::size_t index = 0; index < sound_callers; ++index) {
            boost::asio::co_spawn(m_context, send(index % 2 == 0), boost::asio::detached);
        }
        boost::asio::co_spawn(m_context, check_readiness(), boost::asio::detached);
        m_thread = std::thread{[this] { m_context.run(); }};
    }
    ~sound_requests()
    {
        m_context.stop();
        m_thread.join();
    }

    const sound_counts& counts() const noexcept { return m_counts; }

private:
    using task = boost::asio::awaitable<void>;

    task send(bool keeps)
    {
        tcp::socket socket{m_context};
        for (;;) {
            ++m_counts.sent;
            const auto status =
                co_await ask(socket, m_callers,
                             fmt::format(fmt::runtime(head("GET", "safe") + "\r\n"),
                                         fmt::format("sound-{}", m_counts.sent.load())));
            m_counts.served += status == 200 ? 1 : 0;
            m_counts.refused += status != 200 && status != 0 ? 1 : 0;
            m_counts.unanswered += status == 0 ? 1 : 0;
            if (!keeps || status != 200) {
                socket = tcp::socket{m_context};
            }
            co_await pause(request_interval);
        }
    }

    task check_readiness()
    {
        constexpr auto check_interval = 200ms;
        for (;;) {
            tcp::socket socket{m_context};
            const auto status = co_await ask(socket, m_readiness, "GET /-/ready HTTP/1.1\r\n\r\n");
            m_counts.not_ready += status == 200 ? 0 : 1;
            co_await pause(check_interval);
        }
    }

    task pause(std::chrono::milliseconds time)
    {
        boost::asio::steady_timer timer{m_context, time};
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    // Returns the status of a whole answer; 0 if there is none within the deadline.
    boost::asio::awaitable<unsigned> ask(tcp::socket& socket, const tcp::endpoint& to,
                                         const std::string& bytes)
    {
        boost::asio::steady_timer timer{m_context, request_deadline};
        timer.async_wait([&socket](boost::system::error_code error) {
            if (!error) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
        try {
            if (!socket.is_open()) {
                co_await socket.async_connect(to, boost::asio::use_awaitable);
            }
            co_await boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                              boost::asio::use_awaitable);
            message_reader reader{message_kind::response, {}};
            std::string input;
            std::array<char, 8192> buffer{};
            while (!reader.complete() && reader.problem() == transport::parse_problem::none) {
                const auto count = co_await socket.async_read_some(boost::asio::buffer(buffer),
                                                                   boost::asio::use_awaitable);
                input.append(buffer.data(), count);
                input.erase(0, reader.feed(input));
                reader.take_body();
            }
            co_return reader.complete() ? reader.head().status : 0;
        }
        catch (const boost::system::system_error&) {
            co_return 0;
        }
    }

    boost::asio::io_context m_context;
    tcp::endpoint m_callers;
    tcp::endpoint m_readiness;
    sound_counts m_counts;
    std::thread m_thread;
};

// A pipe in the file system with an end that is open for reading, and is never read.
class unread_pipe {
public:
    explicit unread_pipe(const std::filesystem::path& at)
    {
        constexpr mode_t mode = 0600;
        std::filesystem::remove(at);
        if (::mkfifo(at.c_str(), mode) != 0) {
            throw std::system_error{errno, std::system_category(), at.string()};
        }
        m_descriptor = ::open(at.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        if (m_descriptor < 0 || ::fcntl(m_descriptor, F_SETPIPE_SZ, log_pipe_bytes) < 0) {
            throw std::system_error{errno, std::system_category(), at.string()};
        }
    }
    ~unread_pipe() { ::close(m_descriptor); }
    unread_pipe(const unread_pipe&) = delete;
    unread_pipe& operator=(const unread_pipe&) = delete;

private:
    int m_descriptor = -1;
};

} // namespace

// A host process and what it has used at most.
class faulty_peer_soak::limited_host {
public:
    limited_host(const soak_options& options, std::string name, std::string ip,
                 const http::address& store, bool has_unread_log)
        : m_name{std::move(name)}, m_ip{std::move(ip)}
    {
        constexpr std::uint16_t peer_port = 17'380;
        const auto settings = options.folder / (m_name + ".toml");
        const auto log = options.folder / (m_name + ".log");
        std::ofstream{settings} << fmt::format(
            "node-name = \"{}\"\nip = \"{}\"\nzone = \"z1\"\ninternal-ports = [{},{}]\n"
            "[listen]\nfront = \"{}\"\nready = \"{}\"\n[limits]\nmemory-mb = {}\nmax-fds = {}\n"
            "[bounds]\ngrace-s = {}\n[platform]\naddress = \"{}\"\n",
            m_name, m_ip, peer_port, peer_port + 1, http::to_string(callers()),
            http::to_string(readiness()), max_memory_mb, max_descriptors, grace.count(),
            http::to_string(store));
        if (has_unread_log) {
            m_log.emplace(log);
        }
        m_process.emplace(options.host_program,
                          std::vector<std::string>{"--settings", settings.string()}, log.string());
    }

    const std::string& name() const noexcept { return m_name; }
    http::address callers() const { return {m_ip, 18'149}; }
    http::address readiness() const { return {m_ip, 18'141}; }
    scenario::child_process& process() { return *m_process; }
    std::size_t peak_kb() const noexcept { return m_peak_kb; }
    std::size_t resident_kb() const noexcept { return m_resident_kb; }
    std::size_t peak_descriptors() const noexcept { return m_peak_descriptors; }

    // Returns whether the program has come so far that SIGHUP does not end it by default.
    bool expects_sighup() const
    {
        constexpr std::uint64_t sighup_bit = 1;
        return ((status_field("SigBlk:", 16) | status_field("SigIgn:", 16) |
                 status_field("SigCgt:", 16)) &
                sighup_bit) != 0;
    }

    void sample()
    {
        m_peak_kb = std::max<std::size_t>(m_peak_kb, status_field("VmHWM:", 10));
        m_resident_kb = status_field("VmRSS:", 10);
        std::error_code error;
        const std::filesystem::directory_iterator open{directory() / "fd", error};
        m_peak_descriptors = std::max(
            m_peak_descriptors,
            static_cast<std::size_t>(std::distance(open, std::filesystem::directory_iterator{})));
    }

private:
    std::filesystem::path directory() const
    {
        return std::filesystem::path{"/proc"} / std::to_string(m_process->pid());
    }

    std::uint64_t status_field(const std::string& name, int base) const
    {
        std::ifstream file{directory() / "status"};
        std::string word;
        while (file >> word) {
            if (word == name && file >> word) {
                return std::stoull(word, nullptr, base);
            }
        }
        return 0;
    }

    std::string m_name;
    std::string m_ip;
    std::optional<unread_pipe> m_log;
    std::optional<scenario::child_process> m_process;
    std::size_t m_peak_kb = 0;
    std::size_t m_resident_kb = 0;
    std::size_t m_peak_descriptors = 0;
};

faulty_peer_soak::faulty_peer_soak(soak_options options)
    : m_options{std::move(options)}, m_random{m_options.seed}
{
}

void faulty_peer_soak::violated(const std::string& text)
{
    m_result.violations.push_back(text);
}

void faulty_peer_soak::publish(const http::address& small, const http::address& large)
{
    std::string routes;
    std::string services;
    const auto add = [&](const std::string& name, const http::address& at) {
        routes += fmt::format(
            R"({}{{"name":"{}","host":"h.example","path-prefix":"/{}/","kind":"safe",)"
            R"("timeout-ms":5000,"target-latency-ms":500,"max-attempts":2,"service":"{}"}})",
            routes.empty() ? "" : ",", name, name, name);
        services +=
            fmt::format(R"({}{{"name":"{}","max-conns":64}})", services.empty() ? "" : ",", name);
        m_store.put("keyed.servers", "i-" + name,
                    fmt::format(R"({{"service":"{}","address":"{}","zone":"z1","version":"v1",)"
                                R"("slots":64,"state":"ready","cold-left-ms":0,"sequence":1,)"
                                R"("born":1}})",
                                name, http::to_string(at)));
    };
    add("safe", small);
    add("large", large);
    for (const auto& [name, message] : faulty_replicas()) {
        add(name, m_peers.add_replica(message));
    }
    m_store.put("keyed.op", "config",
                fmt::format(R"({{"version":1,"routes":[{}],"services":[{}],"limits":)"
                            R"({{"max-header-bytes":16384,"max-body-bytes":{},)"
                            R"("header-timeout-ms":5000,"idle-timeout-ms":60000}}}})",
                            routes, services, max_body_bytes));
}

void faulty_peer_soak::add_faulty_callers(const limited_host& to)
{
    const auto add = [&](const std::string& name, const faulty_message& message,
                         std::size_t count = callers_of_each_kind) {
        if (m_options.only_party.empty() || m_options.only_party == name) {
            m_peers.add_callers(to.callers(), message, count);
        }
    };
    for (const auto& [name, message] : faulty_replicas()) {
        add("replica-" + name, {head("GET", name) + "\r\n"});
    }
    const auto post = head("POST", "safe");
    add("caller-extension", {post + chunked + "4;x=", filler, faulty_peers::without_end});
    add("caller-trailer",
        {post + chunked + "4\r\nbody\r\n0\r\n", trailer_field, faulty_peers::without_end});
    add("caller-part-of-body", {post + fmt::format("Content-Length: {}\r\n\r\n", max_body_bytes),
                                filler, max_body_bytes / filler.size() - 1});
    add("caller-unread",
        {"", fmt::format(fmt::runtime(head("GET", "large") + "\r\n"), "unread"), 20, false});
    // One connection is enough to ask for more than a host may hold.
    constexpr std::size_t pipelined = 400;
    std::string requests;
    for (std::size_t index = 0; index < pipelined; ++index) {
        requests += fmt::format(fmt::runtime(head("GET", "large") + "\r\n"),
                                fmt::format("pipelined-{}", index));
    }
    add("caller-pipelined", {requests, "", 0, false}, 1);
    add("caller-part-of-head", {"GET /safe/x HTTP/1.1\r\nHost: h"}, callers_with_part_of_head);
}

soak_result faulty_peer_soak::run()
{
    const stall_meter stalls;
    // A server of its own for large answers, since it waits for those that do not read.
    scripted_server small{[](const received_request& each) { return answer_of_size(each, 100); }};
    scripted_server large{
        [](const received_request& each) { return answer_of_size(each, large_answer_bytes); }};
    publish(small.address(), large.address());
    address_range addresses;
    std::deque<limited_host> hosts;
    hosts.emplace_back(m_options, "logged", addresses.next(), m_store.address(), false);
    hosts.emplace_back(m_options, "unread", addresses.next(), m_store.address(), true);
    const auto begin = soak_clock::now();
    const auto is_ready = [](limited_host& each) {
        try {
            return caller{each.readiness()}.ask("GET /-/ready HTTP/1.1\r\n\r\n").status == 200;
        }
        catch (const boost::system::system_error&) {
            return false;
        }
    };
    for (auto& each : hosts) {
        while (!each.process().poll() && !is_ready(each) &&
               soak_clock::now() - begin < longest_start) {
            if (each.expects_sighup()) {
                each.process().signal(SIGHUP);
            }
        }
    }
    std::vector<std::unique_ptr<sound_requests>> callers;
    for (auto& each : hosts) {
        callers.push_back(std::make_unique<sound_requests>(each.callers(), each.readiness()));
        add_faulty_callers(each);
    }
    const auto loaded_at = soak_clock::now();
    while (soak_clock::now() - loaded_at < m_options.time) {
        std::this_thread::sleep_for(sample_interval);
        for (auto& each : hosts) {
            if (each.process().poll()) {
                continue;
            }
            each.sample();
            each.process().signal(SIGHUP);
            if (each.resident_kb() > given_up_at_mb * kb_per_mb) {
                violated(fmt::format("{} was ended by the soak at {} kB", each.name(),
                                     each.resident_kb()));
                each.process().signal(SIGKILL);
            }
        }
    }
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        auto& host = hosts[index];
        const auto& counts = callers[index]->counts();
        m_result.checks += counts.sent;
        const auto text = fmt::format(
            "{} peak_kb={} peak_descriptors={} sound={} served={} refused={} unanswered={} "
            "not_ready={}",
            host.name(), host.peak_kb(), host.peak_descriptors(), counts.sent.load(),
            counts.served.load(), counts.refused.load(), counts.unanswered.load(),
            counts.not_ready.load());
        m_result.steps.push_back(text);
        if (host.process().poll()) {
            violated(fmt::format("ENDED: with status {}: {}", *host.process().poll(), text));
        }
        if (static_cast<double>(host.peak_kb()) > max_memory_share * max_memory_mb * kb_per_mb) {
            violated("MEMORY: " + text);
        }
        if (host.peak_descriptors() > max_descriptors) {
            violated("DESCRIPTORS: " + text);
        }
        if (counts.sent == 0 || counts.unanswered + counts.refused > 0) {
            violated("LOST: " + text);
        }
        if (counts.not_ready > 0) {
            violated("READINESS: " + text);
        }
    }
    callers.clear();
    for (auto& each : hosts) {
        each.process().signal(SIGTERM);
    }
    for (auto& each : hosts) {
        if (!each.process().wait(grace + slack_after_grace)) {
            violated(each.name() + " is still there after its grace time");
        }
    }
    m_result.longest_stall = stalls.longest();
    return m_result;
}

} // namespace cicadaport::platform::testing
