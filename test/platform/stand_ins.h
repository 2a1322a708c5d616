// Fakes of the platform's store and replicas that implement its protocol.
//
// Each fake runs an event loop on a thread of its own. Its public members may be called from
// the test's thread.
#pragma once

#include "cicadaport/http/address.h"
#include "cicadaport/http/message.h"
#include "cicadaport/transport/message_reader.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace cicadaport::platform::testing {

using boost::asio::ip::tcp;
using transport::message_head;
using transport::message_kind;
using transport::message_reader;

// One request as a fake received it.
struct received_request {
    message_head head;
    std::string body;
    // How many requests its connection had carried before.
    std::size_t earlier_on_connection = 0;

    std::string field(std::string_view name) const
    {
        return std::string{head.fields.find(name).value_or("")};
    }
    std::string path() const { return head.target.substr(0, head.target.find('?')); }
    // Returns whether the request reads records of a topic from the store.
    bool reads(const std::string& topic) const
    {
        return path() == "/-/log-read" && parameter("topic") == topic;
    }
    // Returns a parameter of the query without decoding it; empty if there is none.
    std::string parameter(const std::string& name) const
    {
        const auto at = head.target.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const auto start = at + name.size() + 1;
        return head.target.substr(start, head.target.find('&', start) - start);
    }
};

// Returns whether a replica is asked for its status.
inline bool is_status_request(const received_request& each)
{
    return each.path() == "/-/report";
}

// A fake's response to a request.
struct scripted_response {
    std::string bytes;
    // `shutdown` closes the sending side first, so that an answer has ended in an orderly way even
    // if a part of its request is left unread. `read_on` closes only that side, and reads the rest.
    enum class then { keep, close, reset, shutdown, read_on } after = then::keep;
    std::chrono::milliseconds delay{0};
    // If set, polled until it returns a response, which is then sent in place of this one.
    std::function<std::optional<scripted_response>()> later{};
    // If not empty, these bytes follow after this pause.
    std::string rest{};
    std::chrono::milliseconds pause{0};
    // If set, called once the bytes have been sent; returns what follows.
    std::function<scripted_response()> following{};
};

