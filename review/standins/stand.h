// Stand-ins of the platform for the scripts of this review: the store, replicas, a client and the
// control of host processes. They speak what the platform's pages say and behave soundly unless a
// script tells them otherwise. Plain sockets and threads; no library is needed.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline clock::time_point started = clock::now();
inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

inline double now_s()
{
    return std::chrono::duration<double>(clock::now() - started).count();
}

// Writes one line to the record of the script.
inline void note(const char* format, ...)
{
    const std::lock_guard lock{record_mutex};
    if (record_file == nullptr) {
        return;
    }
    std::fprintf(record_file, "%9.3f  ", now_s());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

// Ends the script as one that could not run.
[[noreturn]] inline void cannot_run(const std::string& reason);

inline void sleep_ms(long count)
{
    std::this_thread::sleep_for(ms{count});
}

// Fields of a message, with names in lower case.
using fields = std::multimap<std::string, std::string>;

struct message {
    // The request line or status line.
    std::string first;
    fields head;
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = head.find(name);
        return found == head.end() ? std::string{} : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    int status() const { return std::atoi(first.c_str() + 9); }
};

// The way of all bytes to one machine: a link that carries so many bits a second, with the headers
// of Ethernet, IP and TCP. Those who send over it take turns by segment.
class net_link {
public:
    static constexpr std::size_t segment = 1'448;
    static constexpr std::size_t overhead = 90;

    explicit net_link(double bits_per_s) : m_bits_per_s{bits_per_s} {}

    // Returns when the segment has passed.
    void pass(std::size_t size)
    {
        clock::time_point until;
        {
            const std::lock_guard lock{m_mutex};
            m_free_at = std::max(m_free_at, clock::now()) +
                        std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(
                            static_cast<double>(size + overhead) * 8 / m_bits_per_s));
            until = m_free_at;
        }
        std::this_thread::sleep_until(until);
    }

private:
    double m_bits_per_s;
    std::mutex m_mutex;
    clock::time_point m_free_at{};
};

