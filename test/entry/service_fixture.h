// Helpers for tests of entry processes with claims, a plain service and a log, all
// within the test program.
#pragma once

#include "cicadaport/claims/claim_store.h"
#include "cicadaport/standins/log_service.h"
#include "path_fixture.h"

namespace cicadaport::entry {

using service = handler_server<standins::plain_service>;

// The claim store of one entry process, with its own thread.
class served_claims {
public:
    explicit served_claims(const http::address& log, claims::claim_settings settings = {})
        : m_store{m_pool.context(0), log, settings}, m_thread{[this] { m_pool.run(); }}
    {
    }
    ~served_claims() { m_pool.stop(); }
    served_claims(const served_claims&) = delete;
    served_claims& operator=(const served_claims&) = delete;

    claims::claim_store* get() { return &m_store; }

private:
    base::io_pool m_pool{1};
    claims::claim_store m_store;
    std::jthread m_thread;
};

// Returns the number of calls that the service ran.
inline std::size_t run_count(const http::address& of)
{
    const auto list = exchange(of, {"GET", "/v1/runs", {}, {}});
    return nlohmann::json::parse(list.body)["runs"].size();
}

inline http::request keyed_call(const std::string& key, const std::string& body = "order 17",
                                const std::string& account = "desk-key")
{
    auto out = caller_request("POST", "/confirm", body, account);
    out.fields.add("Idempotency-Key", key);
    return out;
}

} // namespace cicadaport::entry