inline scripted_response make_response(unsigned status, const std::string& fields,
                                       const std::string& body)
{
    return {"HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

// Returns a response whose bytes are sent at a limited rate, as over a slow link.
inline scripted_response paced(scripted_response whole, std::size_t bytes_per_s)
{
    constexpr std::chrono::milliseconds interval{20};
    const auto size = bytes_per_s * interval.count() / 1'000;
    if (whole.bytes.size() <= size) {
        return whole;
    }
    auto first = whole;
    first.bytes.resize(size);
    first.after = scripted_response::then::keep;
    first.following = [rest = scripted_response{whole.bytes.substr(size), whole.after, interval},
                       bytes_per_s] { return paced(rest, bytes_per_s); };
    return first;
}

// Serves connections on loopback; `answer` is called on the server's thread.
class scripted_server {
public:
    using answer_function = std::function<scripted_response(const received_request&)>;

    explicit scripted_server(answer_function answer)
        : m_acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}}, m_answer{
                                                                                      std::move(
                                                                                          answer)}
    {
        accept();
        m_thread = std::thread{[this] { m_context.run(); }};
    }

    ~scripted_server()
    {
        m_context.stop();
        m_thread.join();
    }

    http::address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    void set_answer(answer_function answer)
    {
        const std::lock_guard lock{m_mutex};
        m_answer = std::move(answer);
    }

    // Requests are answered as soon as their head has arrived, and their bodies left unread.
    void answer_early() { m_answers_early = true; }

    std::vector<received_request> requests() const
    {
        const std::lock_guard lock{m_mutex};
        return m_requests;
    }

    // Returns the number of requests so far that meet `condition`.
    std::size_t count(const std::function<bool(const received_request&)>& condition) const
    {
        const std::lock_guard lock{m_mutex};
        return static_cast<std::size_t>(
            std::count_if(m_requests.begin(), m_requests.end(), condition));
    }

    // Returns the number of connections that the peer closed while a request was open.
    int abandoned() const { return m_abandoned; }

    // Resets all connections and refuses new ones for `time`, like a process that crashes and is
    // started again. `on_restart` is called on the server's thread.
    void crash(std::chrono::milliseconds time, std::function<void()> on_restart)
    {
        boost::asio::post(m_context, [this, time, on_restart = std::move(on_restart)] {
            if (!m_acceptor.is_open()) {
                return;
            }
            m_endpoint = m_acceptor.local_endpoint();
            m_acceptor.close();
            for (const auto& each : std::exchange(m_sessions, {})) {
                if (const auto open = each.lock()) {
                    boost::system::error_code ignored;
                    open->socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
                    open->socket.close(ignored);
                }
            }
            m_restart.expires_after(time);
            m_restart.async_wait([this, on_restart](boost::system::error_code error) {
                if (!error) {
                    listen_again();
                    accept();
                    on_restart();
                }
            });
        });
    }

private:
    struct session {
        explicit session(tcp::socket from, boost::asio::io_context& context)
            : socket{std::move(from)}, timer{context}
        {
        }
        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 8192> buffer{};
        std::string input;
        message_reader reader{message_kind::request, {}};
        std::string body;
        std::size_t requests = 0;
        bool open = false;
    };
    using session_pointer = std::shared_ptr<session>;

    // Listens at the previous address, or at another port if another process has taken that one.
    void listen_again()
    {
        tcp::acceptor again{m_context, m_endpoint.protocol()};
        boost::system::error_code taken;
        again.set_option(tcp::acceptor::reuse_address{true});
        again.bind(m_endpoint, taken);
        if (taken) {
            again.bind({m_endpoint.address(), 0});
        }
        again.listen();
        m_acceptor = std::move(again);
    }

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (!error) {
                const auto accepted = std::make_shared<session>(std::move(socket), m_context);
                std::erase_if(m_sessions, [](const auto& each) { return each.expired(); });
                m_sessions.push_back(accepted);
                read(accepted);
                accept();
            }
        });
    }

    void read(const session_pointer& from)
    {
        from->socket.async_read_some(
            boost::asio::buffer(from->buffer),
            [this, from](boost::system::error_code error, std::size_t count) {
                if (error) {
                    m_abandoned += from->open ? 1 : 0;
                    // A pending response is dropped.
                    boost::system::error_code ignored;
                    from->socket.close(ignored);
                    return;
                }
                from->input.append(from->buffer.data(), count);
                from->input.erase(0, from->reader.feed(from->input));
                from->body += from->reader.take_body();
                const bool is_early =
                    m_answers_early && from->reader.head_complete() && !from->reader.complete();
                if (from->reader.complete() || is_early) {
                    serve(from);
                }
                if (from->socket.is_open() && !is_early) {
                    read(from);
                }
            });
    }

    void serve(const session_pointer& from)
    {
        received_request request{from->reader.head(), std::exchange(from->body, {}),
                                 from->requests++};
        from->reader = message_reader{message_kind::request, {}};
        answer_function answer;
        {
            const std::lock_guard lock{m_mutex};
            m_requests.push_back(request);
            answer = m_answer;
        }
        from->open = true;
        send(from, answer(request));
    }

    void send(const session_pointer& from, const scripted_response& reply)
    {
        constexpr std::chrono::milliseconds poll_time{2};
        from->timer.expires_after(reply.later ? poll_time : reply.delay);
        from->timer.async_wait([this, from, reply](boost::system::error_code) {
            if (reply.later) {
                if (from->socket.is_open()) {
                    send(from, reply.later().value_or(reply));
                }
                return;
            }
            boost::system::error_code ignored;
            boost::asio::write(from->socket, boost::asio::buffer(reply.bytes), ignored);
            if (!reply.rest.empty()) {
                send(from, {reply.rest, reply.after, reply.pause});
                return;
            }
            if (reply.following) {
                send(from, reply.following());
                return;
            }
            from->open = reply.bytes.empty();
            if (reply.after == scripted_response::then::reset) {
                from->socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            }
            if (reply.after == scripted_response::then::shutdown ||
                reply.after == scripted_response::then::read_on) {
                from->socket.shutdown(tcp::socket::shutdown_send, ignored);
            }
            if (reply.after == scripted_response::then::read_on) {
                discard_input(from);
            }
            else if (reply.after != scripted_response::then::keep) {
                from->socket.close(ignored);
            }
        });
    }

    void discard_input(const session_pointer& from)
    {
        from->socket.async_read_some(boost::asio::buffer(from->buffer),
                                     [this, from](boost::system::error_code error, std::size_t) {
                                         if (!error) {
                                             discard_input(from);
                                         }
                                     });
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    boost::asio::steady_timer m_restart{m_context};
    std::vector<std::weak_ptr<session>> m_sessions;
    mutable std::mutex m_mutex;
    answer_function m_answer;
    std::vector<received_request> m_requests;
    std::atomic<int> m_abandoned{0};
    std::atomic<bool> m_answers_early{false};
    std::thread m_thread;
};

