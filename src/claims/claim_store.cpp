#include "cicadaport/claims/claim_store.h"

#include "cicadaport/base/digest.h"
#include "cicadaport/base/identifier.h"
#include "cicadaport/base/safeguards.h"
#include "cicadaport/shared_log/log_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <claims.pb.h>
#include <platform.pb.h>
#include <set>
#include <spdlog/spdlog.h>

namespace cicadaport::claims {
namespace asio = boost::asio;
using base::safeguard;
using base::safeguards;
using base::verdict;
using shared_log::log_error;
using std::chrono::milliseconds;
using steady_time = std::chrono::steady_clock::time_point;

namespace {

constexpr int max_append_attempts = 3;
constexpr milliseconds answer_poll_timeout{500};
constexpr milliseconds refresh_interval{2'000};
constexpr std::size_t max_answer_bytes = 32 * 1024;
// Limits the records that a shard holds for a retry after a failed append.
constexpr std::size_t max_retry_bytes = 16 * 1024 * 1024;

std::int64_t now_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

protocol::claim_record new_record(const std::string& key, const std::string& claim_id)
{
    protocol::claim_record out;
    out.set_claim_id(claim_id);
    out.set_key(key);
    out.set_at_ms(now_ms());
    return out;
}

// A queued record and the timer that its waiters use.
struct pending_record {
    pending_record(asio::io_context& context, protocol::claim_record with_record)
        : record{std::move(with_record)}, done{context, steady_time::max()}
    {
    }

    protocol::claim_record record;
    // Cancelled when the record is folded or its append failed.
    asio::steady_timer done;
    std::optional<log_error> error;
};

// Returns the outcome for the author of `claim_id`, or nothing if the holder's
// answer is not known yet.
std::optional<claim_outcome> outcome_for(const claim_entry* holder, const claim_request& wanted,
                                         const std::string& claim_id)
{
    if (holder == nullptr) {
        return std::nullopt;
    }
    if (holder->claim_id == claim_id) {
        return claim_outcome::won;
    }
    if (holder->request != wanted.request && safeguards::is_on(safeguard::claimed_request)) {
        return claim_outcome::other_request;
    }
    return holder->answer ? std::optional{claim_outcome::ended} : std::nullopt;
}

} // namespace

// One log stream of claims. Belongs to one event loop; only `pending_record_count` and
// `count_posted_record` may be called from other threads.
class claim_store::shard : public std::enable_shared_from_this<shard> {
public:
    shard(asio::io_context& context, http::address log, const std::string& stream,
          const claim_settings& settings)
        : m_context{context}, m_log{context, std::move(log), stream},
          m_settings{settings}, m_index{settings.retention}
    {
    }

    const claim_index& index() const noexcept { return m_index; }
    std::size_t pending_record_count() const noexcept
    {
        return m_pending_count.load(std::memory_order_acquire);
    }

    // Appends and folds `record`. Throws `log_error` if that fails.
    asio::awaitable<void> commit(protocol::claim_record record)
    {
        const auto waiting = enqueue(std::move(record));
        co_await waiting->done.async_wait(asio::as_tuple(asio::use_awaitable));
        if (waiting->error) {
            throw log_error{*waiting->error};
        }
    }

    std::shared_ptr<pending_record> enqueue(protocol::claim_record record)
    {
        auto waiting = std::make_shared<pending_record>(m_context, std::move(record));
        m_queue.push_back(waiting);
        m_pending_count.fetch_add(1, std::memory_order_acq_rel);
        if (!std::exchange(m_flushing, true)) {
            asio::co_spawn(m_context, flush(shared_from_this()), asio::detached);
        }
        return waiting;
    }

    // Reads and folds new entries, and waits up to `wait` for the first. Returns
    // whether an entry with `payload` was among them.
    asio::awaitable<bool> catch_up(milliseconds wait, std::string_view payload = {})
    {
        bool found = false;
        for (;;) {
            const auto reply = co_await m_log.read(m_offset, wait);
            wait = milliseconds{0};
            for (const auto& entry : reply.entries()) {
                found = found || entry.payload() == payload;
                fold(entry);
            }
            // Entries beyond the log's retention are older than any claim in force.
            m_offset = std::max(m_offset, reply.first_offset() - 1);
            if (reply.entries().empty() || m_offset >= reply.end_offset()) {
                co_return found;
            }
        }
    }

