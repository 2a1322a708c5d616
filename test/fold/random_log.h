// Random logs for property tests of the fold.
#pragma once

#include "cicadaport/configuration/document.h"

#include <platform.pb.h>
#include <record.pb.h>

#include <random>
#include <string>
#include <vector>

namespace cicadaport::fold {

// Generates logs with concurrent and conflicting records, like those of several
// processes and operators, and duplicates of earlier records. Equal seeds give
// equal logs.
class random_log {
public:
    explicit random_log(std::uint64_t seed) : m_random{seed} {}

    std::vector<protocol::log_entry> make(std::size_t size)
    {
        std::vector<protocol::log_entry> out(size);
        for (std::size_t i = 0; i < size; ++i) {
            out[i].set_offset(i + 1);
            const bool copy = i > 0 && below(10) == 0;
            out[i].set_payload(copy ? out[below(i)].payload() : make_record(i));
        }
        return out;
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>{0, bound - 1}(m_random);
    }

private:
    std::string make_record(std::size_t last_offset)
    {
        protocol::record record;
        record.set_append_id("append-" + std::to_string(last_offset));
        record.set_proposed_after(last_offset);
        record.set_author("process-" + std::to_string(below(3)));
        const auto recent = last_offset < 4 ? 0 : last_offset - below(4);
        switch (below(6)) {
        case 0:
            return with_edit(record);
        case 1:
            record.mutable_claim_lease()->set_partition("p");
            record.mutable_claim_lease()->set_observed_renewal_offset(m_last_claim_offset);
            m_last_claim_offset = last_offset + 1;
            break;
        case 2:
            record.mutable_renew_lease()->set_partition("p");
            record.mutable_renew_lease()->set_fencing_number(m_last_claim_offset);
            break;
        case 3:
            record.mutable_intent()->set_partition("p");
            record.mutable_intent()->set_fencing_number(m_last_claim_offset);
            record.mutable_intent()->mutable_order()->set_endpoint("e");
            record.mutable_intent()->mutable_order()->set_order_id(std::to_string(last_offset));
            break;
        case 4:
            record.mutable_endpoint_wish()->set_endpoint("e" + std::to_string(below(3)));
            record.mutable_endpoint_wish()->set_drain(below(2) == 0);
            break;
        default:
            record.mutable_state_snapshot()->set_covers_offset(recent);
            break;
        }
        return record.SerializeAsString();
    }

    std::string with_edit(protocol::record& record)
    {
        auto& edit = *record.mutable_edit();
        edit.set_schema_version(configuration::schema_version);
        auto& section = *edit.add_sections();
        section.set_section("models");
        section.set_based_on_offset(below(2) == 0 ? m_last_edit_offset : 0);
        section.set_text("models: [{name: m, version: v" + std::to_string(below(9)) + "}]\n");
        m_last_edit_offset = record.proposed_after() + 1;
        return record.SerializeAsString();
    }

    std::mt19937_64 m_random;
    std::uint64_t m_last_claim_offset = 0;
    std::uint64_t m_last_edit_offset = 0;
};

} // namespace cicadaport::fold
