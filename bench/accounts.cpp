// Measures what the check of a key costs a request: reading and removing the fields, hashing the
// key and looking it up. Prints JSON lines. Times are processor time, so that what else runs on the
// machine is not counted.
#include "platform/wire.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <time.h>
#include <vector>

namespace {

using namespace cicadaport;
using std::chrono::nanoseconds;

constexpr int keys_per_account = 4;
constexpr int checks_per_run = 200'000;
constexpr int runs = 5;

nanoseconds thread_time()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds{now.tv_sec} + nanoseconds{now.tv_nsec};
}

std::string key_text(std::size_t number)
{
    return "a828m82thhkmgjqn" + std::to_string(number);
}

accounts::key_set make_keys(std::size_t count)
{
    std::vector<accounts::account_entry> entries;
    for (std::size_t number = 0; number < count; ++number) {
        if (number % keys_per_account == 0) {
            entries.push_back({{"account-" + std::to_string(number), 1}, {}});
        }
        entries.back().keys.push_back(accounts::hash_key(key_text(number)));
    }
    return accounts::key_set{std::move(entries)};
}

// A head with the usual fields of a request.
transport::message_head make_head(const std::string& key)
{
    transport::message_head out;
    out.method = "POST";
    out.target = "/v1/x";
    out.fields = http::field_list{
        {"Host", "h.example"},     {"Request-Id", "r-123456"},       {"Deadline-Ms", "5000"},
        {"Token-Count", "900,80"}, {"Prompt-Prefix", "a:500,b:400"}, {"Content-Length", "5"}};
    if (!key.empty()) {
        out.fields.add("Authorization", "Bearer " + key);
    }
    return out;
}

// Returns the processor time per request of checking its key, without that of copying its head.
double check_ns(const platform::wire& adapter, const accounts::key_set& keys, std::size_t count,
                bool known)
{
    using std::chrono::milliseconds;
    std::vector<transport::message_head> heads;
    constexpr std::size_t different_heads = 1'000;
    for (std::size_t number = 0; number < different_heads; ++number) {
        const auto key = key_text(number * 7'919 % count);
        heads.push_back(make_head(known ? key : key + "x"));
    }
    auto best = nanoseconds::max();
    std::size_t accepted = 0;
    for (int run = 0; run < runs; ++run) {
        nanoseconds used{0};
        for (int done = 0; done < checks_per_run; done += different_heads) {
            auto copies = heads;
            const auto begin = thread_time();
            for (auto& each : copies) {
                const auto given = adapter.take_credentials(each);
                const accounts::view view{keys, milliseconds{1}, milliseconds{3'000}, {}};
                accepted += accounts::authenticate(given, view, false).holder != nullptr ? 1 : 0;
            }
            used += thread_time() - begin;
        }
        best = std::min(best, used);
    }
    if (accepted != (known ? std::size_t{runs} * checks_per_run : 0)) {
        std::puts("{\"error\":\"wrong result\"}");
    }
    return static_cast<double>(best.count()) / checks_per_run;
}

} // namespace

int main()
{
    const platform::wire adapter{http::address{"127.0.0.1", 1}};
    for (const std::size_t count : {80, 80'000}) {
        const auto begin = thread_time();
        const auto keys = make_keys(count);
        const auto made = thread_time() - begin;
        const nlohmann::json line{{"keys", count},
                                  {"known_key_ns", check_ns(adapter, keys, count, true)},
                                  {"unknown_key_ns", check_ns(adapter, keys, count, false)},
                                  {"build_ms", static_cast<double>(made.count()) / 1e6}};
        std::puts(line.dump().c_str());
    }
}
