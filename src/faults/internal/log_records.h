// Turns the log into the records that the checker reads.
#pragma once

#include "cicadaport/faults/records.h"
#include "cicadaport/fold/state.h"

#include <string_view>

namespace cicadaport::faults {

// Folds one record after the other and keeps what was accepted. Not thread safe.
class log_recorder {
public:
    explicit log_recorder(run_records& records) : m_records{records} {}

    void take(std::uint64_t offset, std::string_view payload, time_bounds when);

    std::uint64_t offset() const noexcept { return m_folded.offset(); }

private:
    run_records& m_records;
    fold::state m_folded;
};

} // namespace cicadaport::faults
