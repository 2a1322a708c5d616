// What a host says to callers' requests, endpoints and the platform's store,
// without the words in which it is said.
//
// The adapter to a platform implements `wire_format`; nothing else knows the
// platform's names and formats.
#pragma once

#include "cicadaport/serving/deployment.h"
#include "cicadaport/serving/endpoint_table.h"
#include "cicadaport/transport/message_reader.h"

namespace cicadaport::serving {

// One part of a prompt; equal parts at the beginning of two prompts are read
// once by an engine that keeps them.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

// What a caller says of its request.
struct request_terms {
    std::string id;
    // The authority that the caller addresses, without a port.
    std::string host;
    std::string path;
    // How long the caller waits; nothing if it did not say.
    std::optional<milliseconds> time_left;
    std::vector<prompt_part> prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t most_output_tokens = 0;
};

// The memory of a prompt that an engine has read for another.
struct read_prompt {
    http::address at;
    std::string handle;
};

// What a host asks of one endpoint for a request.
struct run_terms {
    // Only this replica may run it.
    std::string endpoint;
    milliseconds time_left{0};
    // Engines take work of lower numbers first; nothing for plain services.
    std::optional<std::uint32_t> urgency;
    // Only read the prompt and keep its memory for another engine.
    bool only_read_prompt = false;
    // An engine that may keep the prompt's beginning, to take it from there instead
    // of reading it again.
    std::optional<http::address> beginning_at;
    // Begin with this memory instead of reading the prompt.
    std::optional<read_prompt> from;
    // Continue a stream after this event.
    std::optional<std::string> after_event;
};

// What an answer's head says beside status and fields.
struct answer_terms {
    std::optional<std::string> request_id;
    // The endpoint states that the request has not run and never will.
    bool states_not_run = false;
    // It carries the endpoint's signature.
    bool is_signed = false;
    // The body is not the one that the endpoint made for the caller.
    bool is_encoded = false;
    // The endpoint states that it leaves.
    bool is_leaving = false;
    // The endpoint wants no requests from this host for so long.
    std::optional<milliseconds> leave_alone;
    // The endpoint names how many requests a second it takes from all hosts together;
    // nothing if that can't be read.
    bool names_limit = false;
    std::optional<double> requests_per_second;
    // Fields that the adapter does not know, by their names.
    std::vector<std::string> unknown_fields;
};

// Lists in the platform's store: two that hosts follow, and the announcements
// of orders, which hosts write.
enum class feed { configuration, endpoints, orders };

// One entry of a list; without a value it was removed.
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
    // Where reading goes on.
    std::uint64_t next_offset = 0;
    // The end of the list when the records were read: an answer holds a bounded number
    // of bytes and may end before it.
    std::uint64_t list_end = 0;
    // Whether a newest-of-each-key answer has further pages.
    bool more = false;
};

// What one host has read of a list, for the others, or a part of it: the records
// from one offset up to another, less those that tell nothing new to any host that
// knows the records before them.
struct shared_page {
    feed of = feed::configuration;
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    // The end of the list as it was read: what lies before it and is not told must
    // be read from the store.
    std::uint64_t list_end = 0;
    std::vector<feed_entry> entries;
    // When the read was begun.
    time_point read_at{};
};

// What an engine says of orders.
struct engine_status {
    // How many orders it has accepted since its start.
    std::uint64_t orders_accepted = 0;
    // Whether an order is being carried out.
    bool is_changing = false;
};

// An order to an engine to change its stage.
struct stage_order {
    std::string engine;
    engine_stage to = engine_stage::none;
    // Who gives it.
    std::string holder;
    std::uint64_t fencing_token = 0;
    // The order is void unless the engine has accepted so many.
    std::uint64_t expected_orders = 0;
};

// The answer of the store could not be used.
class store_error : public std::runtime_error {
public:
    enum class kind {
        // Nothing was done; ask again later.
        refused,
        // The records asked for have expired: begin anew.
        expired,
    };

    store_error(kind what, const std::string& reason) : std::runtime_error{reason}, m_kind{what} {}
    kind what_kind() const noexcept { return m_kind; }

private:
    kind m_kind;
};

// The request is not one that can be served.
class invalid_request : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Thread safety: all members from any thread.
class wire_format {
public:
    virtual ~wire_format() = default;

    // Reads a request's head; throws `invalid_request`.
    virtual request_terms read_request(const transport::message_head& head) const = 0;

    // Returns the request that is sent to an endpoint, as bytes.
    virtual std::string run_request(const transport::message_head& head, std::string_view body,
                                    const run_terms& terms) const = 0;

    // Returns the request that frees a prompt's memory.
    virtual std::string release_request(const read_prompt& prompt) const = 0;

    virtual answer_terms read_answer(const transport::message_head& head) const = 0;

    // Returns the handle in an engine's answer that it has read a prompt;
    // nothing if there is none.
    virtual std::optional<std::string> read_prompt_handle(std::string_view body) const = 0;

    // Returns the fields of a refusal that tells when to come back.
    virtual http::field come_back_after(milliseconds pause) const = 0;
    // Returns the field that repeats a request's id.
    virtual http::field identity_field(const std::string& id) const = 0;

    // Requests to the store, as bytes, and its answers; the reading members
    // throw `store_error`.
    virtual std::string newest_request(feed of, const std::string& after_key) const = 0;
    virtual std::string read_request(feed of, std::uint64_t from) const = 0;
    virtual feed_page read_newest(unsigned status, std::string_view body) const = 0;
    virtual feed_page read_records(unsigned status, std::string_view body,
                                   std::uint64_t from) const = 0;

    // Appends entries if the list ends at `at`, all or none.
    virtual std::string append_request(feed to, const std::vector<feed_entry>& entries,
                                       std::uint64_t at) const = 0;
    // Returns the offset of the first entry, or nothing if none was appended.
    virtual std::optional<std::uint64_t> read_append(unsigned status,
                                                     std::string_view body) const = 0;

    // Orders to engines, and what they say of them.
    virtual std::string status_request(const endpoint_report& engine) const = 0;
    virtual std::optional<engine_status> read_status(unsigned status,
                                                     std::string_view body) const = 0;
    virtual std::string order_request(const http::address& to, const stage_order& order) const = 0;

    // Return nothing, and log why, if the value can't be read.
    virtual deployment_pointer read_deployment(const feed_entry& entry) const = 0;
    virtual std::optional<endpoint_report> read_endpoint(const feed_entry& entry) const = 0;
};

} // namespace cicadaport::serving
