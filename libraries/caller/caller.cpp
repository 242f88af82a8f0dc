#include "libraries/caller/caller.hpp"

#include <algorithm>
#include <array>
#include <thread>

namespace pistachiohub::caller
{

namespace
{

constexpr auto lookup_timeout = std::chrono::milliseconds(1000);
/// Time beyond the deadline in which the entry host's verdict on the deadline may arrive.
constexpr auto answer_grace = std::chrono::milliseconds(250);
/// A transmission waits for at most half of the remaining time, so that a re-send can still find
/// the outcome; below this time it waits for all of it.
constexpr auto shortest_split_time = std::chrono::milliseconds(200);
constexpr auto pause_between_rounds = std::chrono::milliseconds(50);
constexpr auto pause_before_new_id = std::chrono::milliseconds(20);
constexpr std::uint64_t longest_deadline_ms = 60000;

/// Refusals that a new id would meet again.
bool is_permanent(reason cause)
{
    constexpr std::array permanent{reason::malformed_http,
                                   reason::body_too_large,
                                   reason::header_too_large,
                                   reason::bad_request_id,
                                   reason::missing_request_id,
                                   reason::bad_deadline,
                                   reason::bad_query,
                                   reason::unknown_service,
                                   reason::unknown_path,
                                   reason::id_reused,
                                   reason::queue_deadline,
                                   reason::deadline,
                                   reason::quarantined};
    return std::find(permanent.begin(), permanent.end(), cause) != permanent.end();
}

std::uint64_t remaining_ms(kernel::monotonic_time deadline)
{
    auto const remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - kernel::monotonic_now());
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, remaining.count()));
}

kernel::duration transmission_timeout(kernel::monotonic_time deadline)
{
    auto const remaining = deadline - kernel::monotonic_now();
    if (remaining < shortest_split_time)
        return remaining + answer_grace;
    return remaining / 2;
}

exchange_request make_request(std::string const& service,
                              std::string const& body,
                              identity::request_id const& id,
                              std::uint32_t number,
                              std::uint64_t deadline_ms)
{
    return {"POST",
            "/v1/requests/" + service,
            {{"Pistachiohub-Request-Id", identity::to_string(id)},
             {"Pistachiohub-Deadline-Ms",
              std::to_string(std::clamp<std::uint64_t>(deadline_ms, 1, longest_deadline_ms))},
             {"Pistachiohub-Transmission", std::to_string(number)},
             {"Content-Type", "application/octet-stream"}},
            body};
}

call_result make_result(used_id used, std::string answer)
{
    call_result result;
    result.result = used.told;
    result.cause = used.cause;
    result.answer = std::move(answer);
    result.ids.push_back(std::move(used));
    return result;
}

} // namespace

caller::caller(caller_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

lookup_answer const& caller::lookup(std::string const& service)
{
    auto const found = m_lookups.find(service);
    if (found != m_lookups.end() && kernel::monotonic_now() < found->second.valid_until)
        return found->second.answer;
    auto sources = m_options.sources;
    if (found != m_lookups.end())
    {
        for (auto const& host : found->second.answer.entry_hosts)
            sources.push_back({host.address, host.port});
    }
    auto const target = "/v1/lookup?service=" + service +
                        (m_options.client.empty() ? "" : "&client=" + m_options.client);
    std::string cause = "no entry host is known";
    for (auto const& source : sources)
    {
        auto const received = m_connections.exchange(
            source.address, source.port, {"GET", target, {}, {}}, lookup_timeout);
        bool const is_answered = received.end == exchange_end::answered && received.status == 200;
        if (is_answered && store_lookup(service, received.body))
            return m_lookups.at(service).answer;
        cause = source.address + ':' + std::to_string(source.port) +
                (received.end == exchange_end::answered
                     ? " answers " + std::to_string(received.status) + ' ' + received.body
                     : " does not answer");
    }
    throw lookup_error("lookup of service " + service + " failed: " + cause);
}

bool caller::store_lookup(std::string const& service, std::string const& text)
{
    try
    {
        auto answer = parse_lookup_answer(text);
        auto const valid_until = kernel::monotonic_now() + std::chrono::milliseconds(answer.ttl_ms);
        m_lookups[service] = {std::move(answer), valid_until};
        return true;
    }
    catch (lookup_answer_error const&)
    {
        // An answer of another form must not hide the outcome that came with it.
        return false;
    }
}

bool caller::refresh_lookup(std::string const& service, bool is_required)
{
    try
    {
        lookup(service);
        return true;
    }
    catch (lookup_error const&)
    {
        if (is_required)
            throw;
        return false;
    }
}

entry_host const* caller::find_owner(std::string const& service,
                                     std::vector<std::string> const& refused) const
{
    auto const& hosts = m_lookups.at(service).answer.entry_hosts;
    auto const found = std::find_if(
        hosts.begin(),
        hosts.end(),
        [&refused](entry_host const& host)
        {
            return std::find(refused.begin(), refused.end(), host.name) == refused.end();
        });
    if (found != hosts.end())
        return &*found;
    return hosts.empty() ? nullptr : &hosts.front();
}

std::string caller::make_unique_part()
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto number = m_random();
    std::string unique;
    for (unsigned position = 0; position < 16; ++position, number >>= 4U)
        unique += digits.at(number & 15U);
    return unique;
}

