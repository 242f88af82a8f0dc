#include "plugins/forward/admission.hpp"

#include "plugins/forward/conclusion.hpp"
#include "plugins/forward/drain.hpp"
#include "plugins/forward/owner_forwarding.hpp"
#include "plugins/forward/placement.hpp"
#include "plugins/forward/step.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace pistachiohub::forward
{

namespace
{

/// A request, received from a caller or another daemon, whose id this incarnation owns.
struct submission
{
    waiter sender;
    identity::request_id id;
    std::string service;
    std::string body;
};

void answer_without_record(step& current, submission const& subject, outcome result, reason cause)
{
    increment_counter(current, metric::refusals, cause);
    answer_waiter(current, subject.sender, subject.id, subject.service, result, cause, {});
}

/// Adds a waiter unless it is known already: a repeated `submit` must not be answered twice.
void add_waiter(request& subject, waiter sender)
{
    auto const is_same = [&sender](waiter const& other)
    {
        return other.daemon == sender.daemon &&
               other.daemon_incarnation == sender.daemon_incarnation &&
               other.exchange == sender.exchange;
    };
    if (std::none_of(subject.waiters.begin(), subject.waiters.end(), is_same))
        subject.waiters.push_back(std::move(sender));
}

bool is_same_request(request const& known, submission const& subject)
{
    return known.service == subject.service && known.body_size == subject.body.size() &&
           known.fingerprint == retry::fingerprint(subject.service, subject.body);
}

/// Handles a request whose id is already in the table: answers it from the record, or adds its
/// sender to the waiters of the open request.
void join_known_request(step& current, request& known, submission subject)
{
    if (!is_same_request(known, subject))
    {
        answer_without_record(current, subject, outcome::unresolved, reason::id_reused);
        return;
    }
    if (known.phase == request_phase::closed)
    {
        answer_from_record(current, subject.sender, known);
        return;
    }
    add_waiter(known, std::move(subject.sender));
    update_timer(current.state.requests, known);
}

/// @returns the reason to refuse a new request, or `ok`.
reason check_request(step const& current, request const& subject)
{
    auto const& requests = current.state.requests;
    if (subject.id.epoch > std::uint64_t{requests.newest_epoch} + 1)
        return reason::future_epoch;
    if (find_service(current, subject.service) == nullptr)
        return reason::unknown_service;
    if (refuses_new_requests(current))
        return reason::draining;
    if (retry::is_quarantined(current.state.quarantine, subject.fingerprint, current.now))
        return reason::quarantined;
    if (requests.retained_bytes > max_retained_bytes)
        return reason::daemon_overloaded;
    if (subject.deadline <= current.now)
        return reason::queue_deadline;
    return reason::ok;
}

/// Queues an accepted request, after its intent has been journaled where the service requires it.
void accept(step& current, request& subject)
{
    auto const& service = *find_service(current, subject.service);
    subject.kind = service.kind;
    subject.journal = service.journal;
    auto& state = current.state.services[subject.service];
    retry::deposit(state.retries);
    limit::record_request(state.shifts, current.now);
    auto const needs_intent = service.kind == configuration::service_kind::at_most_once &&
                              service.journal == configuration::journal_mode::write_ahead;
    if (!needs_intent)
    {
        enqueue(current, subject);
        return;
    }
    subject.phase = request_phase::awaiting_intent;
    subject.is_journaled = true;
    update_timer(current.state.requests, subject);
    emit(current, events::store_command{events::append_intent{subject.id}});
}

/// @returns true if the limit on all ids, or the separate limit on ids of future epochs, is
/// reached.
bool is_table_full(request_table const& table, identity::request_id const& id)
{
    if (table.requests.size() >= max_requests)
        return true;
    auto const is_future = id.epoch > std::uint64_t{table.newest_epoch} + 1;
    return is_future && table.future_requests >= max_future_requests;
}

void admit(step& current, submission subject)
{
    auto& table = current.state.requests;
    auto* const known = find(table, subject.id);
    if (known != nullptr)
    {
        join_known_request(current, *known, std::move(subject));
        return;
    }
    if (std::uint64_t{subject.id.epoch} + retention_epochs < table.newest_epoch)
    {
        answer_without_record(current, subject, outcome::unresolved, reason::expired);
        return;
    }
    // The final write of the settlement ledger has begun, so that no further outcome can be
    // recorded. `not_run` is still true: an earlier copy of the id would be in the table, and later
    // copies are refused here as well.
    if (is_flushing_settlement(current))
    {
        answer_without_record(current, subject, outcome::not_run, reason::not_ready);
        return;
    }
    // The id cannot be recorded, so that a later copy of it could run. `not_run` would be unproven.
    if (is_table_full(table, subject.id))
    {
        answer_without_record(current, subject, outcome::unresolved, reason::daemon_overloaded);
        return;
    }
    auto& added = insert(table, subject.id, subject.service, std::move(subject.body));
    added.fingerprint = retry::fingerprint(added.service, added.body);
    added.deadline = subject.sender.deadline;
    added.waiters.push_back(std::move(subject.sender));
    auto const cause = check_request(current, added);
    if (cause == reason::future_epoch)
        ++table.future_requests;
    // Closing a request in the phase `queued` removes it from the waiting queue. This one has not
    // been queued yet, hence `running`.
    added.phase = request_phase::running;
    if (cause == reason::ok)
        accept(current, added);
    else
        close_without_answer(current, added, cause);
}

/// @returns a new id for a request without one. Its random part keeps callers from choosing the
/// same id.
identity::request_id generate_id(step& current)
{
    constexpr int base = 36;
    std::array<char, 16> digits{};
    auto unique = std::string("generated-");
    for (auto const number : {current.state.next_generated_id++, next_random(current)})
    {
        auto const end =
            std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
        unique.append(digits.data(), end);
        unique.push_back('-');
    }
    unique.pop_back();
    return {current.world.own_name,
            current.world.own_incarnation,
            current.state.requests.newest_epoch,
            std::move(unique)};
}

bool is_own(step const& current, identity::request_id const& id)
{
    return id.owner == current.world.own_name && id.incarnation == current.world.own_incarnation;
}

bool may_omit_id(step const& current, std::string_view name)
{
    auto const* const service = find_service(current, name);
    return service != nullptr && service->kind == configuration::service_kind::idempotent;
}

} // namespace

void receive_request(step& current, events::caller_request subject)
{
    if (subject.id.has_value() && !is_own(current, *subject.id))
    {
        forward_to_owner(current, std::move(subject));
        return;
    }
    waiter sender{{}, 0, subject.exchange, subject.deadline};
    auto id = subject.id.has_value() ? *subject.id : generate_id(current);
    submission own{
        std::move(sender), std::move(id), std::move(subject.service), std::move(subject.body)};
    if (!subject.id.has_value() && !may_omit_id(current, own.service))
    {
        auto const cause = find_service(current, own.service) == nullptr
                               ? reason::unknown_service
                               : reason::missing_request_id;
        answer_without_record(current, own, outcome::not_run, cause);
        return;
    }
    admit(current, std::move(own));
}

void receive_submit(step& current,
                    messages::submit content,
                    std::string_view sender,
                    std::uint64_t sender_incarnation)
{
    auto const deadline = current.now + std::chrono::milliseconds(content.remaining_ms);
    submission subject{{std::string(sender), sender_incarnation, content.exchange, deadline},
                       std::move(content.id),
                       std::move(content.service),
                       std::move(content.body)};
    if (!is_own(current, subject.id))
    {
        answer_without_record(current, subject, outcome::unresolved, reason::owner_restarted);
        return;
    }
    admit(current, std::move(subject));
}

void apply_intent_durable(step& current, identity::request_id const& id)
{
    auto* const subject = find(current.state.requests, id);
    if (subject == nullptr || subject->phase != request_phase::awaiting_intent)
        return;
    enqueue(current, *subject);
}

void apply_intent_refused(step& current, identity::request_id const& id)
{
    auto* const subject = find(current.state.requests, id);
    if (subject == nullptr || subject->phase != request_phase::awaiting_intent)
        return;
    subject->is_journaled = false;
    close_without_answer(current, *subject, reason::journal_unavailable);
}

} // namespace pistachiohub::forward
