// Measures what one record and one snapshot cost the fold at the large size.
#include "cicadaport/fold/state.h"

#include <record.pb.h>

#include <chrono>
#include <iostream>
#include <string>

namespace {

namespace fold = cicadaport::fold;
namespace protocol = cicadaport::protocol;
using clock_type = std::chrono::steady_clock;

constexpr int accounts = 2'800;
constexpr int replicas = 720;
constexpr int records = 100'000;
constexpr int repetitions = 20;

void emit(const std::string& metric, double value, const std::string& unit)
{
    std::cout << R"({"bench": "control", "metric": ")" << metric << R"(", "value": )" << value
              << R"(, "unit": ")" << unit << R"(", "target": ""})" << std::endl;
}

double microseconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - start).count();
}

std::string hexadecimal_number(int number)
{
    constexpr std::size_t digits = 64;
    auto text = std::to_string(number);
    return std::string(digits - text.size(), '0') + text;
}

// Returns an edit with every section of a document of the large size.
protocol::record make_document()
{
    protocol::record record;
    record.set_append_id("document");
    auto& edit = *record.mutable_edit();
    edit.set_schema_version(cicadaport::configuration::schema_version);
    const auto add = [&](const std::string& name, const std::string& text) {
        auto& section = *edit.add_sections();
        section.set_section(name);
        section.set_text(text);
    };
    add("priorities", "priorities:\n  - {name: counter, rank: 0}\n");
    add("models", "models:\n  - {name: m, version: a}\n");
    std::string callers = "callers:\n";
    for (int i = 0; i < accounts; ++i) {
        callers += "  - {account: shop-" + std::to_string(i) +
                   ", priority: counter, key_sha256: '" + hexadecimal_number(i) + "'}\n";
    }
    add("callers", callers);
    std::string endpoints = "endpoints:\n";
    for (int i = 0; i < replicas; ++i) {
        endpoints += "  - {name: engine-" + std::to_string(i) +
                     ", kind: engine, serves: m, address: 127.0.0.1:" + std::to_string(1 + i) +
                     ", availability_zone: a}\n";
    }
    add("endpoints", endpoints);
    return record;
}

std::string make_wish(std::uint64_t after)
{
    protocol::record record;
    record.set_append_id("3f2504e04f8941d39a0c0305e82c" + std::to_string(after));
    record.set_proposed_after(after);
    record.mutable_endpoint_wish()->set_endpoint("engine-" + std::to_string(after % replicas));
    record.mutable_endpoint_wish()->set_drain(after % 2 == 0);
    return record.SerializeAsString();
}

void measure_records(fold::state& state)
{
    const auto start = clock_type::now();
    for (int i = 0; i < records; ++i) {
        const auto after = state.offset();
        state.apply(after + 1, make_wish(after));
    }
    emit("fold_record_with_snapshots", microseconds_since(start) / records, "us");
}

void measure_snapshots(const fold::state& state)
{
    const auto start = clock_type::now();
    std::string bytes;
    for (int i = 0; i < repetitions; ++i) {
        bytes = state.serialize();
    }
    emit("serialize_state", microseconds_since(start) / repetitions, "us");
    emit("state_size", static_cast<double>(bytes.size()), "bytes");
    const auto installed_at = clock_type::now();
    const auto other = fold::state::deserialize(bytes);
    emit("take_over_state", microseconds_since(installed_at), "us");
}

} // namespace

int main()
{
    fold::state state;
    const auto start = clock_type::now();
    const auto made = state.apply(1, make_document().SerializeAsString());
    if (!made.accepted) {
        std::cerr << made.reason << '\n';
        return 1;
    }
    emit("fold_edit_of_whole_document", microseconds_since(start), "us");
    measure_records(state);
    measure_snapshots(state);
    return 0;
}
