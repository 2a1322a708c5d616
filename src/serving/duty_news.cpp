#include "cicadaport/serving/duty_news.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <initializer_list>

namespace cicadaport::serving {
namespace {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using google::protobuf::io::StringOutputStream;
using format = google::protobuf::internal::WireFormatLite;

enum news_field { field_time = 20, field_reported, field_usage, field_receipt };

constexpr std::uint32_t tag_of(int field, format::WireType type)
{
    return static_cast<std::uint32_t>(field) << format::kTagTypeBits |
           static_cast<std::uint32_t>(type);
}

constexpr auto number_type = format::WIRETYPE_VARINT;
constexpr auto bytes_type = format::WIRETYPE_LENGTH_DELIMITED;

// Writes one message.
class message_writer {
public:
    message_writer& number(int field, std::uint64_t value)
    {
        CodedOutputStream out{&m_stream};
        out.WriteTag(tag_of(field, number_type));
        out.WriteVarint64(value);
        return *this;
    }
    message_writer& fixed(int field, std::uint64_t value)
    {
        CodedOutputStream out{&m_stream};
        out.WriteTag(tag_of(field, format::WIRETYPE_FIXED64));
        out.WriteLittleEndian64(value);
        return *this;
    }
    message_writer& bytes(int field, const std::string& value)
    {
        CodedOutputStream out{&m_stream};
        out.WriteTag(tag_of(field, bytes_type));
        out.WriteVarint32(static_cast<std::uint32_t>(value.size()));
        out.WriteString(value);
        return *this;
    }
    const std::string& text() const noexcept { return m_text; }

private:
    std::string m_text;
    StringOutputStream m_stream{&m_text};
};

// Calls `take` with the tag of each field and the input, from which it reads the value; it returns
// whether the value could be read. Returns whether the whole message could be.
template <typename Take>
bool for_each_field(std::string_view message, Take take)
{
    CodedInputStream in{reinterpret_cast<const std::uint8_t*>(message.data()),
                        static_cast<int>(message.size())};
    while (const auto tag = in.ReadTag()) {
        if (!take(tag, in)) {
            return false;
        }
    }
    return in.ConsumedEntireMessage();
}

bool read_bytes(CodedInputStream& in, std::string& out)
{
    std::uint32_t size = 0;
    return in.ReadVarint32(&size) && in.ReadString(&out, static_cast<int>(size));
}

bool read_account(std::string_view message, duties::account_counts& into)
{
    std::string account;
    std::uint64_t runs = 0;
    const bool whole = for_each_field(message, [&](std::uint32_t tag, CodedInputStream& in) {
        return tag == tag_of(1, bytes_type)    ? read_bytes(in, account)
               : tag == tag_of(2, number_type) ? in.ReadVarint64(&runs)
                                               : format::SkipField(&in, tag);
    });
    into[account] = runs;
    return whole;
}

bool read_usage(std::string_view message, duty_news& into)
{
    auto& usage = into.usage.emplace_back();
    std::string part;
    return for_each_field(message, [&](std::uint32_t tag, CodedInputStream& in) {
        if (tag == tag_of(1, number_type)) {
            return in.ReadVarint64(&usage.first);
        }
        return tag == tag_of(2, bytes_type)
                   ? read_bytes(in, part) && read_account(part, usage.second)
                   : format::SkipField(&in, tag);
    });
}

// Reads the numbers in the fields from 1 on. Fields that are absent keep their values.
bool read_numbers(std::string_view message,
                  std::initializer_list<std::optional<std::uint64_t>*> numbers)
{
    return for_each_field(message, [&](std::uint32_t tag, CodedInputStream& in) {
        int field = 0;
        for (auto* each : numbers) {
            if (tag == tag_of(++field, number_type)) {
                return in.ReadVarint64(&each->emplace());
            }
        }
        return format::SkipField(&in, tag);
    });
}

bool read_reported(std::string_view message, duty_news& into)
{
    auto& reported = into.reported.emplace();
    std::optional<std::uint64_t> window;
    std::optional<std::uint64_t> delivered;
    const bool whole =
        read_numbers(message, {&window, &reported.record, &delivered, &reported.epoch});
    reported.window = window.value_or(0);
    reported.delivered = delivered.value_or(0) != 0;
    return whole;
}

bool read_receipt(std::string_view message, duty_news& into)
{
    std::optional<std::uint64_t> window;
    std::optional<std::uint64_t> runs;
    const bool whole = read_numbers(message, {&window, &runs});
    into.receipts.push_back({window.value_or(0), runs.value_or(0)});
    return whole;
}

} // namespace

std::string encode(const duty_news& news)
{
    message_writer out;
    if (news.time_of_day) {
        out.fixed(field_time,
                  static_cast<std::uint64_t>(news.time_of_day->time_since_epoch().count()));
    }
    if (news.reported) {
        message_writer reported;
        reported.number(1, news.reported->window).number(3, news.reported->delivered ? 1 : 0);
        if (news.reported->record) {
            reported.number(2, *news.reported->record);
        }
        if (news.reported->epoch) {
            reported.number(4, *news.reported->epoch);
        }
        out.bytes(field_reported, reported.text());
    }
    for (const auto& [window, counts] : news.usage) {
        message_writer usage;
        usage.number(1, window);
        for (const auto& [account, runs] : counts) {
            message_writer entry;
            entry.bytes(1, account).number(2, runs);
            usage.bytes(2, entry.text());
        }
        out.bytes(field_usage, usage.text());
    }
    for (const auto& each : news.receipts) {
        message_writer receipt;
        receipt.number(1, each.window).number(2, each.runs);
        out.bytes(field_receipt, receipt.text());
    }
    return out.text();
}

duty_news decode_duty_news(std::string_view datagram)
{
    duty_news out;
    std::string part;
    const bool whole = for_each_field(datagram, [&](std::uint32_t tag, CodedInputStream& in) {
        switch (tag) {
        case tag_of(field_time, format::WIRETYPE_FIXED64): {
            std::uint64_t ms = 0;
            const bool is_read = in.ReadLittleEndian64(&ms);
            out.time_of_day =
                duties::time_of_day{std::chrono::milliseconds{static_cast<std::int64_t>(ms)}};
            return is_read;
        }
        case tag_of(field_reported, bytes_type):
            return read_bytes(in, part) && read_reported(part, out);
        case tag_of(field_usage, bytes_type):
            return read_bytes(in, part) && read_usage(part, out);
        case tag_of(field_receipt, bytes_type):
            return read_bytes(in, part) && read_receipt(part, out);
        default:
            return format::SkipField(&in, tag);
        }
    });
    return whole ? out : duty_news{};
}

std::string encode_duty_record(const duties::duty_record& record)
{
    message_writer out;
    out.bytes(1, record.holder).bytes(2, record.content);
    if (record.epoch) {
        out.number(3, *record.epoch);
    }
    return out.text();
}

std::optional<duties::duty_record> decode_duty_record(std::string_view value, std::uint64_t offset)
{
    duties::duty_record out;
    out.offset = offset;
    const bool whole = for_each_field(value, [&](std::uint32_t tag, CodedInputStream& in) {
        return tag == tag_of(1, bytes_type)    ? read_bytes(in, out.holder)
               : tag == tag_of(2, bytes_type)  ? read_bytes(in, out.content)
               : tag == tag_of(3, number_type) ? in.ReadVarint64(&out.epoch.emplace())
                                               : format::SkipField(&in, tag);
    });
    return whole ? std::optional{std::move(out)} : std::nullopt;
}

} // namespace cicadaport::serving
