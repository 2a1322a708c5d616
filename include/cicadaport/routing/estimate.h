// Estimates the size of a completion request before it runs.
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

// The size of a completion request, taken from its body.
struct prompt_summary {
    std::uint32_t tokens = 0;
    // The client's `max_tokens`; 0 if the body has none.
    std::uint32_t max_output_tokens = 0;
    // Hashes of the prompt's complete blocks. Each hash covers its block and all
    // blocks before it, as in the cache events of engines.
    std::vector<std::uint64_t> blocks;
};

// Parses the JSON body of a completion request. One word counts as one token. A
// malformed body gives an empty summary, because the engine reports the error.
// Pure; thread safe.
prompt_summary summarize_prompt(std::string_view body);

// An estimated output length and its error.
struct output_estimate {
    double tokens = 0;
    // Moving average of the absolute error of earlier estimates, in tokens.
    double error = 0;
};

// Estimates output lengths by a moving average per request class. A class is a
// priority and a model, because requests of one priority have similar outputs.
//
//   output_estimator outputs;
//   outputs.record_output({"counter", "order-assistant"}, 41);
//   const auto expected = outputs.estimate_output({"counter", "order-assistant"}, 128, 0);
//
// Thread safe.
class output_estimator {
public:
    struct request_class {
        std::string priority;
        std::string model;
        auto operator<=>(const request_class&) const = default;
    };

    // Records the length of one complete output.
    void record_output(const request_class& of, std::uint32_t tokens);

    // Returns the expected length, which is `fallback` if the class has no
    // recorded output. It is limited to `max_tokens`, unless `max_tokens` is 0.
    output_estimate estimate_output(const request_class& of, std::uint32_t fallback,
                                    std::uint32_t max_tokens) const;

private:
    struct class_average {
        double mean = 0;
        double error = 0;
    };

    mutable std::mutex m_mutex;
    std::map<request_class, class_average> m_classes;
};

} // namespace cicadaport::routing
