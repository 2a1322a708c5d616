#include "cicadaport/serving/host_process.h"

#include <boost/asio/signal_set.hpp>
#include <spdlog/spdlog.h>

#include <csignal>

namespace cicadaport::serving {
namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

// Kept free at the end of the grace time.
constexpr milliseconds grace_margin{600};
constexpr milliseconds housekeeping_interval{1'000};
// Counts are logged once in so many intervals.
constexpr unsigned tell_every = 10;
constexpr milliseconds stop_check_interval{50};
// New connections are taken until none came for so long, as the balancer may be slow to
// notice, but only so much longer: what comes late may not be answered in the grace time.
constexpr milliseconds quiet_before_close{150};
constexpr milliseconds longest_wait_for_quiet{300};
constexpr milliseconds accept_pause{20};

// Each list is read so often that a read that fails can be made good in the time
// that is allowed: in which a version must be in force, and in which a leaving
// replica must be sent nothing.
constexpr int reads_in_apply_time = 4;
constexpr int leaving_time_parts = 20;
constexpr int leaving_time_used = 8;

// Takes connections and gives them to `on_connection`.
class listener {
public:
    listener(asio::io_context& context, transport::timer_queue& timers, const http::address& at,
             std::function<void(tcp::socket)> on_connection)
        : m_timers{timers}, m_acceptor{context}, m_on_connection{std::move(on_connection)}
    {
        const tcp::endpoint address{asio::ip::make_address(at.ip), at.port};
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address{true});
        m_acceptor.bind(address);
        m_acceptor.listen();
        accept();
    }

    // Takes the connections that the system has accepted, and no more.
    void close()
    {
        if (!m_acceptor.is_open()) {
            return;
        }
        error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket{m_acceptor.get_executor()};
            m_acceptor.accept(socket, error);
            if (!error) {
                m_on_connection(std::move(socket));
            }
        }
        m_acceptor.close(error);
    }

    time_point last_accepted() const noexcept { return m_last_accepted; }

    http::address address() const
    {
        const auto at = m_acceptor.local_endpoint();
        return {at.address().to_string(), at.port()};
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (!error) {
                m_last_accepted = m_timers.now();
                m_on_connection(std::move(socket));
            }
            if (!m_acceptor.is_open()) {
                return;
            }
            if (!error) {
                accept();
                return;
            }
            spdlog::warn("accept_failed error=\"{}\"", error.message());
            m_pause = m_timers.call_at(m_timers.now() + accept_pause, [this] { accept(); });
        });
    }

    transport::timer_queue& m_timers;
    tcp::acceptor m_acceptor;
    std::function<void(tcp::socket)> m_on_connection;
    time_point m_last_accepted{};
    transport::timer_queue::handle m_pause;
};

// Answers the balancer's question whether the host is ready, on each request
// that a connection brings.
class readiness_connection final : public transport::connection_observer,
                                   public std::enable_shared_from_this<readiness_connection> {
public:
    readiness_connection(tcp::socket socket, std::function<bool()> is_ready)
        : m_connection{std::make_shared<transport::tcp_connection>(std::move(socket))},
          m_is_ready{std::move(is_ready)}
    {
    }
    ~readiness_connection() override { m_connection->close(); }

    void start()
    {
        m_self = shared_from_this();
        m_connection->set_observer(this);
        m_connection->start();
    }

private:
    void on_input() override
    {
        const auto keep = shared_from_this();
        m_connection->consume(m_reader.feed(m_connection->input()));
        if (m_reader.problem() != transport::parse_problem::none) {
            end();
        }
        else if (m_reader.complete()) {
            m_reader = fresh_reader();
            m_connection->write(m_is_ready() ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                             : "HTTP/1.1 503 Service Unavailable\r\n"
                                               "Content-Length: 0\r\n\r\n");
        }
    }

    void on_end(transport::connection_end) override { end(); }

    void end()
    {
        const auto keep = std::exchange(m_self, nullptr);
        m_connection->close();
    }

    static transport::message_reader fresh_reader()
    {
        return transport::message_reader{transport::message_kind::request, {}};
    }

    std::shared_ptr<transport::tcp_connection> m_connection;
    std::function<bool()> m_is_ready;
    transport::message_reader m_reader = fresh_reader();
    std::shared_ptr<readiness_connection> m_self;
};

} // namespace

