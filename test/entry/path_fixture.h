// Runs a gateway and stand-in endpoints in the test program.
#pragma once

#include "cicadaport/base/digest.h"
#include "cicadaport/entry/gateway.h"
#include "cicadaport/standins/engine_server.h"
#include "cicadaport/standins/plain_service.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace cicadaport::entry {

// Runs a server for `Handler` on its own thread and port.
template <typename Handler>
class handler_server {
public:
    template <typename... Arguments>
    explicit handler_server(Arguments&&... arguments)
        : m_handler{m_pool.context(0), std::forward<Arguments>(arguments)...},
          m_server{std::make_unique<http::server>(
              m_pool, "127.0.0.1", 0, http::server_limits{},
              [this](std::size_t, const http::request& message, http::response_writer& writer) {
                  return m_handler.handle(message, writer);
              })},
          m_port{m_server->port()}
    {
        if constexpr (requires { m_handler.run(); }) {
            boost::asio::co_spawn(m_pool.context(0), m_handler.run(), boost::asio::detached);
        }
        m_thread = std::jthread{[this] { m_pool.run(); }};
    }
    ~handler_server() { m_pool.stop(); }
    handler_server(const handler_server&) = delete;
    handler_server& operator=(const handler_server&) = delete;

    http::address address() const { return {"127.0.0.1", m_port}; }
    const Handler& handler() const { return m_handler; }

private:
    base::io_pool m_pool{1};
    Handler m_handler;
    std::unique_ptr<http::server> m_server;
    std::uint16_t m_port;
    std::jthread m_thread;
};

// Runs one exchange on its own event loop and rethrows its error.
inline http::response exchange(const http::address& to, http::request message)
{
    boost::asio::io_context context;
    http::client sender{context};
    std::exception_ptr failure;
    http::response got;
    boost::asio::co_spawn(context, sender.exchange(to, std::move(message)),
                          [&](std::exception_ptr error, http::response reply) {
                              failure = error;
                              got = std::move(reply);
                          });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return got;
}

// A streamed response as the client received it.
struct received_response {
    unsigned status = 0;
    http::field_list fields;
    std::string body;
    // Whether the response ended properly.
    bool complete = false;

    std::vector<std::string> lines(const std::string& name) const
    {
        std::vector<std::string> out;
        std::istringstream in{body};
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with(name + ": ")) {
                out.push_back(line.substr(name.size() + 2));
            }
        }
        return out;
    }

    // Returns the concatenated text of all tokens.
    std::string text() const
    {
        std::string out;
        for (const auto& data : lines("data")) {
            const auto parsed = nlohmann::json::parse(data, nullptr, false);
            if (parsed.is_object() && parsed.contains("choices")) {
                out += parsed["choices"][0]["text"].get<std::string>();
            }
        }
        return out;
    }
};

// Reads a streamed response until it ends or `stop` returns true.
inline received_response read_answer(const http::address& to, http::request message,
                                     const std::function<bool(const received_response&)>& stop = {})
{
    boost::asio::io_context context;
    http::client sender{context};
    received_response seen;
    const auto read = [&]() -> boost::asio::awaitable<void> {
        auto answer = co_await sender.open(to, message);
        seen.status = answer.head().status;
        seen.fields = answer.head().fields;
        while (auto piece = co_await answer.next()) {
            seen.body += *piece;
            if (stop && stop(seen)) {
                co_return;
            }
        }
        seen.complete = true;
    };
    boost::asio::co_spawn(context, read(), boost::asio::detached);
    try {
        context.run();
    }
    catch (const http::exchange_error&) {
        seen.complete = false;
    }
    return seen;
}

