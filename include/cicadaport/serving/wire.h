// The messages that a host exchanges with callers, endpoints and the platform's store,
// independent of how they are encoded.
//
// Each platform has an adapter that implements `wire_format`. Only the adapter knows the
// platform's names and formats.
#pragma once

#include "cicadaport/accounts/authentication.h"
#include "cicadaport/duties/scaling_view.h"
#include "cicadaport/duties/usage_ledger.h"
#include "cicadaport/history/record_digest.h"
#include "cicadaport/history/store_history.h"
#include "cicadaport/serving/deployment.h"
#include "cicadaport/serving/endpoint_table.h"
#include "cicadaport/transport/message_reader.h"

namespace cicadaport::serving {

// One segment of a prompt. An engine that keeps the KV cache of a prompt prefix does not
// prefill the same leading segments of another prompt again.
struct prompt_segment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

// What a request's head states about the request.
struct request_metadata {
    std::string id;
    // The authority to which the request is addressed, without the port.
    std::string host;
    std::string path;
    // The credentials by which the caller identifies itself; empty if it states none.
    std::string caller;
    // Time left until the caller's deadline; empty if the caller states none.
    std::optional<milliseconds> time_left;
    std::vector<prompt_segment> prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    // Set if the caller continues a stream that was interrupted: the last event that it has, and
    // the id of its request in whose answer the stream began; empty if the caller names none.
    std::optional<std::string> last_event_id;
    std::string resumed_request;
    // Set by a host that relays the request: how many replicas it may still be sent to.
    std::optional<std::uint32_t> attempts_left;
    // Set by a host that relays the request: whether that host has determined the account, and the
    // account's name; empty if the request has none. Callers can set them too, so they count only
    // in relayed requests.
    bool is_account_determined = false;
    std::string account;
};

// The KV cache entries of a prompt that one engine has prefilled for another.
struct prompt_kv_cache {
    http::address at;
    std::string handle;
};

// The options with which a host sends a request to one endpoint.
struct run_parameters {
    // The id of the only replica that may run the request; empty if another host chooses it.
    std::string endpoint;
    milliseconds time_left{0};
    // Engines process lower values first. Empty for plain services.
    std::optional<std::uint32_t> urgency;
    // The engine only prefills the prompt, and keeps the KV cache entries for another
    // engine.
    bool only_prefill = false;
    // An engine that may have the prompt prefix in its KV cache. The prefix is transferred
    // from there instead of being prefilled again.
    std::optional<http::address> prefix_source;
    // The KV cache entries to start from instead of prefilling the prompt.
    std::optional<prompt_kv_cache> from;
    // The id of the event after which the stream continues.
    std::optional<std::string> after_event;
    // For another host: the request in whose answer the stream began, and how many replicas the
    // request may still be sent to.
    std::optional<std::string> resumed_request;
    std::optional<std::uint32_t> attempts_left;
    // The name of the account for which the request runs; empty if it has none.
    std::string account;
    // For another host: whether the account was determined, so that it need not be again.
    bool is_account_determined = false;
};

// What an answer's head states in the platform's own fields.
struct answer_metadata {
    std::optional<std::string> request_id;
    // The endpoint states that the request has not run and never will.
    bool states_not_run = false;
    // The answer carries the endpoint's signature.
    bool is_signed = false;
    // The body carries a content encoding, so it is not what the endpoint made for the
    // caller.
    bool is_encoded = false;
    // The endpoint states that it is draining and leaves the service.
    bool is_leaving = false;
    // The backoff for which the endpoint asks this host to send it no requests.
    std::optional<milliseconds> requested_backoff;
    // Whether the endpoint advertises a limit on the requests per second that it takes
    // from all hosts together; the limit is empty if it can't be parsed.
    bool has_advertised_limit = false;
    std::optional<double> requests_per_second;
    // Names of the fields that the adapter does not know.
    std::vector<std::string> unknown_fields;
};

// Lists in the platform's store. Hosts follow the configuration and the endpoints, and
// write announcements of orders, records of duties and the origins of streams. Records of stream
// origins expire; of the other lists the newest entry of each key stays.
enum class feed { configuration, endpoints, orders, stream_origins, duties };

constexpr std::string_view to_string(feed which) noexcept
{
    switch (which) {
    case feed::configuration:
        return "configuration";
    case feed::endpoints:
        return "endpoints";
    case feed::orders:
        return "orders";
    case feed::duties:
        return "duties";
    case feed::stream_origins:
        break;
    }
    return "stream_origins";
}

// One entry of a list. An entry without a value removes its key.
struct feed_entry {
    feed_entry(std::string with_key, std::optional<std::string> with_value,
               std::uint64_t at_offset = 0)
        : key{std::move(with_key)}, value{std::move(with_value)}, offset{at_offset}
    {
    }

    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

struct feed_page {
    std::vector<feed_entry> entries;
    // The offset from which the next read continues.
    std::uint64_t next_offset = 0;
    // The end of the list when the page was read. The page may end before it, because the
    // store's answers are bounded in bytes.
    std::uint64_t list_end = 0;
    // Whether more pages follow when the newest entry of each key is read.
    bool more = false;
};

// Records that one host has read from a list and announces to the other hosts: those in
// [from, to), without the records that add nothing for a host that knows all earlier ones.
// It may hold a part of what was read.
struct shared_page {
    feed of = feed::configuration;
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    // The end of the list when it was read. Records before it that are not announced must
    // be read from the store.
    std::uint64_t list_end = 0;
    std::vector<feed_entry> entries;
    // The epoch of the store in which it was read; empty if the store has stated none.
    std::optional<std::uint64_t> epoch;
    // Digests of the record before `from` and of the one before `list_end`.
    history::record_digest record_before;
    history::record_digest last_record;
    // When the read started.
    time_point read_at{};
};

// What an engine reports about orders.
struct engine_status {
    // The number of orders that the engine has accepted since it started.
    std::uint64_t orders_accepted = 0;
    // Whether an order is being carried out.
    bool is_changing = false;
};

// An order that tells an engine to change its serving stage.
struct stage_order {
    std::string engine;
    engine_stage to = engine_stage::none;
    // The process that gives the order.
    std::string holder;
    std::uint64_t fencing_token = 0;
    // The number of orders that the engine must have accepted; otherwise it ignores this
    // one.
    std::uint64_t expected_orders = 0;
};

// Calls to the platform that one host makes at a time.
enum class duty_kind { usage_report, scale };

struct duty_call {
    duty_kind kind = duty_kind::usage_report;
    // The host that makes the call.
    std::string holder;
    std::uint64_t fencing_token = 0;
    std::string body;
};

// Thrown when an answer of the store can't be used.
class store_error : public std::runtime_error {
public:
    enum class kind {
        // Nothing was read or changed. The call can be retried later.
        refused,
        // The requested records have expired. The list must be read anew.
        expired,
    };