class host_process::implementation {
public:
    implementation(settings_source source, const wire_format& wire)
        : m_source{std::move(source)}, m_settings{m_source()}, m_context{1},
          m_state{m_context, wire, m_settings.availability_zone, m_settings.attempts},
          m_configuration{m_state, m_settings.store_address, feed::configuration,
                          feed_times::within(m_settings.apply_time / reads_in_apply_time,
                                             m_settings.apply_time, m_settings.contact_time),
                          configuration_callbacks()},
          m_endpoints{
              m_state, m_settings.store_address, feed::endpoints,
              feed_times::within(m_settings.leaving_time * leaving_time_used / leaving_time_parts,
                                 m_settings.leaving_time, m_settings.contact_time),
              endpoint_callbacks()},
          m_news{m_state, m_settings.peers,
                 [this](const shared_page& page) {
                     m_configuration.take(page);
                     m_endpoints.take(page);
                 }},
          m_director{m_state, m_settings.store_address, m_settings.name}, m_signals{m_context},
          m_settings_signal{m_context, SIGHUP}
    {
        m_state.apply_time = m_settings.apply_time;
        std::signal(SIGPIPE, SIG_IGN);
        m_signals.add(SIGTERM);
        m_signals.add(SIGINT);
        m_signals.async_wait([this](error_code error, int) {
            if (!error) {
                stop();
            }
        });
        await_new_settings();
    }

    void run()
    {
        m_readiness.emplace(m_context, m_state.timers, m_settings.readiness_address,
                            [this](tcp::socket socket) {
                                std::make_shared<readiness_connection>(std::move(socket), [this] {
                                    return is_ready();
                                })->start();
                            });
        m_callers.emplace(
            m_context, m_state.timers, m_settings.caller_address, [this](tcp::socket socket) {
                std::make_shared<caller_connection>(m_state, m_connections, std::move(socket))
                    ->start();
            });
        m_configuration.start();
        m_endpoints.start();
        m_news.start();
        m_director.start();
        housekeep();
        spdlog::info("host_started name={} zone={}", m_settings.name, m_settings.availability_zone);
        m_context.run();
    }

    void post_stop()
    {
        asio::post(m_context, [this] { stop(); });
    }

    void stop()
    {
        if (m_state.is_stopping) {
            return;
        }
        m_state.is_stopping = true;
        m_stop_at = m_state.timers.now();
        spdlog::info("host_stops answering={}", answering());
        check_stop();
    }

    bool is_ready() const noexcept
    {
        return !m_state.is_stopping && m_state.deployed != nullptr && m_endpoints.has_read();
    }

private:
    feed_follower::callbacks configuration_callbacks()
    {
        const auto take = [this](const std::vector<feed_entry>& entries) {
            take_configuration(entries);
            return entries;
        };
        return {take, take};
    }

    feed_follower::callbacks endpoint_callbacks()
    {
        return {[this](const std::vector<feed_entry>& entries) {
                    std::vector<std::string> ids;
                    ids.reserve(entries.size());
                    for (const auto& each : entries) {
                        ids.push_back(each.key);
                    }
                    m_state.endpoints.keep_only(ids, m_state.timers.now());
                    take_endpoints(entries);
                    spdlog::info("endpoints_read count={} {}", m_state.endpoints.size(),
                                 to_fields(m_state.endpoints_position, m_state.timers.now()));
                },
                [this](const std::vector<feed_entry>& entries) {
                    const auto taken = take_endpoints(entries);
                    tell_changes(taken.changed);
                    return taken.of_use;
                }};
    }

    // Takes the newest of the versions; one that is older than the one in
    // force changes nothing.
    void take_configuration(const std::vector<feed_entry>& entries)
    {
        for (auto each = entries.rbegin(); each != entries.rend(); ++each) {
            auto read = m_state.wire.read_deployment(*each);
            if (read == nullptr) {
                continue;
            }
            const auto before = m_state.deployed != nullptr ? m_state.deployed->version() : 0;
            const bool newer = m_state.deployed == nullptr || read->version() > before;
            spdlog::info("{} version={} before={} record={} {}",
                         newer ? "configuration_in_force" : "configuration_passed_over",
                         read->version(), before, each->offset,
                         to_fields(m_state.configuration_position, m_state.timers.now()));
            if (newer) {
                m_state.deployed = std::move(read);
            }
            return;
        }
    }

    struct taken_endpoints {
        // What changed the host's view.
        std::vector<feed_entry> changed;
        // What may change another host's: all but reports that a replica which is
        // offered still lives. Another host may not know what this one remembers.
        std::vector<feed_entry> of_use;
    };

    taken_endpoints take_endpoints(const std::vector<feed_entry>& entries)
    {
        const auto now = m_state.timers.now();
        taken_endpoints out;
        std::vector<endpoint_report> listed;
        for (const auto& each : entries) {
            const auto report = m_state.wire.read_endpoint(each);
            const bool changed = report ? m_state.endpoints.apply(*report, now)
                                        : m_state.endpoints.remove(each.key, now);
            if (report) {
                listed.push_back(*report);
            }
            if (changed) {
                out.changed.push_back(each);
            }
            if (changed || !report || m_state.endpoints.find(each.key) == nullptr) {
                out.of_use.push_back(each);
            }
        }
        m_state.forget_dropped();
        for (const auto& each : listed) {
            m_state.note_listed(each);
        }
        return out;
    }