call_result
caller::call(std::string const& service, std::string const& body, kernel::duration deadline)
{
    auto const ends_at = kernel::monotonic_now() + deadline;
    call_result result;
    std::vector<std::string> refused;
    for (unsigned count = 0; count < m_options.most_ids; ++count)
    {
        if (kernel::monotonic_now() >= ends_at)
            break;
        if (count > 0)
            std::this_thread::sleep_for(pause_before_new_id * count);
        // A failure after the first id must not hide what is known of that id.
        if (!refresh_lookup(service, count == 0))
            break;
        auto const* const found = find_owner(service, refused);
        if (found == nullptr)
            break;
        auto const owner = *found;
        attempt current{service, body, ends_at, {}, {}};
        current.used.id = {owner.name, owner.incarnation, owner.epoch, make_unique_part()};
        follow(current, owner);
        result.result = current.used.told;
        result.cause = current.used.cause;
        result.answer = std::move(current.answer);
        result.ids.push_back(std::move(current.used));
        if (result.result != outcome::not_run || is_permanent(result.cause))
            break;
        refused.push_back(owner.name);
    }
    return result;
}

call_result caller::resend(identity::request_id const& id,
                           std::string const& service,
                           std::string const& body,
                           kernel::duration deadline)
{
    lookup(service);
    attempt current{service, body, kernel::monotonic_now() + deadline, {}, {}};
    current.used.id = id;
    // The first transmission was part of the earlier call.
    current.next_number = 2;
    current.is_sent = true;
    follow(current, find_host(id, service));
    return make_result(std::move(current.used), std::move(current.answer));
}

std::optional<entry_host> caller::find_host(identity::request_id const& id,
                                            std::string const& service) const
{
    for (auto const& host : m_lookups.at(service).answer.entry_hosts)
    {
        if (host.name == id.owner && host.incarnation == id.incarnation)
            return host;
    }
    return std::nullopt;
}

void caller::follow(attempt& current, std::optional<entry_host> const& owner)
{
    bool is_first_round = true;
    do
    {
        if (!is_first_round)
            std::this_thread::sleep_for(pause_between_rounds);
        is_first_round = false;
        if (owner && send(current, *owner))
            return;
        if (!current.is_sent)
        {
            current.used.is_never_sent = true;
            current.used.told = outcome::not_run;
            current.used.cause = reason::owner_unreachable;
            return;
        }
        if (owner && send(current, *owner))
            return;
        if (send_to_others(current))
            return;
    } while (kernel::monotonic_now() < current.deadline);
}

bool caller::send_to_others(attempt& current)
{
    // A copy, because a refusal may bring a fresh lookup.
    auto const hosts = m_lookups.at(current.service).answer.entry_hosts;
    bool is_told = false;
    for (auto const& host : hosts)
    {
        if (host.name == current.used.id.owner || kernel::monotonic_now() >= current.deadline)
            continue;
        if (send(current, host))
            return true;
        is_told = is_told || current.used.transmissions.back().told.has_value();
    }
    // Every reachable entry host has said that the outcome is not known.
    return is_told;
}

bool caller::send(attempt& current, entry_host const& host)
{
    auto& sent = current.used.transmissions.emplace_back();
    sent.host = host.name;
    sent.number = current.next_number;
    auto const received = m_connections.exchange(host.address,
                                                 host.port,
                                                 make_request(current.service,
                                                              current.body,
                                                              current.used.id,
                                                              current.next_number,
                                                              remaining_ms(current.deadline)),
                                                 transmission_timeout(current.deadline));
    sent.end = received.end;
    if (received.end == exchange_end::never_sent)
        return false;
    current.is_sent = true;
    ++current.next_number;
    return received.end == exchange_end::answered && read_answer(current, sent, received);
}

bool caller::read_answer(attempt& current, transmission& sent, exchange_result const& received)
{
    auto const told = parse_outcome(received.outcome);
    bool const is_own = received.request_id == identity::to_string(current.used.id);
    if (!told || !is_own)
    {
        // Not an answer to this request: the outcome is still open.
        sent.end = exchange_end::lost;
        return false;
    }
    sent.told = told;
    sent.cause = parse_reason(received.reason);
    current.used.told = *told;
    current.used.cause = sent.cause.value_or(reason::malformed_http);
    // A request can be known to have run although its answer is not held any more.
    bool const has_answer = *told == outcome::ran && current.used.cause == reason::ok;
    if (has_answer)
        current.answer = received.body;
    auto const fresh = has_answer ? std::string() : find_fresh_lookup(received.body);
    if (!fresh.empty())
        static_cast<void>(store_lookup(current.service, fresh));
    // Another entry host may know more than one that cannot reach the owner.
    return *told != outcome::unresolved || sent.host == current.used.id.owner;
}

} // namespace pistachiohub::caller