    store_error(kind what, const std::string& reason) : std::runtime_error{reason}, m_kind{what} {}
    kind what_kind() const noexcept { return m_kind; }

private:
    kind m_kind;
};

// Thrown when a request is malformed and can't be served.
class invalid_request : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Encodes and parses messages. All members are thread safe.
class wire_format {
public:
    virtual ~wire_format() = default;

    // Parses a request's head. Throws `invalid_request`.
    virtual request_metadata read_request(const transport::message_head& head) const = 0;

    // Returns what a request states about its caller, and removes it from the head together with
    // the account that the caller claims, so that neither reaches a replica or another host.
    virtual accounts::credentials take_credentials(transport::message_head& head) const = 0;

    // Returns the bytes of the request that is sent to an endpoint.
    virtual std::string run_request(const transport::message_head& head, std::string_view body,
                                    const run_parameters& parameters) const = 0;

    // Returns the bytes of the request that frees a prompt's KV cache entries.
    virtual std::string release_request(const prompt_kv_cache& prompt) const = 0;

    virtual answer_metadata read_answer(const transport::message_head& head) const = 0;

    // Returns the KV cache handle in an engine's answer to a prefill request; empty if
    // there is none.
    virtual std::optional<std::string> read_kv_handle(std::string_view body) const = 0;