// A fake of the platform's store: keyed topics of one partition.
class standin_store {
    friend class store_proxy;

public:
    standin_store() : m_server{[this](const received_request& each) { return respond(each); }} {}

    http::address address() const { return m_server.address(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock{m_mutex};
        m_topics[topic].records.push_back({key, value, std::chrono::steady_clock::now()});
    }

    // Expires all records of the topic.
    void forget_history(const std::string& topic)
    {
        const std::lock_guard lock{m_mutex};
        m_topics[topic].first = m_topics[topic].records.size();
    }

    // Loses the last `count` records of a topic, as a store that returns from an older copy does.
    // Their offsets are given out again.
    void lose_records(const std::string& topic, std::size_t count)
    {
        const std::lock_guard lock{m_mutex};
        auto& records = m_topics[topic].records;
        records.resize(records.size() - std::min(count, records.size()));
    }

    // All answers state this epoch from now on; the text may be no number. Without a text they
    // state none.
    void state_epoch(std::optional<std::string> text)
    {
        const std::lock_guard lock{m_mutex};
        m_epoch_field = text ? "Store-Era: " + *text + "\r\n" : "";
    }

    // Reads from beyond the end of a topic are answered without records instead of with 410.
    void allow_reads_beyond_end(bool allowed) { m_allows_reads_beyond_end = allowed; }

    // How calls end while the store is away.
    enum class outage { none, refusing, resetting, silent };

    // Until it is set to `none`, also calls that wait for records end so.
    void set_outage(outage kind)
    {
        const std::lock_guard lock{m_mutex};
        m_outage = kind;
    }

    // Makes a copy of all topics.
    void make_copy()
    {
        const std::lock_guard lock{m_mutex};
        m_copy = m_topics;
    }

    // All topics go back to the last copy. Calls that wait for records are reset.
    void return_to_copy()
    {
        const std::lock_guard lock{m_mutex};
        ++m_returns;
        for (auto& [name, topic] : m_topics) {
            const auto copied = m_copy.find(name);
            topic = copied == m_copy.end() ? topic_log{} : copied->second;
        }
    }

    // All calls are answered with this status until it is set to 0.
    void refuse(unsigned status) { m_refusal = status; }

    // Appends are applied, but the connection is reset instead of a response.
    void lose_append_answers(bool lost) { m_lose_appends = lost; }

    // Reads that find no new records are answered without records at the end of their wait,
    // even if records are appended meanwhile.
    void miss_wakeups(bool missed) { m_miss_wakeups = missed; }

    // Records appended within this time after the start of a waiting read do not wake it.
    void miss_wakeups_after(std::chrono::milliseconds time) { m_missed_wakeup_time = time; }

    // Responses to reads are delayed by this time.
    void delay_reads(std::chrono::milliseconds time) { m_read_delay = time; }

    // Responses are sent at this rate; 0 stands for no limit.
    void limit_rate(std::size_t bytes_per_s) { m_bytes_per_s = bytes_per_s; }

    // Returns the number of reads of a topic so far.
    std::size_t reads(const std::string& topic) const
    {
        return m_server.count([&](const received_request& each) { return each.reads(topic); });
    }

    // Returns the newest value of a key; empty if there is none.
    std::string newest(const std::string& topic, const std::string& key) const
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_topics.find(topic);
        std::string out;
        if (found != m_topics.end()) {
            for (const auto& each : found->second.records) {
                out = each.key == key ? each.value : out;
            }
        }
        return out;
    }

    // Returns the keys of a topic that have a value.
    std::set<std::string> keys(const std::string& topic) const
    {
        const std::lock_guard lock{m_mutex};
        std::set<std::string> out;
        const auto found = m_topics.find(topic);
        if (found != m_topics.end()) {
            for (const auto& each : found->second.records) {
                each.value.empty() ? static_cast<void>(out.erase(each.key))
                                   : static_cast<void>(out.insert(each.key));
            }
        }
        return out;
    }

    std::size_t appended(const std::string& topic) const
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_topics.find(topic);
        return found == m_topics.end() ? 0 : found->second.records.size();
    }