    // Folds new entries periodically, so that a claim has few entries to read.
    static asio::awaitable<void> refresh(std::weak_ptr<shard> watched)
    {
        asio::steady_timer timer{co_await asio::this_coro::executor};
        while (co_await refresh_if_alive(watched)) {
            timer.expires_after(refresh_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    // Counts a record that another thread is about to post to the event loop.
    void count_posted_record() noexcept { m_pending_count.fetch_add(1, std::memory_order_acq_rel); }

    void enqueue_posted(protocol::claim_record record)
    {
        enqueue(std::move(record));
        m_pending_count.fetch_sub(1, std::memory_order_acq_rel);
    }

private:
    static asio::awaitable<bool> refresh_if_alive(const std::weak_ptr<shard>& watched)
    {
        const auto self = watched.lock();
        if (self) {
            co_await self->refresh_once();
        }
        co_return self != nullptr;
    }

    asio::awaitable<void> refresh_once()
    {
        try {
            co_await catch_up(milliseconds{0});
            retry_failed_records();
        }
        catch (const log_error& error) {
            spdlog::debug("claims_not_read error=\"{}\"", error.what());
        }
    }

    void fold(const protocol::log_entry& entry)
    {
        protocol::claim_batch batch;
        if (entry.offset() <= m_offset || !batch.ParseFromString(entry.payload())) {
            return;
        }
        m_offset = entry.offset();
        for (const auto& record : batch.records()) {
            m_index.apply(record);
            release_if_abandoned(record);
        }
    }

    // Releases a claim that reached the log after its author abandoned it.
    void release_if_abandoned(const protocol::claim_record& record)
    {
        if (record.has_made() && m_abandoned.erase(record.claim_id()) > 0 &&
            safeguards::is_on(safeguard::abandoned_release)) {
            auto release = new_record(record.key(), record.claim_id());
            release.mutable_released();
            enqueue(std::move(release));
        }
    }

    // Appends the queue in batches until it is empty.
    static asio::awaitable<void> flush(std::shared_ptr<shard> self)
    {
        asio::steady_timer timer{self->m_context};
        while (!self->m_queue.empty()) {
            // Records that are queued during the wait share the next append.
            timer.expires_at(self->m_next_append);
            co_await timer.async_wait(asio::use_awaitable);
            self->m_next_append =
                std::chrono::steady_clock::now() + self->m_settings.min_append_interval;
            const auto batch = self->take_batch();
            std::optional<log_error> failure;
            try {
                co_await self->append(batch);
            }
            catch (const log_error& error) {
                failure = error;
            }
            self->finish(batch, failure);
        }
        self->m_flushing = false;
    }

    std::vector<std::shared_ptr<pending_record>> take_batch()
    {
        const auto count = std::min(m_queue.size(), m_settings.max_records_per_append);
        const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
        std::vector<std::shared_ptr<pending_record>> out{m_queue.begin(), end};
        m_queue.erase(m_queue.begin(), end);
        return out;
    }

    void finish(const std::vector<std::shared_ptr<pending_record>>& batch,
                const std::optional<log_error>& failure)
    {
        for (const auto& each : batch) {
            each->error = failure;
            each->done.cancel();
            if (failure && !each->record.has_made() && keep_for_retry(each)) {
                continue;
            }
            if (failure && failure->outcome() != verdict::not_run && each->record.has_made()) {
                abandon(each->record);
            }
            m_pending_count.fetch_sub(1, std::memory_order_acq_rel);
        }
    }

    // Releases a claim that nobody will use, now if it is folded already, or
    // when it appears in the log.
    void abandon(const protocol::claim_record& made)
    {
        m_abandoned.insert(made.claim_id());
        const auto* holder = m_index.find(made.key());
        if (holder != nullptr && holder->claim_id == made.claim_id()) {
            release_if_abandoned(made);
        }
    }

    // Stores an answer or a release for a retry after a failed append. Returns
    // whether there was room for it.
    bool keep_for_retry(const std::shared_ptr<pending_record>& refused)
    {
        const auto size = refused->record.ByteSizeLong();
        if (m_retry_bytes + size > max_retry_bytes || !safeguards::is_on(safeguard::kept_answer)) {
            return false;
        }
        m_retry_bytes += size;
        m_retry_records.push_back(refused);
        return true;
    }

    // Queues the records of failed appends again; duplicates have no effect when
    // folded. Records older than the retention are dropped, since their claims
    // have expired.
    void retry_failed_records()
    {
        m_retry_bytes = 0;
        for (auto& each : std::exchange(m_retry_records, {})) {
            m_pending_count.fetch_sub(1, std::memory_order_acq_rel);
            if (now_ms() - each->record.at_ms() <= m_settings.retention.count()) {
                enqueue(each->record);
            }
        }
    }

    asio::awaitable<void> append(const std::vector<std::shared_ptr<pending_record>>& batch)
    {
        protocol::claim_batch message;
        for (const auto& each : batch) {
            *message.add_records() = each->record;
        }
        const auto payload = message.SerializeAsString();
        for (int attempt = 0; attempt < max_append_attempts; ++attempt) {
            const bool appended = co_await append_once(payload, attempt > 0);
            const bool found = co_await read_back(payload);
            if (appended || (found && safeguards::is_on(safeguard::read_back))) {
                co_return;
            }
        }
        throw log_error{verdict::may_have_run, "the log did not confirm the claim"};
    }

    // Folds new entries and returns whether `payload` was among them. A failure
    // to read is reported as may_have_run, since an append came before it.
    asio::awaitable<bool> read_back(const std::string& payload)
    {
        try {
            co_return co_await catch_up(milliseconds{0}, payload);
        }
        catch (const log_error& error) {
            throw log_error{verdict::may_have_run, error.what()};
        }
    }

    // Returns whether the log confirmed the append; false if the reply was lost.
    // Throws only if no attempt can have taken effect.
    asio::awaitable<bool> append_once(const std::string& payload, bool repeated)
    {
        try {
            co_await m_log.append(payload);
            co_return true;
        }
        catch (const log_error& error) {
            if (error.outcome() == verdict::not_run && !repeated) {
                throw;
            }
        }
        co_return false;
    }

    asio::io_context& m_context;
    shared_log::log_client m_log;
    claim_settings m_settings;
    claim_index m_index;
    std::uint64_t m_offset = 0;
    std::deque<std::shared_ptr<pending_record>> m_queue;
    bool m_flushing = false;
    steady_time m_next_append{};
    // Ids of abandoned claims that may still appear in the log.
    std::set<std::string> m_abandoned;
    // Answers and releases whose append failed, held for a retry.
    std::vector<std::shared_ptr<pending_record>> m_retry_records;
    std::size_t m_retry_bytes = 0;
    std::atomic<std::size_t> m_pending_count{0};
};

claim_request::claim_request(std::string_view account, std::string_view key,
                             std::string_view with_request)
    : scoped_key{base::sha256_hex(std::string{account} + "\n" + std::string{key})},
      request{base::sha256_hex(with_request)}
{
}

claim_store::claim_store(asio::io_context& context, const http::address& log,
                         claim_settings settings)
    : m_context{context}, m_settings{settings}
{
    for (std::size_t i = 0; i < settings.shards; ++i) {
        m_shards.push_back(
            std::make_shared<shard>(context, log, "claims-" + std::to_string(i), settings));
        asio::co_spawn(context, shard::refresh(m_shards.back()), asio::detached);
    }
}

claim_store::~claim_store() = default;

asio::awaitable<claim_result> claim_store::acquire(claim_request wanted, steady_time wait_until)
{
    auto work = acquire_on_context(std::move(wanted), wait_until);
    co_return co_await asio::co_spawn(m_context, std::move(work), asio::use_awaitable);
}

asio::awaitable<claim_result> claim_store::acquire_on_context(claim_request wanted,
                                                              steady_time wait_until)
{
    const auto target_shard = shard_of(wanted.scoped_key);
    claim_result out;
    out.claim_id = base::make_identifier();
    out.start_deadline = std::chrono::steady_clock::now() + m_settings.retention / 2;
    try {
        co_await wait_for_outcome(*target_shard, wanted, wait_until, out);
    }
    catch (const log_error&) {
        const auto* holder = target_shard->index().find(wanted.scoped_key);
        if (!is_held(holder) || holder->claim_id == out.claim_id) {
            throw;
        }
        // The holder's answer is not known, but its request may have run.
        out.outcome = claim_outcome::held;
    }
    co_return out;
}

asio::awaitable<void> claim_store::wait_for_outcome(shard& target_shard,
                                                    const claim_request& wanted,
                                                    steady_time wait_until, claim_result& out)
{
    for (;;) {
        if (!is_held(target_shard.index().find(wanted.scoped_key))) {
            // Reached again if the previous holder released the key.
            auto record = new_record(wanted.scoped_key, out.claim_id);
            record.mutable_made()->set_request(wanted.request);
            co_await target_shard.commit(std::move(record));
        }
        const auto* holder = target_shard.index().find(wanted.scoped_key);
        if (const auto outcome = outcome_for(holder, wanted, out.claim_id)) {
            out.outcome = *outcome;
            out.answer = holder->answer.value_or(claim_answer{});
            co_return;
        }
        if (std::chrono::steady_clock::now() >= wait_until) {
            co_return;
        }
        co_await target_shard.catch_up(answer_poll_timeout);
    }
}

bool claim_store::is_held(const claim_entry* holder) const
{
    return holder != nullptr && now_ms() - holder->at_ms <= m_settings.retention.count();
}

void claim_store::post_record(const std::shared_ptr<shard>& target_shard,
                              protocol::claim_record record)
{
    target_shard->count_posted_record();
    asio::post(m_context, [target_shard, record = std::move(record)] {
        target_shard->enqueue_posted(record);
    });
}

void claim_store::end(const claim_request& claimed, const std::string& claim_id,
                      claim_answer answer)
{
    auto record = new_record(claimed.scoped_key, claim_id);
    auto& ended = *record.mutable_ended();
    ended.set_status(answer.status);
    ended.set_unknown(answer.unknown);
    ended.set_omitted(answer.body.size() > max_answer_bytes);
    if (!ended.omitted()) {
        ended.set_content_type(std::move(answer.content_type));
        ended.set_body(std::move(answer.body));
    }
    post_record(shard_of(claimed.scoped_key), std::move(record));
}

void claim_store::release(const claim_request& claimed, const std::string& claim_id)
{
    auto record = new_record(claimed.scoped_key, claim_id);
    record.mutable_released();
    post_record(shard_of(claimed.scoped_key), std::move(record));
}

std::size_t claim_store::pending_record_count() const noexcept
{
    std::size_t out = 0;
    for (const auto& each : m_shards) {
        out += each->pending_record_count();
    }
    return out;
}

std::shared_ptr<claim_store::shard> claim_store::shard_of(const std::string& scoped_key) const
{
    constexpr std::size_t digits = 8;
    constexpr int hexadecimal = 16;
    return m_shards[std::stoul(scoped_key.substr(0, digits), nullptr, hexadecimal) %
                    m_shards.size()];
}

std::optional<std::chrono::system_clock::time_point> creation_time(std::string_view key)
{
    constexpr std::size_t uuid_size = 36;
    constexpr std::size_t version_position = 14;
    constexpr int hexadecimal = 16;
    if (key.size() != uuid_size || key[8] != '-' || key[13] != '-' ||
        key[version_position] != '7') {
        return std::nullopt;
    }
    const std::string digits = std::string{key.substr(0, 8)} + std::string{key.substr(9, 4)};
    std::int64_t value = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return std::chrono::system_clock::time_point{milliseconds{value}};
}

} // namespace cicadaport::claims