    void tell_changes(const std::vector<feed_entry>& changes) const
    {
        for (const auto& each : changes) {
            spdlog::info("endpoint_changed id={} offered={} record={} {}", each.key,
                         m_state.endpoints.find(each.key) != nullptr, each.offset,
                         to_fields(m_state.endpoints_position, m_state.timers.now()));
        }
    }

    void await_new_settings()
    {
        m_settings_signal.async_wait([this](error_code error, int) {
            if (!error) {
                take_new_settings();
                await_new_settings();
            }
        });
    }

    // Addresses and the availability zone stay as they were at the start.
    void take_new_settings()
    {
        try {
            const auto fresh = m_source();
            m_settings.grace_time = fresh.grace_time;
            m_settings.attempts = fresh.attempts;
            m_state.budget.set_bounds(fresh.attempts);
            m_news.set_first_ips(fresh.peers.first_ips);
            const bool moved = fresh.caller_address != m_settings.caller_address ||
                               fresh.store_address != m_settings.store_address;
            spdlog::info("settings_read again=true addresses_changed={}", moved);
        }
        catch (const std::exception& error) {
            spdlog::error("settings_unreadable error=\"{}\" effect=\"the old ones stay\"",
                          error.what());
        }
    }

    void housekeep()
    {
        m_state.connections.close_expired();
        m_state.tell_limit_uses();
        m_state.limits.forget_old(m_state.timers.now());
        m_state.fleet.forget_old(m_state.timers.now());
        if (++m_housekeepings % tell_every == 0) {
            tell_counts();
        }
        m_housekeeping = m_state.timers.call_at(m_state.timers.now() + housekeeping_interval,
                                                [this] { housekeep(); });
    }

    void tell_counts() const
    {
        const auto& counts = m_state.counts;
        spdlog::info(
            "requests answered={} refused={} failed={} cut={} callers_left={} "
            "further_attempts={} handed_over={} connections_opened={} peers={} replicas={} "
            "configuration={} configuration_age_ms={} endpoints_age_ms={} store_pages={} "
            "store_configuration_reads={} store_endpoint_reads={} store_order_reads={} "
            "store_appends={}",
            counts.answered, counts.refused, counts.failed, counts.cut, counts.callers_left,
            counts.further_attempts, counts.handed_over, m_state.connections.opened(),
            m_news.hosts_heard(), m_state.endpoints.size(),
            m_state.deployed != nullptr ? m_state.deployed->version() : 0,
            age_ms(m_state.configuration_position), age_ms(m_state.endpoints_position),
            m_state.store_calls.pages, m_state.store_calls.configuration_reads,
            m_state.store_calls.endpoint_reads, m_state.store_calls.order_reads,
            m_state.store_calls.appends);
    }

    std::int64_t age_ms(const list_position& of) const
    {
        constexpr milliseconds never{-1};
        return of.age(m_state.timers.now()).value_or(never).count();
    }

    std::size_t answering() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto& each) { return each->is_answering(); }));
    }

    void check_stop()
    {
        const auto now = m_state.timers.now();
        const auto since = now - m_stop_at;
        const bool quiet = now - m_callers->last_accepted() >= quiet_before_close ||
                           since >= m_settings.accepting_after_stop + longest_wait_for_quiet;
        if (since >= m_settings.accepting_after_stop && quiet) {
            m_callers->close();
            const auto all = m_connections;
            for (const auto& each : all) {
                each->close_if_idle();
            }
            if (m_connections.empty() || since >= m_settings.grace_time - grace_margin) {
                end();
                return;
            }
        }
        m_stop_check = m_state.timers.call_at(m_state.timers.now() + stop_check_interval,
                                              [this] { check_stop(); });
    }

    void end()
    {
        tell_counts();
        spdlog::info("host_stopped cut={}", answering());
        const auto all = m_connections;
        for (const auto& each : all) {
            each->end_now();
        }
        m_context.stop();
    }

    settings_source m_source;
    host_settings m_settings;
    asio::io_context m_context;
    host_state m_state;
    caller_set m_connections;
    feed_follower m_configuration;
    feed_follower m_endpoints;
    peer_news m_news;
    stage_director m_director;
    asio::signal_set m_signals;
    asio::signal_set m_settings_signal;
    std::optional<listener> m_readiness;
    std::optional<listener> m_callers;
    transport::timer_queue::handle m_housekeeping;
    transport::timer_queue::handle m_stop_check;
    time_point m_stop_at{};
    unsigned m_housekeepings = 0;
};

host_process::host_process(settings_source source, const wire_format& wire)
    : m_impl{std::make_unique<implementation>(std::move(source), wire)}
{
}

host_process::~host_process() = default;

void host_process::run()
{
    m_impl->run();
}

void host_process::stop()
{
    m_impl->post_stop();
}

} // namespace cicadaport::serving
