#include "cicadaport/routing/estimate.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cicadaport::routing {
namespace {

using nlohmann::json;

// Weight of the newest output in the moving averages.
constexpr double newest_weight = 1.0 / 16;

bool is_space(char value)
{
    return value == ' ' || (value >= '\t' && value <= '\r');
}

// Counts words and hashes them in blocks, over several pieces of text.
class prompt_hasher {
public:
    explicit prompt_hasher(prompt_summary& out) : m_out{out} {}

    void read(std::string_view text)
    {
        for (std::size_t at = 0; at < text.size();) {
            while (at < text.size() && is_space(text[at])) {
                ++at;
            }
            const auto begin = at;
            while (at < text.size() && !is_space(text[at])) {
                ++at;
            }
            if (at > begin) {
                add(text.substr(begin, at - begin));
            }
        }
    }

private:
    void add(std::string_view word)
    {
        m_chain = XXH64(word.data(), word.size(), m_chain);
        if (++m_out.tokens % block_tokens == 0) {
            m_out.blocks.push_back(m_chain);
        }
    }

    prompt_summary& m_out;
    std::uint64_t m_chain = 0;
};

void read_text(const json& object, const char* key, prompt_hasher& words)
{
    const auto found = object.find(key);
    if (found != object.end() && found->is_string()) {
        words.read(found->get_ref<const std::string&>());
    }
}

} // namespace

prompt_summary summarize_prompt(std::string_view body)
{
    prompt_summary out;
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return out;
    }
    prompt_hasher words{out};
    read_text(parsed, "prompt", words);
    const auto messages = parsed.find("messages");
    if (messages != parsed.end() && messages->is_array()) {
        for (const auto& message : *messages) {
            if (message.is_object()) {
                read_text(message, "role", words);
                read_text(message, "content", words);
            }
        }
    }
    const auto max_tokens = parsed.find("max_tokens");
    if (max_tokens != parsed.end() && max_tokens->is_number_unsigned()) {
        out.max_output_tokens = max_tokens->get<std::uint32_t>();
    }
    return out;
}

void output_estimator::record_output(const request_class& of, std::uint32_t tokens)
{
    const std::scoped_lock lock{m_mutex};
    const auto [found, first] = m_classes.try_emplace(of);
    auto& known = found->second;
    if (first) {
        known.mean = tokens;
        return;
    }
    known.error += newest_weight * (std::abs(tokens - known.mean) - known.error);
    known.mean += newest_weight * (tokens - known.mean);
}

output_estimate output_estimator::estimate_output(const request_class& of, std::uint32_t fallback,
                                                  std::uint32_t max_tokens) const
{
    output_estimate out{static_cast<double>(fallback), static_cast<double>(fallback)};
    {
        const std::scoped_lock lock{m_mutex};
        const auto found = m_classes.find(of);
        if (found != m_classes.end()) {
            out = {found->second.mean, found->second.error};
        }
    }
    if (max_tokens > 0) {
        out.tokens = std::min<double>(out.tokens, max_tokens);
    }
    return out;
}

} // namespace cicadaport::routing
