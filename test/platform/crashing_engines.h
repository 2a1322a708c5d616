// Replicas that crash on one prompt segment, or on one body.
#pragma once

#include "stand_ins.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cicadaport::platform::testing {

constexpr std::string_view deadly_segment = "dead1";
constexpr std::string_view deadly_body = "deadly";

// Returns the head fields of a prompt: a common segment, `shared_segments` and one of its own.
inline std::string prompt_fields(const std::string& own_segment, const std::string& shared_segments)
{
    return "Token-Count: 900,80\r\nPrompt-Prefix: a:300," + shared_segments + ":200," +
           own_segment + ":400\r\n";
}

// Replicas that crash on `deadly_segment` and `deadly_body` and are listed again after a restart.
class crashing_engines {
public:
    // Lists an engine under a new id instead of its previous one, which may be empty.
    using list_function = std::function<void(const std::string& previous_id, const std::string& id,
                                             const http::address& at)>;

    // `on_deadly` is called for each request that ends a replica; it may be empty.
    crashing_engines(int count, list_function list,
                     std::function<void(const received_request&)> on_deadly = {})
        : m_list{std::move(list)}, m_on_deadly{std::move(on_deadly)}
    {
        for (int number = 0; number < count; ++number) {
            m_engines.push_back(std::make_unique<scripted_server>(
                [this, number](const received_request& each) { return answer(number, each); }));
            list_engine(number);
        }
    }

    // Crashes an engine whatever it runs.
    void crash(int number)
    {
        m_engines[static_cast<std::size_t>(number)]->crash(restart_time,
                                                           [this, number] { list_engine(number); });
    }

    // Sets how long a prompt with the deadly segment waits before the engine crashes on it.
    void delay_deadly(std::chrono::milliseconds time) { m_deadly_delay = time; }

    // Sets the status with which sound requests are answered.
    void set_status(unsigned status) { m_status = status; }

    // Number of crashes by deadly requests.
    std::size_t crash_count() const { return m_crash_count; }
    // Number of deadly requests that reached a replica.
    std::size_t deadly_count() const { return m_deadly_count; }

private:
    static constexpr std::chrono::milliseconds restart_time{300};

    void list_engine(int number)
    {
        const std::lock_guard lock{m_mutex};
        const auto id = "e-" + std::to_string(++m_incarnations);
        m_list(std::exchange(m_ids[number], id), id,
               m_engines[static_cast<std::size_t>(number)]->address());
    }

    scripted_response answer(int number, const received_request& each)
    {
        if (each.body == deadly_body ||
            each.field("Prompt-Prefix").find(deadly_segment) != std::string::npos) {
            ++m_deadly_count;
            if (m_on_deadly) {
                m_on_deadly(each);
            }
            // The response is polled only while the caller's connection is open.
            scripted_response waiting;
            waiting.later = [this, number,
                             due = std::chrono::steady_clock::now() +
                                   m_deadly_delay.load()]() -> std::optional<scripted_response> {
                if (std::chrono::steady_clock::now() < due) {
                    return std::nullopt;
                }
                ++m_crash_count;
                crash(number);
                return scripted_response{};
            };
            return waiting;
        }
        return make_response(m_status,
                             "Request-Id: " + each.field("Request-Id") + "\r\nResponse-Seal: s\r\n",
                             "id: 1\ndata: event\n\n");
    }

    list_function m_list;
    std::function<void(const received_request&)> m_on_deadly;
    std::vector<std::unique_ptr<scripted_server>> m_engines;
    std::mutex m_mutex;
    std::map<int, std::string> m_ids;
    std::atomic<unsigned> m_status{200};
    std::atomic<std::size_t> m_deadly_count{0};
    std::atomic<std::size_t> m_crash_count{0};
    std::atomic<std::chrono::milliseconds> m_deadly_delay{};
    std::atomic<int> m_incarnations{0};
};

} // namespace cicadaport::platform::testing
