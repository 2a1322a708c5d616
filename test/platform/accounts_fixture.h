// A test fixture of a host whose configuration has accounts.
#pragma once

#include "relay_fixture.h"

#include <mutex>

namespace cicadaport::platform::testing {

class accounts_test_base : public relaying_host_test {
protected:
    using json = nlohmann::json;

    void SetUp() override
    {
        relaying_host_test::SetUp();
        settings.max_apply_delay = 400ms;
        settings.attempts.ratio = 2;
        m_base = json::parse(store.newest(std::string{configuration_topic}, "config"));
        for (auto& each : m_base["routes"]) {
            // A route for anonymous callers.
            if (each["name"] == "v1") {
                each["allow-anonymous"] = true;
            }
            each["priority"] = 1;
        }
    }

    static json account(const std::string& name, const std::vector<std::string>& keys)
    {
        return {{"name", name}, {"api-keys", keys}, {"priority", 0}};
    }

    // Publishes the next version, with these accounts.
    void publish_accounts(const std::vector<json>& tenants)
    {
        auto next = m_base;
        next["version"] = ++m_version;
        next["tenants"] = tenants;
        store.put(std::string{configuration_topic}, "config", next.dump());
    }

    // Publishes the next version, without accounts.
    void publish_without_accounts()
    {
        auto next = m_base;
        next["version"] = ++m_version;
        store.put(std::string{configuration_topic}, "config", next.dump());
    }

    static std::string with_key(const std::string& key)
    {
        return "Authorization: Bearer " + key + "\r\n";
    }

    // Returns the status of a request with this key to the route `safe`.
    unsigned status_of(const std::string& key)
    {
        return ask(request("GET", "/safe/x", "s" + std::to_string(++m_asked), with_key(key)))
            .status;
    }

    // Waits until a request with the key gets the status.
    bool becomes(const std::string& key, unsigned status)
    {
        return eventually([&] { return status_of(key) == status; });
    }

    // Returns the requests with this id that the replica has received.
    static std::vector<received_request> received(const scripted_server& at, const std::string& id)
    {
        auto all = at.requests();
        std::erase_if(all, [&](const auto& each) { return each.field("Request-Id") != id; });
        return all;
    }

    // Guards against UNASKED: a replica that gets a key, or another account than expected.
    static void expect_account(const scripted_server& at, const std::string& id,
                               const std::string& name)
    {
        const auto all = received(at, id);
        ASSERT_FALSE(all.empty()) << id;
        for (const auto& each : all) {
            EXPECT_EQ(each.field("Tenant"), name) << id;
            EXPECT_FALSE(each.head.fields.find("Authorization")) << id;
            EXPECT_FALSE(each.head.fields.find("Tenant-Determined")) << id;
        }
    }

private:
    json m_base;
    int m_version = 1;
    int m_asked = 0;
};

} // namespace cicadaport::platform::testing
