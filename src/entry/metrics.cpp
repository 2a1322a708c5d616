#include "cicadaport/entry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace cicadaport::entry {
namespace {

using prometheus::Histogram;

// Bucket bounds in seconds, around the targets of 0.42 s to the first token
// and 78 ms between tokens.
const Histogram::BucketBoundaries whole_buckets{0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
const Histogram::BucketBoundaries first_token_buckets{0.01, 0.025, 0.05, 0.1, 0.2, 0.42,
                                                      0.7,  1,     2,    5,   10};
const Histogram::BucketBoundaries gap_buckets{0.005, 0.01, 0.02, 0.04, 0.078, 0.12, 0.25, 0.5, 1};

double seconds(std::chrono::steady_clock::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

class metrics::implementation {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests =
        prometheus::BuildCounter()
            .Name("cicadaport_requests_total")
            .Help("Requests that ended, by priority, result and verdict")
            .Register(registry);
    prometheus::Family<Histogram>& whole_time =
        prometheus::BuildHistogram()
            .Name("cicadaport_request_seconds")
            .Help("Time from a request's arrival to its end")
            .Register(registry);
    prometheus::Family<Histogram>& first_token_time =
        prometheus::BuildHistogram()
            .Name("cicadaport_first_token_seconds")
            .Help("Time from a request's arrival to its first token")
            .Register(registry);
    prometheus::Family<Histogram>& token_gap = prometheus::BuildHistogram()
                                                   .Name("cicadaport_between_tokens_seconds")
                                                   .Help("Time between two tokens of an answer")
                                                   .Register(registry);
};

metrics::metrics() : m_impl{std::make_unique<implementation>()} {}
metrics::~metrics() = default;

void metrics::request_ended(std::string_view priority, std::string_view result,
                            base::verdict outcome, std::chrono::steady_clock::duration took)
{
    m_impl->requests
        .Add({{"priority", std::string{priority}},
              {"result", std::string{result}},
              {"verdict", std::string{base::to_string(outcome)}}})
        .Increment();
    m_impl->whole_time.Add({{"priority", std::string{priority}}}, whole_buckets)
        .Observe(seconds(took));
}

void metrics::first_token(std::string_view priority, std::chrono::steady_clock::duration after)
{
    m_impl->first_token_time.Add({{"priority", std::string{priority}}}, first_token_buckets)
        .Observe(seconds(after));
}

void metrics::between_tokens(std::string_view priority, std::chrono::steady_clock::duration gap)
{
    m_impl->token_gap.Add({{"priority", std::string{priority}}}, gap_buckets).Observe(seconds(gap));
}

std::string metrics::expose() const
{
    return prometheus::TextSerializer{}.Serialize(m_impl->registry.Collect());
}

} // namespace cicadaport::entry
