#include "platform/soak/timed_requests.h"

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

constexpr auto event_interval = 100ms;
constexpr auto connect_interval = 10ms;
constexpr int prompt_tokens = 900;

// The last words of the answer to a timed request.
std::string end_of_answer(const std::string& id)
{
    return "end of " + id;
}

// One chunk of a chunked body.
std::string chunk(const std::string& text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

const scripted_response broken_answer{"", scripted_response::then::reset};

milliseconds draw_time(std::mt19937_64& random, milliseconds from, milliseconds to)
{
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>{from.count(), to.count()}(random)};
}

} // namespace

scripted_response timed_requests::work(const received_request& request, const std::string& fields)
{
    const auto began = soak_clock::now();
    const milliseconds time{std::stoll(request.field("Work-Ms"))};
    const timed_work work{request.field("Request-Id"), began + time,
                          !request.field("Break-Off").empty()};
    if (request.field("Serving-Stage") == "prefill") {
        constexpr int prefill_divisor = 10;
        const auto body =
            fmt::format(R"({{"kv-handle":"{}","tokens":{},"version":1}})", work.id, prompt_tokens);
        return respond_at(began + time / prefill_divisor, work.id,
                          make_response(200, fields, body));
    }
    {
        const std::lock_guard lock{m_mutex};
        m_judge.record_run(work.id, began);
    }
    if (request.path().starts_with("/safe/") || request.path().starts_with("/once/")) {
        return respond_at(work.end, work.id,
                          work.breaks_off ? broken_answer
                                          : make_response(200, fields, end_of_answer(work.id)));
    }
    scripted_response first{"HTTP/1.1 200 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" +
                            chunk("id: 1\ndata: e\n\n")};
    first.following = [this, work] { return next_event(work, 2); };
    return first;
}

scripted_response timed_requests::next_event(const timed_work& work, int number)
{
    const auto due = soak_clock::now() + event_interval;
    if (due < work.end) {
        scripted_response event{chunk(fmt::format("id: {}\ndata: e\n\n", number))};
        event.following = [this, work, number] { return next_event(work, number + 1); };
        return respond_at(due, work.id, event);
    }
    const scripted_response last{
        chunk(fmt::format("id: {}\ndata: {}\n\n", number, end_of_answer(work.id))) + "0\r\n\r\n"};
    return respond_at(work.end, work.id, work.breaks_off ? broken_answer : last);
}

scripted_response timed_requests::respond_at(soak_time due, const std::string& id,
                                             const scripted_response& reply)
{
    scripted_response out;
    out.later = [this, id, due, reply]() -> std::optional<scripted_response> {
        const auto now = soak_clock::now();
        const std::lock_guard lock{m_mutex};
        m_judge.record_work(id, now);
        if (now < due) {
            return std::nullopt;
        }
        if (reply.after == scripted_response::then::reset) {
            m_judge.record_break_off(id);
        }
        return reply;
    };
    return out;
}

