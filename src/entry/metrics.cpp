#include "cicadaport/entry/metrics.h"

#include "cicadaport/base/rcu.h"

#include <functional>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace cicadaport::entry {
namespace {

using prometheus::Histogram;

// Bucket bounds in seconds. They include the targets of 0.42 s for the time to first
// token and 78 ms for the inter-token latency.
const Histogram::BucketBoundaries request_time_buckets{0.01, 0.05, 0.1, 0.25, 0.5, 1,
                                                       2.5,  5,    10,  30,   60};
const Histogram::BucketBoundaries first_token_buckets{0.01, 0.025, 0.05, 0.1, 0.2, 0.42,
                                                      0.7,  1,     2,    5,   10};
const Histogram::BucketBoundaries gap_buckets{0.005, 0.01, 0.02, 0.04, 0.078, 0.12, 0.25, 0.5, 1};

double seconds(std::chrono::steady_clock::duration value)
{
    return std::chrono::duration<double>(value).count();
}

// Caches metrics by their labels. A lookup takes no lock; the first use of a new set
// of labels publishes an extended copy of the map.
template <typename Metric>
class handle_cache {
public:
    // Returns the metric for `labels`, created by `make` if it is new. Thread
    // safety: any thread.
    Metric& get(const std::string& labels, const std::function<Metric&()>& make)
    {
        if (auto* known = find(labels)) {
            return *known;
        }
        const std::scoped_lock lock{m_writers};
        auto& made = make();
        auto next = std::make_unique<handles>(copy());
        next->insert_or_assign(labels, &made);
        m_handles.replace(std::move(next));
        return made;
    }

private:
    using handles = std::unordered_map<std::string, Metric*>;

    Metric* find(const std::string& labels) const
    {
        const base::rcu_reader guard;
        const auto& known = m_handles.read(guard);
        const auto found = known.find(labels);
        return found == known.end() ? nullptr : found->second;
    }

    handles copy() const
    {
        const base::rcu_reader guard;
        return m_handles.read(guard);
    }

    std::mutex m_writers;
    base::published<handles> m_handles{std::make_unique<handles>()};
};

} // namespace

class metrics::implementation {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests =
        prometheus::BuildCounter()
            .Name("cicadaport_requests_total")
            .Help("Requests that ended, by priority, result and verdict")
            .Register(registry);
    prometheus::Family<Histogram>& request_time =
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

    telemetry::progress_gauges progress{registry};
    prometheus::Gauge& in_flight = prometheus::BuildGauge()
                                       .Name("cicadaport_requests_in_flight")
                                       .Help("Requests that are being answered")
                                       .Register(registry)
                                       .Add({});

    Histogram& request_time_of(const std::string& priority)
    {
        const auto make = [&]() -> Histogram& {
            return request_time.Add({{"priority", priority}}, request_time_buckets);
        };
        return request_time_handles.get(priority, make);
    }

    handle_cache<prometheus::Counter> request_handles;
    handle_cache<Histogram> request_time_handles;
    handle_cache<Histogram> first_token_handles;
    handle_cache<Histogram> gap_handles;
};

metrics::metrics() : m_impl{std::make_unique<implementation>()} {}
metrics::~metrics() = default;

void metrics::record_request_end(std::string_view priority, std::string_view result,
                                 base::verdict outcome, std::chrono::steady_clock::duration took)
{
    const std::string class_name{priority};
    std::string labels = class_name;
    labels += ' ';
    labels += result;
    labels += ' ';
    labels += base::to_string(outcome);
    const auto make = [&]() -> prometheus::Counter& {
        return m_impl->requests.Add({{"priority", class_name},
                                     {"result", std::string{result}},
                                     {"verdict", std::string{base::to_string(outcome)}}});
    };
    m_impl->request_handles.get(labels, make).Increment();
    m_impl->request_time_of(class_name).Observe(seconds(took));
}

void metrics::record_first_token(std::string_view priority,
                                 std::chrono::steady_clock::duration after)
{
    const std::string class_name{priority};
    const auto make = [&]() -> Histogram& {
        return m_impl->first_token_time.Add({{"priority", class_name}}, first_token_buckets);
    };
    m_impl->first_token_handles.get(class_name, make).Observe(seconds(after));
}

void metrics::record_token_gap(std::string_view priority, std::chrono::steady_clock::duration gap)
{
    const std::string class_name{priority};
    const auto make = [&]() -> Histogram& {
        return m_impl->token_gap.Add({{"priority", class_name}}, gap_buckets);
    };
    m_impl->gap_handles.get(class_name, make).Observe(seconds(gap));
}

std::string metrics::expose(const telemetry::progress& now, std::size_t in_flight) const
{
    m_impl->progress.set(now);
    m_impl->in_flight.Set(static_cast<double>(in_flight));
    return prometheus::TextSerializer{}.Serialize(m_impl->registry.Collect());
}

} // namespace cicadaport::entry
