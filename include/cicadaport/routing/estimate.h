// What a request will cost an engine, as far as can be told before it runs.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::routing {

// Tokens in one block of an engine's prefix cache.
constexpr std::uint32_t block_tokens = 16;

// What the body of a completion request says of its size.
struct prompt_summary {
    std::uint32_t tokens = 0;
    // The most that the caller takes; 0 when the body does not say.
    std::uint32_t most_output_tokens = 0;
    // Hashes of the prompt's whole blocks, each covering all before it, as
    // engines report them in cache events.
    std::vector<std::uint64_t> blocks;
};

// Reads a completion's JSON body. One word counts as one token. A body that
// can't be read gives an empty summary: the engine says what is wrong with it.
// Pure; any thread.
prompt_summary summarize_prompt(std::string_view body);

// An expectation and how far off it has been.
struct output_estimate {
    double tokens = 0;
    // Mean absolute error of earlier estimates, in tokens.
    double error = 0;
};

// Learns how long the answers of each class are. A class is a priority and a
// model: callers of one priority ask alike.
//
//   output_estimator outputs;
//   outputs.learn({"counter", "order-assistant"}, 41);
//   const auto expected = outputs.expect({"counter", "order-assistant"}, 128, 0);
//
// Thread safety: all members from any thread.
class output_estimator {
public:
    struct request_class {
        std::string priority;
        std::string model;
        auto operator<=>(const request_class&) const = default;
    };

    // Notes the length of one whole answer.
    void learn(const request_class& of, std::uint32_t tokens);

    // Returns the expected length: `fallback` before anything was learned, and
    // never more than `most` unless that is 0.
    output_estimate expect(const request_class& of, std::uint32_t fallback,
                           std::uint32_t most) const;

private:
    struct learned {
        double mean = 0;
        double error = 0;
    };

    mutable std::mutex m_mutex;
    std::map<request_class, learned> m_classes;
};

} // namespace cicadaport::routing