timed_requests::timed_request timed_requests::draw(const fleet_host& host, std::mt19937_64& random,
                                                   std::size_t body_bytes)
{
    static std::atomic<std::size_t> last{0};
    constexpr double break_off_share = 0.01;
    const auto chance = [&random](double share) {
        return std::bernoulli_distribution{share}(random);
    };
    const bool is_stream = chance(0.6);
    const std::string path =
        is_stream ? (chance(0.5) ? "stream" : "generate") : (chance(0.5) ? "once" : "safe");
    // Many streams last so long that their connection is used again only late in a planned stop.
    const bool is_long = chance(is_stream ? 0.5 : 0.2);
    const auto work = is_long     ? draw_time(random, 3'000ms, 4'000ms)
                      : is_stream ? draw_time(random, 100ms, 4'000ms)
                                  : draw_time(random, 0ms, 500ms);
    timed_request out;
    out.judged.id = fmt::format("{}-{}{}", host.number(), path, ++last);
    out.judged.may_repeat = path == "safe";
    out.judged.time_limit = draw_time(random, 1'000ms, 10'000ms);
    out.body = std::string(body_bytes, 'q');
    const auto prompt = fmt::format("Token-Count: {},80\r\nPrompt-Prefix: f1:300,{:x}:600\r\n",
                                    prompt_tokens, last.load());
    out.head = fmt::format("POST /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
                           "Deadline-Ms: {}\r\nWork-Ms: {}\r\n{}{}Content-Length: {}\r\n\r\n",
                           path, out.judged.id, out.judged.time_limit.count(), work.count(),
                           path == "generate" ? prompt : "",
                           chance(break_off_share) ? "Break-Off: 1\r\n" : "", out.body.size());
    return out;
}

void timed_requests::record_stop(const fleet_host& host)
{
    const std::lock_guard lock{m_mutex};
    m_judge.record_stop(host.process(), *host.stopped_at(), host.grace());
}

bool timed_requests::receive(const fleet_host& host, caller& from, stop_judge::request& sent)
{
    const auto answer = from.receive();
    sent.ended = soak_clock::now();
    sent.status = answer.complete ? answer.status : 0;
    sent.has_whole_body = answer.body.find(end_of_answer(sent.id)) != std::string::npos;
    // An impairment of the store excuses no loss.
    sent.is_excused = !host.is_free_of(
        host_fault::process, sent.ended,
        std::chrono::duration_cast<milliseconds>(sent.ended - sent.sent + m_contact));
    const std::lock_guard lock{m_mutex};
    m_judge.record_request(sent);
    return answer.complete && answer.field("Connection") != "close";
}

void timed_requests::send_ahead_and_leave(const fleet_host& host, caller& from,
                                          std::mt19937_64& random)
{
    constexpr int requests = 8;
    constexpr std::size_t body_bytes = 12'000;
    const auto process = host.process();
    const auto sent = soak_clock::now();
    std::string all;
    std::vector<stop_judge::departure> departures;
    for (int number = 0; number < requests; ++number) {
        const auto each = draw(host, random, body_bytes);
        all += each.head + each.body;
        departures.push_back({each.judged.id, {}, false});
    }
    from.send(all);
    std::this_thread::sleep_for(draw_time(random, 20ms, 1'000ms));
    const auto left = soak_clock::now();
    from.disconnect();
    std::this_thread::sleep_for(stop_judge::gone_slack);
    const auto now = soak_clock::now();
    const bool is_excused =
        host.process() != process ||
        !host.is_free_of(host_fault::process, now,
                         std::chrono::duration_cast<milliseconds>(now - sent + m_contact));
    const std::lock_guard lock{m_mutex};
    for (auto& each : departures) {
        each.left = left;
        each.is_excused = is_excused;
        m_judge.record_departure(each);
    }
}

void timed_requests::send(fleet_host& host, std::uint64_t seed, const std::atomic<bool>& done)
{
    std::mt19937_64 random{seed};
    const auto chance = [&random](double share) {
        return std::bernoulli_distribution{share}(random);
    };
    std::unique_ptr<caller> kept;
    std::size_t process = 0;
    while (!done) {
        try {
            if (kept == nullptr) {
                std::this_thread::sleep_for(connect_interval);
                process = host.process();
                kept = std::make_unique<caller>(host.callers());
            }
            if (chance(0.3)) {
                std::this_thread::sleep_for(draw_time(random, 0ms, chance(0.2) ? 3'000ms : 500ms));
            }
            if (chance(0.05)) {
                send_ahead_and_leave(host, *kept, random);
                kept.reset();
                continue;
            }
            auto first = draw(host, random);
            auto second = draw(host, random);
            const bool is_pipelined = chance(0.15);
            const auto rest = first.body + (is_pipelined ? second.head + second.body : "");
            if (chance(0.15)) {
                kept->send(first.head);
                std::this_thread::sleep_for(draw_time(random, 20ms, 1'500ms));
                kept->send(rest);
            }
            else {
                kept->send(first.head + rest);
            }
            // The host may have been started again while the connection was made.
            if (host.process() != process) {
                kept.reset();
                continue;
            }
            first.judged.process = second.judged.process = process;
            first.judged.sent = second.judged.sent = soak_clock::now();
            bool stays = receive(host, *kept, first.judged);
            if (is_pipelined) {
                second.judged.is_behind_cut = first.judged.status == 0;
                stays = receive(host, *kept, second.judged) && stays;
            }
            if (!stays) {
                kept.reset();
            }
        }
        catch (const boost::system::system_error&) {
            // The host doesn't listen, or ended the connection before the whole request was sent.
            kept.reset();
        }
    }
}

} // namespace cicadaport::platform::testing
