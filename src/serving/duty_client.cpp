#include "cicadaport/serving/duty_client.h"

#include "cicadaport/serving/duty_news.h"
#include "internal/exchange_constants.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>

namespace cicadaport::serving {
namespace {

using step = duties::subject_authority::step;

constexpr unsigned status_condition_failed = 412;
// A permit that lasts for less than this is not used: connecting takes a part of it.
constexpr milliseconds min_useful_permit{20};

} // namespace

duty_client::duty_client(host_state& host, http::address store, std::uint32_t partitions,
                         duty_settings settings, std::string holder)
    : m_host{host}, m_store{std::move(store)}, m_partitions{std::max(partitions, 1U)},
      m_settings{std::move(settings)}, m_holder{std::move(holder)}
{
}

duty_client::subject_state& duty_client::state_of(const std::string& subject)
{
    const auto found = m_subjects.find(subject);
    if (found != m_subjects.end()) {
        return found->second;
    }
    const auto digest = XXH64(subject.data(), subject.size(), 0);
    auto& added = m_subjects.try_emplace(subject, m_holder, m_settings.lease_time).first->second;
    added.partition = static_cast<std::uint32_t>(digest % m_partitions);
    begin_history(added);
    return added;
}

void duty_client::begin_history(subject_state& state) const
{
    if (const auto known_since = m_host.store_history.known_since()) {
        state.authority.begin_history(m_host.store_history.epoch(), *known_since);
        state.last_record.reset();
    }
}

void duty_client::follow_history()
{
    const auto& history = m_host.store_history;
    if (m_generation == history.generation() && m_epoch == history.epoch()) {
        return;
    }
    m_generation = history.generation();
    m_epoch = history.epoch();
    ++m_history_changes;
    for (auto& [subject, state] : m_subjects) {
        begin_history(state);
    }
    if (m_generation > 0 && !m_subjects.empty()) {
        spdlog::warn("duty_history_begins generation={} epoch={} subjects={} pause_ms={} "
                     "effect=\"records are read anew, nothing is recorded before the pause ends\"",
                     m_generation, m_epoch.value_or(0), m_subjects.size(),
                     (m_settings.lease_time + duties::subject_authority::margin).count());
    }
}

bool duty_client::is_current(const std::optional<call_response>& answer)
{
    const bool out = answer && m_host.accept_store_answer(answer->epoch);
    follow_history();
    return out;
}

void duty_client::perform(duty_request request, completion on_done)
{
    follow_history();
    const auto subject = request.subject;
    auto& state = state_of(subject);
    if (state.request) {
        on_done({});
        return;
    }
    const auto now = m_host.timers.now();
    state.authority.request(request.body, now);
    state.request = std::move(request);
    state.on_done = std::move(on_done);
    state.is_unanswered = false;
    advance(subject);
}

bool duty_client::is_busy(const std::string& subject) const
{
    const auto found = m_subjects.find(subject);
    return found != m_subjects.end() && found->second.request;
}

void duty_client::read_newest(const std::string& subject)
{
    follow_history();
    state_of(subject).authority.request_newest();
    advance(subject);
}

bool duty_client::knows_newest(const std::string& subject)
{
    follow_history();
    const auto found = m_subjects.find(subject);
    return found != m_subjects.end() && found->second.authority.knows_newest();
}

const std::optional<duties::duty_record>& duty_client::newest(const std::string& subject)
{
    follow_history();
    return state_of(subject).authority.newest();
}

std::optional<time_point> duty_client::complete_since(const std::string& subject) const
{
    const auto found = m_subjects.find(subject);
    return found != m_subjects.end() ? found->second.authority.complete_since()
                                     : m_host.store_history.known_since();
}

void duty_client::handle_announced_record(const std::string& subject, std::uint64_t offset)
{
    follow_history();
    state_of(subject).authority.handle_announced_record(offset, m_host.timers.now());
}

void duty_client::advance(const std::string& subject)
{
    follow_history();
    auto& state = state_of(subject);
    const auto now = m_host.timers.now();
    if (state.request) {
        if (state.is_calling) {
            return;
        }
        const auto held = state.authority.current_permit(now);
        if (held && held->expires - now >= min_useful_permit) {
            call(subject, *held);
            return;
        }
        if (state.is_unanswered) {
            end(subject, {duty_outcome::result::unanswered, 0, state.last_token, state.last_record},
                "the permit has ended");
            return;
        }
        if (now >= state.request->give_up_at) {
            end(subject, {}, "no permit in time");
            return;
        }
        if (held || !state.authority.is_requested()) {
            // The permit ended before a call could be made under it.
            state.authority.withdraw();
            state.authority.request(state.request->body, now);
        }
        if (state.request->may_replace && state.authority.knows_newest() &&
            !state.request->may_replace(state.authority.newest())) {
            end(subject, {}, "another report is recorded");
            return;
        }
    }
    const auto next = state.authority.next(now);
    switch (next.what) {
    case step::none:
        break;
    case step::wait:
        advance_at(subject, state.request ? std::min(next.at, state.request->give_up_at) : next.at);
        break;
    case step::read:
        state.authority.begin(next, now);
        read(subject, {}, 0);
        break;
    case step::append:
        state.authority.begin(next, now);
        append(subject, next);
        break;
    }
}

void duty_client::advance_at(const std::string& subject, time_point when)
{
    state_of(subject).timer = m_host.timers.call_at(when, [this, subject] { advance(subject); });
}

void duty_client::read(const std::string& subject, const std::string& after_key, std::uint64_t end)
{
    ++m_counts.reads;
    call_once(
        m_host, m_store, m_host.wire.newest_duties_request(state_of(subject).partition, after_key),
        store_timeout, [this, subject, after_key, end](const std::optional<call_response>& answer) {
            handle_read(subject, after_key, end, answer);
        });
}

void duty_client::handle_read(const std::string& subject, const std::string& after_key,
                              std::uint64_t end, const std::optional<call_response>& answer)
{
    const auto history = m_history_changes;
    const bool is_usable = is_current(answer);
    auto& authority = state_of(subject).authority;
    const auto now = m_host.timers.now();
    try {
        if (!is_usable) {
            throw store_error{store_error::kind::refused,
                              answer ? "the answer belongs to an ended history" : "no answer"};
        }
        const auto page = m_host.wire.read_newest(answer->status, answer->body);
        const auto partition_end = after_key.empty() ? page.next_offset : end;
        for (const auto& each : page.entries) {
            if (each.key != subject) {
                continue;
            }
            auto record = decode_duty_record(each.value.value_or(""), each.offset);
            if (!record) {
                // Whoever wrote it, it is replaced as the record of another host.
                record = duties::duty_record{"", "", each.offset};
            }
            finish_read(subject, std::move(record), partition_end);
            return;
        }
        if (page.more && !page.entries.empty() && history == m_history_changes) {
            read(subject, page.entries.back().key, partition_end);
            return;
        }
        finish_read(subject, std::nullopt, partition_end);
        return;
    }
    catch (const std::exception& error) {
        if (m_log_budget.try_acquire(now)) {
            spdlog::info("duty_record_unread subject={} reason=\"{}\"", subject, error.what());
        }
        authority.handle_no_answer(now);
    }
    advance(subject);
}

void duty_client::finish_read(const std::string& subject, std::optional<duties::duty_record> newest,
                              std::uint64_t partition_end)
{
    auto& authority = state_of(subject).authority;
    if (const auto evidence = authority.find_discontinuity(newest, partition_end);
        !evidence.empty()) {
        m_host.record_unannounced_return(feed::duties, evidence);
        follow_history();
    }
    authority.handle_read_result(std::move(newest), partition_end, m_host.timers.now());
    advance(subject);
}

void duty_client::append(const std::string& subject,
                         const duties::subject_authority::next_step& step)
{
    ++m_counts.appends;
    const feed_entry record{subject, encode_duty_record({m_holder, step.content, 0, m_epoch})};
    call_once(m_host, m_store,
              m_host.wire.append_duty_request(state_of(subject).partition, record, step.offset),
              store_timeout, [this, subject](const std::optional<call_response>& answer) {
                  const auto history = m_history_changes;
                  const bool is_usable = is_current(answer);
                  auto& state = state_of(subject);
                  const auto now = m_host.timers.now();
                  const auto offset = is_usable
                                          ? m_host.wire.read_append(answer->status, answer->body)
                                          : std::nullopt;
                  if (offset && history == m_history_changes) {
                      state.authority.handle_append_result(*offset, now);
                      for (auto& [name, other] : m_subjects) {
                          if (name != subject && other.partition == state.partition) {
                              other.authority.handle_other_append(*offset);
                          }
                      }
                      if (m_on_record) {
                          m_on_record(subject, *offset);
                      }
                  }
                  else if (offset) {
                      state.authority.handle_append_result(*offset, now);
                  }
                  else if (is_usable && answer->status == status_condition_failed) {
                      state.authority.handle_append_refusal(now);
                  }
                  else {
                      state.authority.handle_no_answer(now);
                  }
                  if (!offset && m_log_budget.try_acquire(now)) {
                      spdlog::info("duty_not_recorded subject={} status={}", subject,
                                   answer ? answer->status : 0);
                  }
                  advance(subject);
              });
}

void duty_client::call(const std::string& subject, const duties::permit& under)
{
    auto& state = state_of(subject);
    const auto sent = m_host.timers.now();
    const auto left = std::chrono::duration_cast<milliseconds>(under.expires - sent);
    state.is_calling = true;
    state.last_token = under.fencing_token;
    state.last_record = under.record;
    ++m_counts.calls;
    const duty_call made{state.request->kind, m_holder, under.fencing_token, state.request->body};
    call_once(m_host, m_settings.address, m_host.wire.duty_request(m_settings.address, made),
              std::min(left, call_timeout),
              [this, subject, sent, under](const std::optional<call_response>& answer) {
                  follow_history();
                  auto& asked = state_of(subject);
                  asked.is_calling = false;
                  const auto now = m_host.timers.now();
                  if (m_log_budget.try_acquire(now)) {
                      spdlog::info("duty_call subject={} token={} status={} took_ms={} "
                                   "permit_left_ms={}",
                                   subject, under.fencing_token, answer ? answer->status : 0,
                                   to_ms(now - sent).count(), to_ms(under.expires - now).count());
                  }
                  if (answer) {
                      end(subject,
                          {duty_outcome::result::answered, answer->status, under.fencing_token,
                           asked.last_record},
                          "");
                      return;
                  }
                  asked.is_unanswered = true;
                  advance_at(subject, now + call_backoff);
              });
}

void duty_client::end(const std::string& subject, const duty_outcome& outcome,
                      std::string_view reason)
{
    auto& state = state_of(subject);
    state.timer.cancel();
    state.authority.end_request();
    state.request.reset();
    const auto on_done = std::exchange(state.on_done, nullptr);
    switch (outcome.what) {
    case duty_outcome::result::not_permitted:
        ++m_counts.not_permitted;
        break;
    case duty_outcome::result::unanswered:
        ++m_counts.unanswered;
        break;
    case duty_outcome::result::answered:
        ++(is_success(outcome.status) ? m_counts.accepted : m_counts.refused);
        break;
    }
    if (!reason.empty() && m_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::info("duty_not_done subject={} token={} reason=\"{}\"", subject,
                     outcome.fencing_token, reason);
    }
    on_done(outcome);
}

} // namespace cicadaport::serving
