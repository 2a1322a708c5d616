#include "cicadaport/operator_tool/admin_client.h"

#include <boost/asio/co_spawn.hpp>

#include <optional>

namespace cicadaport::operator_tool {
namespace asio = boost::asio;

admin_client::admin_client(std::vector<http::address> addresses, std::string key)
    : m_addresses{std::move(addresses)}, m_key{std::move(key)}, m_client{m_context}
{
}

http::response admin_client::call(const std::string& method, const std::string& path,
                                  std::string body)
{
    const auto message = make_request(method, path, std::move(body));
    std::string failures;
    for (std::size_t i = 0; i < m_addresses.size(); ++i) {
        try {
            return call_one(m_addresses[i], message);
        }
        catch (const http::exchange_error& error) {
            failures += failures.empty() ? "" : "\n";
            failures += http::to_string(m_addresses[i]) + ": " + error.what();
            const bool may_repeat = method == "GET" || error.outcome() == base::verdict::not_run;
            if (!may_repeat || i + 1 == m_addresses.size()) {
                throw http::exchange_error{error.outcome(), failures};
            }
        }
    }
    throw http::exchange_error{base::verdict::not_run, "no address given"};
}

std::vector<http::response> admin_client::ask_each(const std::string& path)
{
    const auto message = make_request("GET", path, {});
    std::vector<http::response> out;
    std::string failures;
    for (const auto& each : m_addresses) {
        try {
            out.push_back(call_one(each, message));
        }
        catch (const http::exchange_error& error) {
            failures += failures.empty() ? "" : "\n";
            failures += http::to_string(each) + ": " + error.what();
        }
    }
    if (out.empty()) {
        throw http::exchange_error{base::verdict::not_run, failures};
    }
    return out;
}

http::request admin_client::make_request(const std::string& method, const std::string& path,
                                         std::string body) const
{
    return {method,
            "/v1/admin/" + path,
            {{"Authorization", "Bearer " + m_key}, {"Content-Type", "application/json"}},
            std::move(body)};
}

http::response admin_client::call_one(const http::address& to, http::request message)
{
    std::optional<http::response> reply;
    std::exception_ptr failure;
    asio::co_spawn(m_context, m_client.exchange(to, std::move(message)),
                   [&](const std::exception_ptr& error, http::response got) {
                       failure = error;
                       reply = std::move(got);
                   });
    m_context.restart();
    m_context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return std::move(*reply);
}

} // namespace cicadaport::operator_tool
