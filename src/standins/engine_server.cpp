#include "cicadaport/standins/engine_server.h"

#include "cicadaport/base/identifier.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <sstream>

namespace cicadaport::standins {
namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;

constexpr std::string_view stream_prefix = "/v1/streams/";
constexpr milliseconds idle_poll{1};
constexpr std::size_t kept_reports = 4'096;

std::vector<std::string> split_words(const std::string& text)
{
    std::istringstream in{text};
    return {std::istream_iterator<std::string>{in}, std::istream_iterator<std::string>{}};
}

// Returns the text of a prompt or of all messages of a chat.
std::string prompt_text(const json& body)
{
    if (body.contains("prompt")) {
        return body.at("prompt").get<std::string>();
    }
    std::string text;
    for (const auto& message : body.at("messages")) {
        text += message.at("role").get<std::string>() + " " +
                message.at("content").get<std::string>() + " ";
    }
    return text;
}

std::string_view to_string(engine_role role)
{
    switch (role) {
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    case engine_role::mixed:
        break;
    }
    return "mixed";
}

engine_role parse_role(std::string_view text)
{
    if (text == "prefill") {
        return engine_role::prefill;
    }
    return text == "decode" ? engine_role::decode : engine_role::mixed;
}

// The field says that the engine did not start the request.
http::response not_started(unsigned status, std::string reason)
{
    return {status, {{"X-Not-Started", "true"}}, std::move(reason) + "\n"};
}

} // namespace

engine_server::engine_server(asio::io_context& context, engine_settings settings)
    : m_context{context}, m_settings{std::move(settings)}, m_core{m_settings.costs}
{
}

