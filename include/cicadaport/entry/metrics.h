// The Prometheus metrics of an entry process.
#pragma once

#include "cicadaport/base/verdict.h"
#include "cicadaport/telemetry/progress.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace cicadaport::entry {

// Counters and histograms of an entry process, by priority class.
//
// Thread safety: all members from any thread.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Records the end of a request; `result` is "ok" or the name of its failure.
    void record_request_end(std::string_view priority, std::string_view result,
                            base::verdict outcome, std::chrono::steady_clock::duration took);

    void record_first_token(std::string_view priority, std::chrono::steady_clock::duration after);
    void record_token_gap(std::string_view priority, std::chrono::steady_clock::duration gap);

    // Returns all metrics in Prometheus text format, including the process's
    // progress on the log and the number of requests in flight.
    std::string expose(const telemetry::progress& now, std::size_t in_flight) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::entry