// Runs a gateway with its server, without the rest of an entry process.
class served_gateway {
public:
    served_gateway(const std::string& configuration,
                   settings::completion_path path = settings::completion_path::resumable,
                   claims::claim_store* claims = nullptr,
                   const std::vector<std::string>& drained = {}, std::uint64_t offset = 1,
                   decision_state* decisions = nullptr)
        : m_view{std::make_unique<routing::view>(
              std::make_shared<configuration::document>(
                  configuration::parse_document(configuration, "test")),
              offset, drained, m_loads)},
          m_gateway{m_pool, m_view, m_metrics, path, claims, decisions},
          m_server{std::make_unique<http::server>(
              m_pool, "127.0.0.1", 0, http::server_limits{},
              [this](std::size_t worker, const http::request& message,
                     http::response_writer& writer) {
                  return m_gateway.handle(worker, message, writer);
              })},
          m_thread{[this] { m_pool.run(); }}
    {
    }
    ~served_gateway() { m_pool.stop(); }
    served_gateway(const served_gateway&) = delete;
    served_gateway& operator=(const served_gateway&) = delete;

    http::address address() const { return {"127.0.0.1", m_server->port()}; }
    gateway& handler() { return m_gateway; }
    http::server& server() { return *m_server; }

private:
    base::io_pool m_pool{1};
    routing::load_table m_loads;
    base::published<routing::view> m_view;
    metrics m_metrics;
    gateway m_gateway;
    std::unique_ptr<http::server> m_server;
    std::jthread m_thread;
};

// Returns a configuration with these engines and replicas of a service that has the
// routes POST /confirm (non-idempotent), POST /must (non-idempotent, key required) and
// GET /stock (idempotent).
inline std::string test_configuration(const std::vector<http::address>& engines,
                                      const std::vector<http::address>& replicas)
{
    std::string out = "priorities:\n  - name: urgent\n    rank: 0\n    least_share_percent: 40\n"
                      "    deadline_ms: 10000\n"
                      "models:\n  - name: m\n    version: \"1\"\n    weight_bytes: 1\n"
                      "    least_replicas: 1\n    expected_output_tokens: 8\n"
                      "engine_roles:\n  policy: never\n  change_price_requests: 20\n"
                      "  change_time_ms: 2000\n"
                      "callers:\n  - account: desk\n    key_sha256: " +
                      base::sha256_hex("desk-key") +
                      "\n    priority: urgent\n"
                      "  - account: other\n    key_sha256: " +
                      base::sha256_hex("other-key") +
                      "\n    priority: urgent\n"
                      "services:\n  - name: s\n    routes:\n"
                      "      - method: POST\n        path: /confirm\n        idempotent: false\n"
                      "        key: optional\n"
                      "      - method: POST\n        path: /must\n        idempotent: false\n"
                      "        key: required\n"
                      "      - method: GET\n        path: /stock\n        idempotent: true\n"
                      "        key: none\nendpoints:\n";
    const auto add = [&](const std::string& name, const std::string& kind,
                         const std::string& serves, const http::address& at) {
        out += "  - name: " + name + "\n    kind: " + kind + "\n    serves: " + serves +
               "\n    address: " + http::to_string(at) + "\n    availability_zone: a\n";
    };
    for (std::size_t i = 0; i < engines.size(); ++i) {
        add("engine-" + std::to_string(i + 1), "engine", "m", engines[i]);
    }
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        add("replica-" + std::to_string(i + 1), "service", "s", replicas[i]);
    }
    return out;
}

inline http::request caller_request(const std::string& method, const std::string& target,
                                    std::string body, const std::string& key = "desk-key")
{
    http::request out{method, target, {}, std::move(body)};
    out.fields.add("Authorization", "Bearer " + key);
    return out;
}

inline http::request streamed_completion(std::uint32_t tokens)
{
    const nlohmann::json body{
        {"model", "m"}, {"prompt", "how many sacks"}, {"stream", true}, {"max_tokens", tokens}};
    return caller_request("POST", "/v1/completions", body.dump());
}

// Injects a fault into a stand-in.
inline void inject_fault(const http::address& at, const std::string& parameters)
{
    exchange(at, {"POST", "/v1/faults?" + parameters, {}, {}});
}

// Returns the complete text of the response to `streamed_completion(tokens)`.
inline std::string expected_text(std::uint32_t tokens)
{
    std::string out;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        out += standins::engine_core::answer_token({"how", "many", "sacks"}, i);
    }
    return out;
}

} // namespace cicadaport::entry