    // Returns the field of a rejection that tells the caller when to retry.
    virtual http::field make_retry_after_field(milliseconds pause) const = 0;
    // Returns the field that carries the request's id in an answer.
    virtual http::field make_request_id_field(const std::string& id) const = 0;

    // Requests to the store, as bytes, and parsers of its answers. The parsers throw
    // `store_error`.
    virtual std::string newest_request(feed of, const std::string& after_key) const = 0;
    // Returns what an answer of the store states about the history that it belongs to.
    virtual history::epoch_statement
    read_store_epoch(const transport::message_head& head) const = 0;
    virtual std::string read_request(feed of, std::uint64_t from) const = 0;
    virtual feed_page read_newest(unsigned status, std::string_view body) const = 0;
    virtual feed_page read_records(unsigned status, std::string_view body,
                                   std::uint64_t from) const = 0;

    // Returns the end of the list from the beginning of an answer to a read; nothing if too little
    // of the answer has arrived, or if it holds no records.
    virtual std::optional<std::uint64_t> read_list_end(unsigned status,
                                                       std::string_view body) const = 0;

    // Returns the first offset that the store still has, if the answer to a read tells that older
    // records were requested; else nothing.
    virtual std::optional<std::uint64_t> read_first_offset(unsigned status,
                                                           std::string_view body) const = 0;

    // Returns a request that appends all entries if the list ends at `at` or `at` is empty, and
    // otherwise none.
    virtual std::string append_request(feed to, const std::vector<feed_entry>& entries,
                                       std::optional<std::uint64_t> at) const = 0;
    // Returns the offset of the first entry; empty if none was appended.
    virtual std::optional<std::uint64_t> read_append(unsigned status,
                                                     std::string_view body) const = 0;

    // Requests to engines about orders, and the parser of their status.
    virtual std::string status_request(const endpoint_report& engine) const = 0;
    virtual std::optional<engine_status> read_status(unsigned status,
                                                     std::string_view body) const = 0;
    virtual std::string order_request(const http::address& to, const stage_order& order) const = 0;

    // Requests to the store about the records of duties, of which each partition has its own. The
    // answers are parsed by `read_newest` and `read_append`. The append is carried out if the
    // partition ends at `at`.
    virtual std::string newest_duties_request(std::uint32_t partition,
                                              const std::string& after_key) const = 0;
    virtual std::string append_duty_request(std::uint32_t partition, const feed_entry& record,
                                            std::uint64_t at) const = 0;
    // Returns the body of an order for the number of replicas.
    virtual std::string scale_order(const std::string& service,
                                    const duties::scaling_order& order) const = 0;
    // Returns the request that makes a call of a duty.
    virtual std::string duty_request(const http::address& to, const duty_call& call) const = 0;
    // Returns the body of a report of usage, and the window of such a body; nothing if it can't be
    // parsed.
    virtual std::string usage_report(std::uint64_t window,
                                     const duties::account_counts& counts) const = 0;
    virtual std::optional<std::uint64_t> read_reported_window(std::string_view report) const = 0;

    // Parse entries of the store's lists. If a value can't be parsed, the reason is logged
    // and the result is empty.
    virtual deployment_pointer read_deployment(const feed_entry& entry) const = 0;
    virtual std::optional<endpoint_report> read_endpoint(const feed_entry& entry) const = 0;

    // Returns whether an entry may contain callers' keys, which are sent to no other host.
    virtual bool may_hold_keys(const feed_entry& entry) const = 0;
};

} // namespace cicadaport::serving