asio::awaitable<void> engine_server::run()
{
    asio::steady_timer timer{m_context};
    for (;;) {
        const auto took = m_changing ? std::chrono::microseconds{0} : m_core.step();
        ++m_steps;
        m_reports.push_back({clock::now(), m_core.load()});
        if (m_reports.size() > kept_reports) {
            m_reports.pop_front();
        }
        cancel_orphans();
        const auto slowed =
            std::chrono::duration_cast<clock::duration>(took * m_faults.slow_factor);
        timer.expires_after(took.count() > 0 ? slowed : clock::duration{idle_poll});
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void engine_server::cancel_orphans()
{
    const auto now = clock::now();
    std::erase_if(m_streams, [&](const auto& each) {
        const auto& source = *each.second;
        if (source.readers > 0 || now - source.unread_since < m_settings.orphan_time) {
            return false;
        }
        source.job->cancelled = true;
        return true;
    });
}

asio::awaitable<void> engine_server::handle(const http::request& message,
                                            http::response_writer& writer)
{
    const http::target_view target{message.target};
    const auto& path = target.path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        return complete(message, path == "/v1/chat/completions", writer);
    }
    if (path == "/v1/prefill") {
        return prefill(message, writer);
    }
    if (path == "/v1/load") {
        return writer.send(show_load());
    }
    if (path == "/v1/cache_events") {
        return writer.send(show_events(target));
    }
    if (path == "/v1/orders") {
        return message.method == "POST" ? take_order(message, writer) : writer.send(show_orders());
    }
    if (path == "/v1/requests") {
        return writer.send(show_requests());
    }
    if (path == "/v1/faults") {
        return writer.send(set_faults(target));
    }
    if (path.starts_with(stream_prefix)) {
        const auto found = m_streams.find(path.substr(stream_prefix.size()));
        if (found == m_streams.end()) {
            return writer.send(not_started(status_not_found, "no such stream"));
        }
        if (message.method == "DELETE") {
            found->second->job->cancelled = true;
            m_streams.erase(found);
            return writer.send({status_ok, {}, "cancelled\n"});
        }
        const auto from =
            static_cast<std::uint32_t>(std::stoul(target.parameter("from").value_or("0")));
        return send_stream(found->second, from, writer);
    }
    return writer.send(not_started(status_not_found, "no such path"));
}

std::shared_ptr<engine_server::stream> engine_server::start_stream(const http::request& message,
                                                                   bool chat, bool prefill_only)
{
    constexpr std::uint32_t default_tokens = 16;
    const auto body = json::parse(message.body);
    auto source = std::make_shared<stream>();
    source->chat = chat;
    source->unread_since = clock::now();
    source->job = std::make_shared<engine_job>();
    auto& job = *source->job;
    job.id = std::string{message.fields.find("X-Request-Id").value_or("")};
    if (job.id.empty()) {
        job.id = base::make_identifier();
    }
    job.prompt = split_words(prompt_text(body));
    job.output_tokens = body.value("max_tokens", default_tokens);
    job.output_tokens = std::min(job.output_tokens, body.value("output_tokens", job.output_tokens));
    job.prefill_only = prefill_only;
    if (const auto rank = message.fields.find("X-Priority")) {
        job.priority = static_cast<std::uint32_t>(std::stoul(std::string{*rank}));
    }
    if (message.fields.find("X-Kv-Source")) {
        job.imported_tokens = static_cast<std::uint32_t>(job.prompt.size());
    }
    m_core.submit(source->job);
    m_streams[job.id] = source;
    m_begun.push_back({job.id, engine_core::answer_token(job.prompt, 0)});
    return source;
}

asio::awaitable<void> engine_server::complete(const http::request& message, bool chat,
                                              http::response_writer& writer)
{
    if (m_changing || m_faults.refuse) {
        co_return co_await writer.send(not_started(status_unavailable, "not serving"));
    }
    if (m_settings.role == engine_role::prefill) {
        co_return co_await writer.send(not_started(status_conflict, "this engine only prefills"));
    }
    std::shared_ptr<stream> source;
    bool streamed = false;
    std::string problem;
    try {
        source = start_stream(message, chat, false);
        streamed = json::parse(message.body).value("stream", false);
    }
    catch (const json::exception& error) {
        problem = error.what();
    }
    if (!source) {
        co_return co_await writer.send(not_started(status_bad_request, problem));
    }
    if (streamed) {
        co_await send_stream(source, 0, writer);
    }
    else {
        co_await send_whole(source, writer);
    }
}

asio::awaitable<void> engine_server::prefill(const http::request& message,
                                             http::response_writer& writer)
{
    if (m_changing || m_faults.refuse || m_settings.role == engine_role::decode) {
        co_return co_await writer.send(not_started(status_unavailable, "does not prefill"));
    }
    const auto source = start_stream(message, false, true);
    ++source->readers;
    while (!source->job->finished()) {
        co_await wait_for_step();
    }
    m_streams.erase(source->job->id);
    if (source->job->cancelled) {
        co_return;
    }
    const json body{{"kv", source->job->id}, {"tokens", source->job->prompt.size()}};
    co_await writer.send(http::json_response(status_ok, body.dump()));
}

asio::awaitable<void> engine_server::wait_for_step()
{
    asio::steady_timer timer{m_context, idle_poll};
    co_await timer.async_wait(asio::use_awaitable);
}

std::string engine_server::event_text(const stream& source, std::uint32_t index) const
{
    const auto token = engine_core::answer_token(source.job->prompt, index);
    const json choice = source.chat ? json{{"index", 0}, {"delta", {{"content", token}}}}
                                    : json{{"index", 0}, {"text", token}};
    const json event{{"id", source.job->id},
                     {"object", source.chat ? "chat.completion.chunk" : "text_completion"},
                     {"model", m_settings.model},
                     {"choices", json::array({choice})}};
    return "id: " + std::to_string(index) + "\ndata: " + event.dump() + "\n\n";
}

asio::awaitable<void> engine_server::send_stream(std::shared_ptr<stream> source, std::uint32_t from,
                                                 http::response_writer& writer)
{
    // Marks the stream as unread when the reader is gone, however it goes.
    struct reader {
        std::shared_ptr<stream> source;
        explicit reader(std::shared_ptr<stream> read) : source{std::move(read)}
        {
            ++source->readers;
        }
        ~reader()
        {
            --source->readers;
            source->unread_since = clock::now();
        }
        reader(const reader&) = delete;
        reader& operator=(const reader&) = delete;
    };
    const reader reading{source};
    const auto& job = *source->job;
    http::response head{
        status_ok, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", job.id}}, {}};
    co_await writer.begin_stream(std::move(head));
    for (auto sent = from; sent < job.output_tokens;) {
        if (job.cancelled) {
            co_return;
        }
        if (sent >= job.produced) {
            co_await wait_for_step();
            continue;
        }
        const auto text = event_text(*source, sent++);
        co_await writer.write(text);
        if (m_faults.cut_after_tokens > 0 && sent >= m_faults.cut_after_tokens) {
            m_faults.cut_after_tokens = 0;
            co_return;
        }
    }
    co_await writer.write("data: [DONE]\n\n");
    co_await writer.end_stream();
    ++m_finished;
}

asio::awaitable<void> engine_server::send_whole(std::shared_ptr<stream> source,
                                                http::response_writer& writer)
{
    ++source->readers;
    const auto& job = *source->job;
    while (!job.finished()) {
        co_await wait_for_step();
    }
    --source->readers;
    if (job.cancelled) {
        co_return;
    }
    std::string text;
    for (std::uint32_t i = 0; i < job.output_tokens; ++i) {
        text += engine_core::answer_token(job.prompt, i);
    }
    const json choice =
        source->chat ? json{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}}
                     : json{{"index", 0}, {"text", text}};
    const json body{
        {"id", job.id},
        {"object", source->chat ? "chat.completion" : "text_completion"},
        {"model", m_settings.model},
        {"choices", json::array({choice})},
        {"usage",
         {{"prompt_tokens", job.prompt.size()}, {"completion_tokens", job.output_tokens}}}};
    ++m_finished;
    co_await writer.send(http::json_response(status_ok, body.dump()));
}

asio::awaitable<void> engine_server::take_order(const http::request& message,
                                                http::response_writer& writer)
{
    const auto order = json::parse(message.body);
    received_order entry{order.at("order_id"), order.at("fencing_number"), order.dump(), true,
                         false};
    const bool stale = entry.fencing_number < m_highest_fencing_number;
    m_highest_fencing_number = std::max(m_highest_fencing_number, entry.fencing_number);
    entry.conflicting = m_changing && entry.order_id != m_changing_order;
    entry.accepted = !(m_settings.checks_fencing && stale) && !entry.conflicting;
    m_orders.push_back(entry);
    if (!entry.accepted) {
        co_return co_await writer.send(
            not_started(status_conflict, entry.conflicting ? "another order runs" : "fenced off"));
    }
    const bool known = entry.order_id == m_last_applied_order || entry.order_id == m_changing_order;
    if (!known) {
        asio::co_spawn(m_context, carry_out(order), asio::detached);
    }
    if (m_faults.lose_order_answers > 0) {
        --m_faults.lose_order_answers;
        co_return;
    }
    co_await writer.send(http::json_response(status_accepted, R"({"accepted":true})"));
}

asio::awaitable<void> engine_server::carry_out(json order)
{
    m_changing = true;
    m_changing_order = order.at("order_id").get<std::string>();
    m_core.clear();
    m_streams.clear();
    asio::steady_timer timer{m_context, m_settings.change_time / 2};
    co_await timer.async_wait(asio::use_awaitable);
    if (m_faults.crash_in_change) {
        std::_Exit(EXIT_FAILURE);
    }
    timer.expires_after(m_settings.change_time / 2);
    co_await timer.async_wait(asio::use_awaitable);
    if (std::exchange(m_faults.fail_change, false)) {
        m_last_failed_order = m_changing_order;
    }
    else {
        m_settings.role =
            order.contains("role") ? parse_role(order["role"].get<std::string>()) : m_settings.role;
        m_settings.model = order.value("model", m_settings.model);
        m_settings.version = order.value("version", m_settings.version);
        m_last_applied_order = m_changing_order;
    }
    m_changing = false;
    m_changing_order.clear();
}

http::response engine_server::show_load()
{
    const auto visible = clock::now() - m_settings.report_lag;
    while (m_reports.size() > 1 && m_reports[1].at <= visible) {
        m_reports.pop_front();
    }
    const auto report = m_reports.empty() ? load_report{} : m_reports.front();
    const auto age = std::chrono::duration_cast<milliseconds>(clock::now() - report.at);
    const json body{{"role", to_string(m_settings.role)},
                    {"model", m_settings.model},
                    {"version", m_settings.version},
                    {"changing", m_changing},
                    {"waiting", report.load.waiting},
                    {"running", report.load.running},
                    {"prefill_tokens", report.load.prefill_tokens},
                    {"decode_tokens", report.load.decode_tokens},
                    {"finished", m_finished},
                    {"steps", m_steps},
                    {"age_ms", age.count()}};
    return http::json_response(status_ok, body.dump());
}

http::response engine_server::show_events(const http::target_view& target)
{
    constexpr std::size_t most_events = 1'024;
    const auto after = std::stoull(target.parameter("after").value_or("0"));
    std::bernoulli_distribution lost{m_settings.event_loss};
    auto list = json::array();
    for (const auto& event : m_core.events()) {
        if (event.sequence > after && list.size() < most_events && !lost(m_random)) {
            list.push_back({{"sequence", event.sequence},
                            {"stored", event.stored},
                            {"block", std::to_string(event.block)}});
        }
    }
    return http::json_response(status_ok, json{{"events", std::move(list)}}.dump());
}

http::response engine_server::show_requests() const
{
    auto list = json::array();
    for (const auto& each : m_begun) {
        list.push_back({{"id", each.id}, {"first_token", each.first_token}});
    }
    const json body{{"requests", std::move(list)}};
    return http::json_response(status_ok, body.dump());
}

http::response engine_server::show_orders() const
{
    auto list = json::array();
    for (const auto& each : m_orders) {
        list.push_back({{"order_id", each.order_id},
                        {"fencing_number", each.fencing_number},
                        {"action", each.action},
                        {"accepted", each.accepted},
                        {"conflicting", each.conflicting}});
    }
    const json body{{"orders", std::move(list)},
                    {"role", to_string(m_settings.role)},
                    {"model", m_settings.model},
                    {"version", m_settings.version},
                    {"changing", m_changing},
                    {"changing_order", m_changing_order},
                    {"last_applied_order", m_last_applied_order},
                    {"last_failed_order", m_last_failed_order}};
    return http::json_response(status_ok, body.dump());
}

http::response engine_server::set_faults(const http::target_view& target)
{
    const auto flag = [&](std::string_view name, bool& value) {
        if (const auto text = target.parameter(name)) {
            value = *text == "true";
        }
    };
    const auto count = [&](std::string_view name, std::uint32_t& value) {
        if (const auto text = target.parameter(name)) {
            value = static_cast<std::uint32_t>(std::stoul(*text));
        }
    };
    flag("crash_in_change", m_faults.crash_in_change);
    flag("fail_change", m_faults.fail_change);
    flag("refuse", m_faults.refuse);
    count("cut_after_tokens", m_faults.cut_after_tokens);
    count("lose_order_answers", m_faults.lose_order_answers);
    if (const auto factor = target.parameter("slow_factor")) {
        m_faults.slow_factor = std::stod(*factor);
    }
    if (const auto lag = target.parameter("report_lag_ms")) {
        m_settings.report_lag = milliseconds{std::stoll(*lag)};
    }
    if (const auto loss = target.parameter("event_loss")) {
        m_settings.event_loss = std::stod(*loss);
    }
    return {status_ok, {}, "ok\n"};
}

} // namespace cicadaport::standins
