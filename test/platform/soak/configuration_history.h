// The configuration versions that an operator has published, from which the responses that a
// host may give for a route at a time follow.
//
// Version N has the routes /aK/ of the last versions K up to N, and a route /moved/ whose
// service depends on N. All versions have the routes /safe/, /once/, /stream/ and /generate/, of
// which only the requests of the first may be repeated, and /prompt/. Thread safe.
#pragma once

#include "platform/stand_ins.h"

#include <fmt/format.h>

#include <mutex>
#include <string>
#include <vector>

namespace cicadaport::platform::testing {

class configuration_history {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // How many versions' routes each version has: more than are published within the time in
    // which a version must be in force, and fewer than are published in a short run.
    static constexpr std::size_t kept = 20;

    static std::string service_of(std::size_t version) { return version % 2 == 0 ? "t" : "s"; }

    // Adds services, each after a comma, to all versions. To be called before the first one.
    void add_services(std::string services) { m_more_services = std::move(services); }

    // Puts the newest version into the store again.
    void write_again(standin_store& store, std::size_t padding) const
    {
        store.put("keyed.op", "config", document(sent(), padding));
    }

    // Puts the next version into the store, enlarged by `padding` bytes.
    void publish(standin_store& store, std::size_t padding)
    {
        std::size_t version = 0;
        {
            const std::lock_guard lock{m_mutex};
            version = ++m_sent;
        }
        store.put("keyed.op", "config", document(version, padding));
        const std::lock_guard lock{m_mutex};
        m_acknowledged.push_back(std::chrono::steady_clock::now());
    }

    // Returns the newest version that was acknowledged by `at`; 0 if there is none.
    std::size_t acknowledged(time_point at) const
    {
        const std::lock_guard lock{m_mutex};
        return static_cast<std::size_t>(
            std::upper_bound(m_acknowledged.begin(), m_acknowledged.end(), at) -
            m_acknowledged.begin());
    }

    time_point acknowledged_at(std::size_t version) const
    {
        const std::lock_guard lock{m_mutex};
        return m_acknowledged.at(version - 1);
    }

    // Returns the newest version that was sent to the store; no host can know a newer one.
    std::size_t sent() const
    {
        const std::lock_guard lock{m_mutex};
        return m_sent;
    }

private:
    std::string document(std::size_t version, std::size_t padding) const
    {
        std::string routes;
        const auto add = [&](const std::string& name, const std::string& service) {
            routes += fmt::format(
                R"({}{{"name":"{}","host":"h.example","path-prefix":"/{}/","kind":"safe",)"
                R"("timeout-ms":2000,"target-latency-ms":500,"max-attempts":3,"service":"{}"}})",
                routes.empty() ? "" : ",", name, name, service);
        };
        for (auto each = version > kept ? version - kept + 1 : 1; each <= version; ++each) {
            add(fmt::format("a{}", each), "s");
        }
        add("moved", service_of(version));
        for (const auto& [name, kind] :
             {std::pair{"safe", "safe"}, {"once", "unsafe"}, {"stream", "streaming"}}) {
            routes += fmt::format(
                R"(,{{"name":"{}","host":"h.example","path-prefix":"/{}/","kind":"{}",)"
                R"("timeout-ms":10000,"target-latency-ms":500,"max-attempts":3,"service":"w"}})",
                name, name, kind);
        }
        routes += R"(,{"name":"generate","host":"h.example","path-prefix":"/generate/",)"
                  R"("kind":"streaming","timeout-ms":10000,"target-latency-ms":500,)"
                  R"("max-attempts":3,"sticky":true,"service":"g"})";
        routes += R"(,{"name":"prompt","host":"h.example","path-prefix":"/prompt/",)"
                  R"("kind":"streaming","timeout-ms":2000,"target-latency-ms":500,)"
                  R"("max-attempts":2,"resumable":true,"sticky":true,"service":"e"})";
        return fmt::format(
            R"({{"version":{},"padding":"{}","routes":[{}],)"
            R"("services":[{{"name":"s","max-conns":64}},{{"name":"t","max-conns":64}},)"
            R"({{"name":"w","max-conns":64}},)"
            R"({{"name":"g","max-conns":640,"engine":{{"slots":64,"token-kv-bytes":1000,)"
            R"("link-mbps":1000}}}},)"
            R"({{"name":"e","max-conns":640,"engine":{{"slots":64,"token-kv-bytes":1000,)"
            R"("link-mbps":1000}}}}{}],)"
            R"("limits":{{"idle-timeout-ms":60000}}}})",
            version, std::string(padding, 'x'), routes, m_more_services);
    }

    mutable std::mutex m_mutex;
    std::size_t m_sent = 0;
    std::vector<time_point> m_acknowledged;
    std::string m_more_services;
};

} // namespace cicadaport::platform::testing