// A connected socket with a read buffer.
class channel {
public:
    explicit channel(int descriptor) : m_descriptor{descriptor}
    {
        const int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~channel() { close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    void close()
    {
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }
    // Closes the channel with a reset.
    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

    // Sends all bytes, over a link if one is given.
    bool send(const std::string& bytes, net_link* over = nullptr)
    {
        for (std::size_t at = 0; at < bytes.size();) {
            const auto size =
                over != nullptr ? std::min(net_link::segment, bytes.size() - at) : bytes.size() - at;
            if (over != nullptr) {
                over->pass(size);
            }
            const auto count = ::send(m_descriptor, bytes.data() + at, size, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            at += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads one message; nothing if the channel ends first or the time is over.
    std::optional<message> read(ms limit = ms{60'000})
    {
        const auto until = clock::now() + limit;
        message out;
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        parse_head(out, m_input.substr(0, end));
        m_input.erase(0, end + 4);
        if (out.field("transfer-encoding") == "chunked") {
            return read_chunks(out, until) ? std::optional{out} : std::nullopt;
        }
        const auto length = static_cast<std::size_t>(std::atoll(out.field("content-length").c_str()));
        while (m_input.size() < length) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        out.body = m_input.substr(0, length);
        m_input.erase(0, length);
        return out;
    }

    // Returns whether the peer has closed the channel or bytes have arrived.
    bool has_event() const
    {
        pollfd waiting{m_descriptor, POLLIN, 0};
        return ::poll(&waiting, 1, 0) > 0;
    }
    // The body received so far of a message that was cut off.
    const std::string& partial() const { return m_partial; }

private:
    static void parse_head(message& into, const std::string& text)
    {
        std::size_t begin = 0;
        while (begin <= text.size()) {
            const auto end = std::min(text.find("\r\n", begin), text.size());
            const auto line = text.substr(begin, end - begin);
            begin = end + 2;
            if (into.first.empty()) {
                into.first = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            into.head.emplace(name, value == std::string::npos ? "" : line.substr(value));
        }
    }

    bool read_chunks(message& into, clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_input.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    m_partial = into.body;
                    return false;
                }
            }
            const auto size = std::strtoul(m_input.c_str(), nullptr, 16);
            while (m_input.size() < end + 2 + size + 2) {
                if (!fill(until)) {
                    m_partial = into.body;
                    return false;
                }
            }
            into.body += m_input.substr(end + 2, size);
            m_input.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    bool fill(clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<ms>(until - clock::now()).count();
        pollfd waiting{m_descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char buffer[65536];
        const auto count = ::recv(m_descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return false;
        }
        m_input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_input;
    std::string m_partial;
};

inline sockaddr_in to_socket_address(const std::string& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

// Accepts channels on a free port of a loopback address and serves each on a thread of its own.
class server {
public:
    explicit server(const std::string& ip, std::function<void(channel&)> serve, int port = 0)
        : m_ip{ip}, m_serve{std::move(serve)}
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = to_socket_address(ip, port);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(m_listener, 512) != 0) {
            cannot_run("no port for a stand-in");
        }
        socklen_t size = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread{[this] { accept(); }}.detach();
    }

    int port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    // New channels are reset while this is set.
    std::atomic<bool> resets{false};

private:
    void accept()
    {
        for (;;) {
            const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            std::thread{[this, accepted] {
                channel through{accepted};
                if (resets) {
                    through.reset();
                    return;
                }
                m_serve(through);
            }}.detach();
        }
    }

    std::string m_ip;
    std::function<void(channel&)> m_serve;
    int m_listener = -1;
    int m_port = 0;
};

inline std::string response(int status, const std::string& head, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + head +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: a log with topics of one partition.
class store {
public:
    // The store as one host sees it: over the host's link, and it can turn the host away.
    class entrance {
    public:
        entrance(store& of, net_link& over)
            : m_store{of}, m_link{over},
              m_server{"127.0.0.1", [this](channel& through) { serve(through); }}
        {
        }
        std::string address() const { return m_server.address(); }
        // Turns the host away with resets, or serves it again.
        void turn_away(bool away)
        {
            m_away = away;
            m_server.resets = away;
        }

    private:
        void serve(channel& through)
        {
            while (const auto request = through.read(ms{600'000})) {
                if (m_away) {
                    through.reset();
                    return;
                }
                sleep_ms(4);
                if (!through.send(m_store.answer(*request), &m_link)) {
                    return;
                }
            }
        }

        store& m_store;
        net_link& m_link;
        std::atomic<bool> m_away{false};
        server m_server;
    };

    // Appends a record; returns its offset. This is the acknowledgement.
    std::size_t put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock{m_mutex};
        m_topics[topic].push_back({key, value});
        return m_topics[topic].size() - 1;
    }

private:
    struct entry {
        std::string key;
        std::string value;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        auto at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos) {
            return {};
        }
        const auto begin = at + name.size() + 2;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string out;
        while (bytes-- > 0) {
            out += static_cast<char>((value >> (8 * bytes)) & 0xff);
        }
        return out;
    }

    static std::string base64(const std::string& bytes)
    {
        static const char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t index = at; index < at + 3; ++index) {
                group = (group << 8) |
                        (index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U);
            }
            for (std::size_t index = 0; index < 4; ++index) {
                out += at + index <= bytes.size() ? digits[(group >> (18 - 6 * index)) & 63] : '=';
            }
        }
        return out;
    }

    std::string answer(const message& request)
    {
        const std::lock_guard lock{m_mutex};
        const auto target = request.target();
        const auto topic = parameter(target, "topic");
        const bool keyed = topic.rfind("keyed.", 0) == 0;
        auto& records = m_topics[topic];
        if (request.path() == "/-/log-newest") {
            std::map<std::string, std::size_t> newest;
            for (std::size_t offset = 0; offset < records.size(); ++offset) {
                newest[records[offset].key] = offset;
            }
            std::string items;
            for (const auto& [key, offset] : newest) {
                if (!records[offset].value.empty()) {
                    items += std::string{items.empty() ? "" : ","} + "{\"key\":\"" + key +
                             "\",\"value\":\"" + base64(records[offset].value) +
                             "\",\"offset\":" + std::to_string(offset) + "}";
                }
            }
            return response(200, "Content-Type: application/json\r\n",
                            "{\"items\":[" + items +
                                "],\"more\":false,\"end\":" + std::to_string(records.size()) + "}");
        }
        if (request.path() == "/-/log-read") {
            // At most 1,024 KB, as where the call names no `max-kb`; one record at least.
            constexpr std::size_t most = 1'024 * 1'024;
            std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
            for (auto offset = static_cast<std::size_t>(std::atoll(parameter(target, "from").c_str()));
                 offset < records.size(); ++offset) {
                const auto& each = records[offset];
                const auto raw = keyed ? std::string(1, static_cast<char>(each.key.size())) +
                                             each.key + each.value
                                       : each.value;
                if (body.size() > 16 && body.size() + 4 + raw.size() > most) {
                    break;
                }
                body += big_endian(raw.size(), 4) + raw;
            }
            return response(200, "", body);
        }
        const auto at = parameter(target, "at");
        if (!at.empty() && static_cast<std::size_t>(std::atoll(at.c_str())) != records.size()) {
            return response(412, "", "{\"end\":" + std::to_string(records.size()) + "}");
        }
        const auto first = records.size();
        for (std::size_t begin = 0; begin + 4 <= request.body.size();) {
            std::size_t size = 0;
            for (int index = 0; index < 4; ++index) {
                size = size << 8 | static_cast<unsigned char>(request.body[begin++]);
            }
            const auto raw = request.body.substr(begin, size);
            begin += size;
            const std::size_t key = keyed && !raw.empty() ? static_cast<unsigned char>(raw[0]) : 0;
            records.push_back(keyed ? entry{raw.substr(1, key), raw.substr(1 + key)} : entry{"", raw});
        }
        return response(200, "Content-Type: application/json\r\n",
                        "{\"offset\":" + std::to_string(first) +
                            ",\"end\":" + std::to_string(records.size()) + "}");
    }

    std::mutex m_mutex;
    std::map<std::string, std::vector<entry>> m_topics;
};

// One host process, started with the command of the deploy file.
class host {
public:
    host(std::string name, std::string ip, std::string store_address, std::string folder,
         std::vector<std::string> seed_ips)
        : m_name{std::move(name)}, m_ip{std::move(ip)}, m_seed_ips{std::move(seed_ips)}
    {
        m_settings = folder + "/" + m_name + ".toml";
        m_log = folder + "/" + m_name + ".log";
        write_settings(store_address);
    }
    ~host() { end(); }

    void write_settings(const std::string& store_address) const
    {
        std::string seeds;
        for (const auto& each : m_seed_ips) {
            seeds += (seeds.empty() ? "\"" : ",\"") + each + ":18144\"";
        }
        std::ofstream out{m_settings};
        out << "node-name = \"" << m_name << "\"\nrole = \"host\"\nmachine-class = \"front\"\n"
            << "serves = [\"front\",\"control\"]\nip = \"" << m_ip << "\"\nzone = \"zone-a\"\n"
            << "region = \"region-a\"\ninternal-ports = [17380,17395]\nseeds = [" << seeds << "]\n"
            << "[zones]\nzone-a = \"region-a\"\n[listen]\nfront = \"" << m_ip
            << ":18149\"\nready = \"" << m_ip << ":18141\"\ncontrol = \"" << m_ip << ":18144\"\n"
            << "[bounds]\nreuse-after-s = 2\ncontact-ms = " << contact_ms
            << "\ndrain-ms = 3000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = " << apply_ms
            << "\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\n"
            << "recovery-s = 15\nrequire-fence = false\nlease-ms = 3000\n[platform]\naddress = \""
            << store_address << "\"\nform = \"log\"\nrecord-bytes = 262144\n";
    }

    static inline int contact_ms = 4'000;
    static inline int apply_ms = 3'000;

    void start()
    {
        m_process = ::fork();
        if (m_process == 0) {
            // The process does not outlive the script, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("CICADAPORT_BOOT", m_settings.c_str(), 1);
            ::execl("target/bin/cicadaport-host", "target/bin/cicadaport-host", nullptr);
            ::_exit(127);
        }
        note("%s started", m_name.c_str());
    }
    void signal(int number) { ::kill(m_process, number); }
    // Returns whether the process still runs.
    bool runs()
    {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
            m_process = -1;
        }
        return m_process > 0;
    }
    void end()
    {
        if (m_process > 0) {
            ::kill(m_process, SIGCONT);
            ::kill(m_process, SIGKILL);
            ::waitpid(std::exchange(m_process, -1), nullptr, 0);
        }
    }
    pid_t process() const { return m_process; }
    const std::string& ip() const { return m_ip; }
    const std::string& name() const { return m_name; }

private:
    std::string m_name;
    std::string m_ip;
    std::vector<std::string> m_seed_ips;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = -1;
};

inline std::vector<host*> all_hosts;

inline void end_hosts()
{
    for (auto* each : all_hosts) {
        each->end();
    }
}

[[noreturn]] inline void finish(int code)
{
    end_hosts();
    std::fflush(nullptr);
    std::_Exit(code);
}

inline void cannot_run(const std::string& reason)
{
    note("could not run: %s", reason.c_str());
    std::fprintf(stderr, "could not run: %s\n", reason.c_str());
    finish(2);
}

// Connects to a host; nothing if it does not accept within a second.
inline std::unique_ptr<channel> connect(const std::string& ip, int port)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = to_socket_address(ip, port);
    const timeval second{1, 0};
    ::setsockopt(made, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof second);
    if (::connect(made, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(made);
        return nullptr;
    }
    return std::make_unique<channel>(made);
}

inline bool is_ready(const host& which)
{
    const auto through = connect(which.ip(), 18'141);
    if (through == nullptr || !through->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
        return false;
    }
    const auto answer = through->read(ms{1'000});
    return answer && answer->status() == 200;
}

inline void wait_until_ready(const std::vector<host*>& hosts)
{
    for (int tries = 0; tries < 150; ++tries) {
        if (std::all_of(hosts.begin(), hosts.end(), [](host* each) { return is_ready(*each); })) {
            note("all hosts are ready");
            return;
        }
        sleep_ms(100);
    }
    cannot_run("the hosts did not become ready");
}

// An address range of 127.0.0.0/8 that differs between scripts that run at the same time.
inline std::string own_ip(int number)
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + id / 250 % 250) + "." + std::to_string(id % 250) + "." +
           std::to_string(number);
}

} // namespace stand