private:
    struct record {
        std::string key;
        std::string value;
        std::chrono::steady_clock::time_point put_at;
    };
    struct topic_log {
        std::vector<record> records;
        std::size_t first = 0;
    };

    static std::string number(std::uint64_t value, int bytes)
    {
        std::string out;
        for (int left = bytes; left-- > 0;) {
            out += static_cast<char>((value >> (8 * left)) & 0xff);
        }
        return out;
    }

    static std::string base64(const std::string& bytes)
    {
        static constexpr char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t index = 0; index < 3; ++index) {
                group = (group << 8) |
                        (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index])
                                                   : 0U);
            }
            for (std::size_t index = 0; index < 4; ++index) {
                out += at + index <= bytes.size() ? digits[(group >> (18 - 6 * index)) & 63] : '=';
            }
        }
        return out;
    }

    scripted_response respond(const received_request& request)
    {
        auto out = answer(request);
        return m_bytes_per_s > 0 && !out.later ? paced(std::move(out), m_bytes_per_s) : out;
    }

    // An answer and the epoch that it states belong to one state of the topics.
    scripted_response answer(const received_request& request)
    {
        const std::lock_guard lock{m_mutex};
        return with_epoch(answer_without_epoch(request));
    }

    scripted_response with_epoch(scripted_response out) const
    {
        const auto end_of_status_line = out.bytes.find("\r\n");
        if (end_of_status_line != std::string::npos) {
            out.bytes.insert(end_of_status_line + 2, m_epoch_field);
        }
        return out;
    }

    scripted_response answer_without_epoch(const received_request& request)
    {
        if (m_refusal != 0) {
            return make_response(m_refusal, "", "");
        }
        if (m_outage != outage::none) {
            return answer_of_outage();
        }
        auto& topic = m_topics[request.parameter("topic")];
        if (request.path() == "/-/log-newest") {
            return newest(topic);
        }
        if (request.path() == "/-/log-read") {
            return read(topic, request);
        }
        return append(topic, request);
    }

    scripted_response answer_of_outage() const
    {
        if (m_outage == outage::refusing) {
            return make_response(503, "", "");
        }
        return {"", m_outage == outage::resetting ? scripted_response::then::reset
                                                  : scripted_response::then::keep};
    }

    static scripted_response newest(const topic_log& topic)
    {
        std::map<std::string, std::size_t> last;
        for (std::size_t offset = 0; offset < topic.records.size(); ++offset) {
            last[topic.records[offset].key] = offset;
        }
        auto items = nlohmann::json::array();
        for (const auto& [key, offset] : last) {
            if (!topic.records[offset].value.empty()) {
                items.push_back({{"key", key},
                                 {"value", base64(topic.records[offset].value)},
                                 {"offset", offset}});
            }
        }
        const nlohmann::json body{{"items", items}, {"more", false}, {"end", topic.records.size()}};
        return make_response(200, "", body.dump());
    }

    scripted_response read(const topic_log& topic, const received_request& request)
    {
        const auto from = std::stoull(request.parameter("from"));
        if (from < topic.first || (from > topic.records.size() && !m_allows_reads_beyond_end)) {
            return expired(topic);
        }
        auto out = make_response(200, "", records(topic, from));
        out.delay = m_read_delay;
        const auto wait_text = request.parameter("wait-ms");
        const std::chrono::milliseconds wait{wait_text.empty() ? 0 : std::stoll(wait_text)};
        if (wait.count() == 0 || from < topic.records.size()) {
            return out;
        }
        if (m_miss_wakeups) {
            out.delay = wait;
            return out;
        }
        const auto began = std::chrono::steady_clock::now();
        out.later = [this, &topic, from, began, wait,
                     returns = m_returns]() -> std::optional<scripted_response> {
            const std::lock_guard lock{m_mutex};
            if (m_outage != outage::none) {
                return with_epoch(answer_of_outage());
            }
            if (returns != m_returns) {
                return scripted_response{"", scripted_response::then::reset};
            }
            const bool woken = std::any_of(
                topic.records.begin() +
                    static_cast<std::ptrdiff_t>(std::min<std::size_t>(from, topic.records.size())),
                topic.records.end(), [&](const record& each) {
                    return each.put_at - began >= m_missed_wakeup_time.load();
                });
            if (from < topic.first) {
                return with_epoch(expired(topic));
            }
            if (!woken && std::chrono::steady_clock::now() - began < wait) {
                return std::nullopt;
            }
            return with_epoch(make_response(200, "", records(topic, from)));
        };
        return out;
    }

    static scripted_response expired(const topic_log& topic)
    {
        return make_response(410, "", R"({"first":)" + std::to_string(topic.first) + "}");
    }

    // Returns the body of a read's response, with as many records as fit.
    static std::string records(const topic_log& topic, std::uint64_t from)
    {
        constexpr std::size_t most_bytes = 1'024 * 1'024;
        auto out = number(topic.records.size(), 8) + number(topic.first, 8);
        for (auto offset = from; offset < topic.records.size(); ++offset) {
            const auto& each = topic.records[offset];
            const auto size = 1 + each.key.size() + each.value.size();
            if (offset > from && out.size() + size > most_bytes) {
                break;
            }
            out += number(size, 4);
            out += static_cast<char>(each.key.size());
            out += each.key + each.value;
        }
        return out;
    }

    scripted_response append(topic_log& topic, const received_request& request)
    {
        const auto at = request.parameter("at");
        if (!at.empty() && std::stoull(at) != topic.records.size()) {
            return make_response(412, "",
                                 R"({"end":)" + std::to_string(topic.records.size()) + "}");
        }
        const auto offset = topic.records.size();
        std::string_view rest{request.body};
        while (rest.size() > 4) {
            std::uint32_t length = 0;
            for (const unsigned char each : rest.substr(0, 4)) {
                length = (length << 8) | each;
            }
            const auto entry = rest.substr(4, length);
            const auto key = static_cast<unsigned char>(entry[0]);
            topic.records.push_back({std::string{entry.substr(1, key)},
                                     std::string{entry.substr(1 + key)},
                                     std::chrono::steady_clock::now()});
            rest.remove_prefix(4 + length);
        }
        if (m_lose_appends) {
            return {"", scripted_response::then::reset};
        }
        return make_response(200, "",
                             R"({"offset":)" + std::to_string(offset) + R"(,"end":)" +
                                 std::to_string(topic.records.size()) + "}");
    }

    mutable std::mutex m_mutex;
    std::map<std::string, topic_log> m_topics;
    std::map<std::string, topic_log> m_copy;
    std::size_t m_returns = 0;
    outage m_outage = outage::none;
    std::string m_epoch_field;
    std::atomic<bool> m_allows_reads_beyond_end{false};
    std::atomic<unsigned> m_refusal{0};
    std::atomic<bool> m_lose_appends{false};
    std::atomic<bool> m_miss_wakeups{false};
    std::atomic<std::size_t> m_bytes_per_s{0};
    std::atomic<std::chrono::milliseconds> m_read_delay{};
    std::atomic<std::chrono::milliseconds> m_missed_wakeup_time{};
    scripted_server m_server;
};

// A proxy through which one host reaches the store, with faults that can be switched on and off.
// Must not outlive the store.
class store_proxy {
public:
    enum class state {
        open,
        // Calls get no response, neither new calls nor pending ones.
        silent,
        // Responses are held back until the state is `open` again.
        stalled,
        // Calls are answered with status 503 and not passed to the store.
        refusing,
        // Responses come behind interim ones.
        interim,
    };

    explicit store_proxy(standin_store& store)
        : m_store{store}, m_server{[this](const received_request& each) { return answer(each); }}
    {
    }

    http::address address() const { return m_server.address(); }
    void set(state to) { m_state = to; }

    // Returns the number of reads of a topic that this proxy has received so far.
    std::size_t reads(const std::string& topic) const
    {
        return m_server.count([&](const received_request& each) { return each.reads(topic); });
    }

private:
    scripted_response answer(const received_request& request)
    {
        switch (m_state.load()) {
        case state::silent:
            return {};
        case state::refusing:
            return make_response(503, "", "");
        case state::open:
        case state::stalled:
        case state::interim:
            break;
        }
        scripted_response out;
        out.later = [this, call = std::make_shared<pending_response>(m_store.answer(request))] {
            return pass(*call);
        };
        return out;
    }

    // A response of the store that has not been forwarded yet, and when it is due.
    struct pending_response {
        explicit pending_response(scripted_response from_store) : reply{std::move(from_store)} {}

        scripted_response reply;
        std::optional<std::chrono::steady_clock::time_point> due;
    };

    std::optional<scripted_response> pass(pending_response& call)
    {
        if (call.reply.later) {
            auto there = call.reply.later();
            if (!there) {
                return std::nullopt;
            }
            call.reply = std::move(*there);
        }
        const auto now = std::chrono::steady_clock::now();
        call.due = call.due.value_or(now + call.reply.delay);
        if (now < *call.due || m_state == state::stalled) {
            return std::nullopt;
        }
        if (m_state == state::interim) {
            call.reply.bytes.insert(0, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\n\r\n");
        }
        return m_state == state::silent ? scripted_response{}
                                        : scripted_response{call.reply.bytes, call.reply.after};
    }

    standin_store& m_store;
    std::atomic<state> m_state{state::open};
    scripted_server m_server;
};

// A fake of the platform's interface for duties. It records all calls that it receives, also those
// that it does not answer.
class standin_duty_interface {
public:
    enum class state {
        accepting,
        // Calls are taken, but the connection is reset instead of a response.
        losing_answers,
        // Calls are taken and get no response.
        silent,
        // Calls are answered with status 503.
        refusing,
    };

    struct call {
        // The usage of all accounts is one subject, each service in a zone another one.
        std::string subject;
        std::string holder;
        std::uint64_t token = 0;
        std::string body;
        std::chrono::steady_clock::time_point at;
        bool accepted = false;
    };

    explicit standin_duty_interface(std::chrono::milliseconds lease)
        : m_lease{lease}, m_server{[this](const received_request& each) { return answer(each); }}
    {
    }

    http::address address() const { return m_server.address(); }
    void set(state to) { m_state = to; }

    std::vector<call> calls() const
    {
        const std::lock_guard lock{m_mutex};
        return m_calls;
    }

    // Returns the counts that were accepted, by window.
    std::map<std::uint64_t, nlohmann::json> reports() const
    {
        std::map<std::uint64_t, nlohmann::json> out;
        for (const auto& each : calls()) {
            if (each.subject == "usage" && each.accepted) {
                const auto body = nlohmann::json::parse(each.body);
                out[body.at("window-index").get<std::uint64_t>()] = body.at("counts");
            }
        }
        return out;
    }

    // Returns the rules that the calls so far have violated.
    std::vector<std::string> violations() const
    {
        std::vector<std::string> out;
        std::map<std::string, std::uint64_t> last_token;
        std::map<std::pair<std::string, std::uint64_t>, std::string> holders;
        std::map<std::string, std::string> last_holder;
        std::map<std::pair<std::string, std::string>, std::chrono::steady_clock::time_point> acted;
        std::map<std::uint64_t, nlohmann::json> counts;
        for (const auto& each : calls()) {
            const auto what = each.subject + " " + each.holder + " " + std::to_string(each.token);
            auto& token = last_token[each.subject];
            if (each.token < token) {
                out.push_back("the token falls: " + what);
            }
            token = std::max(token, each.token);
            if (holders.try_emplace({each.subject, each.token}, each.holder).first->second !=
                each.holder) {
                out.push_back("two holders of one token: " + what);
            }
            auto& holder = last_holder[each.subject];
            const auto before = acted.find({each.subject, each.holder});
            if (!holder.empty() && holder != each.holder && before != acted.end() &&
                each.at - before->second <= m_lease) {
                out.push_back("two holders in turns within a lease: " + what);
            }
            holder = each.holder;
            acted[{each.subject, each.holder}] = each.at;
            if (each.subject == "usage") {
                const auto body = nlohmann::json::parse(each.body);
                const auto window = body.at("window-index").get<std::uint64_t>();
                if (counts.try_emplace(window, body.at("counts")).first->second !=
                    body.at("counts")) {
                    out.push_back("two reports of one window: " + what);
                }
            }
        }
        return out;
    }

private:
    scripted_response answer(const received_request& request)
    {
        const auto now = m_state.load();
        call made;
        made.subject = "usage";
        if (request.path() == "/scale") {
            const auto body = nlohmann::json::parse(request.body);
            made.subject = "scale " + body.at("service").get<std::string>() + " " +
                           body.at("zone").get<std::string>();
        }
        made.holder = request.field("Duty-Holder");
        made.token = std::stoull(request.field("Fencing-Token"));
        made.body = request.body;
        made.at = std::chrono::steady_clock::now();
        made.accepted = now != state::refusing;
        {
            const std::lock_guard lock{m_mutex};
            m_calls.push_back(made);
        }
        switch (now) {
        case state::losing_answers:
            return {"", scripted_response::then::reset};
        case state::silent:
            return {};
        case state::refusing:
            return make_response(503, "", "");
        case state::accepting:
            break;
        }
        return make_response(200, "", "{}");
    }

    std::chrono::milliseconds m_lease;
    mutable std::mutex m_mutex;
    std::vector<call> m_calls;
    std::atomic<state> m_state{state::accepting};
    scripted_server m_server;
};

} // namespace cicadaport::platform::testing
