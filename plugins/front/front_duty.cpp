#include "plugins/front/front_duty.hpp"

#include "plugins/front/refusal_counter.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace pistachiohub::front
{

namespace
{

constexpr int front_start_order = 50;
// The forward duty answers by the deadline. After this grace the caller is told `unresolved`, so
// that a lost reply does not hold the connection for ever.
constexpr auto reply_grace = std::chrono::milliseconds(1000);
constexpr auto expiry_interval = std::chrono::milliseconds(250);
// Time for the last answers to be written when the daemon stops.
constexpr auto stop_limit = std::chrono::milliseconds(5000);
constexpr auto stop_poll_interval = std::chrono::milliseconds(10);

std::unique_ptr<kernel::duty> create(kernel::daemon_context& context)
{
    caller_server_limits limits;
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0)
        limits.most_connections =
            std::min(limits.most_connections, connections_within(descriptors.rlim_cur));
    return std::make_unique<front_duty>(context, limits);
}

kernel::registration const front_registration({"front", front_start_order, create});

} // namespace

std::size_t connections_within(std::size_t descriptors)
{
    // For peers, the store, backend servers, operators and files.
    constexpr std::size_t reserved = 128;
    constexpr std::size_t min_connections = 16;
    return std::max(min_connections, (descriptors - std::min(descriptors, reserved)) / 2);
}

front_duty::front_duty(kernel::daemon_context& context, caller_server_limits const& limits)
    : m_context(context)
    , m_forward(context.shared<kernel::mailbox<events::forward_event>>())
    , m_replies(context.shared<kernel::mailbox<events::front_reply>>())
    , m_world(context.shared<kernel::snapshot<view::world_view>>())
    , m_server(m_loop,
               context.own_metrics(),
               context.own_settings().address,
               context.own_settings().caller_port,
               limits,
               [this](std::uint64_t exchange, request_head const& head, std::string&& body)
               {
                   return handle(exchange, head, std::move(body));
               })
    , m_lookups(context.own_metrics().find_counter("pistachiohub_lookups_total"))
{
}

front_duty::~front_duty()
{
    m_replies.set_wake_up({});
}

void front_duty::run()
{
    m_loop.consume(m_replies,
                   [this](events::front_reply&& reply)
                   {
                       deliver(std::move(reply));
                   });
    m_loop.every(expiry_interval,
                 [this]()
                 {
                     answer_expired();
                 });
    m_loop.run();
}

void front_duty::request_stop()
{
    m_loop.post(
        [this]()
        {
            m_server.stop_accepting();
            stop_when_idle(kernel::monotonic_now() + stop_limit);
        });
}

std::uint16_t front_duty::port() const
{
    return m_server.port();
}

std::optional<caller_answer>
front_duty::handle(std::uint64_t exchange, request_head const& head, std::string&& body)
{
    auto const parsed = parse_request(head);
    if (auto const* const refused = std::get_if<refusal>(&parsed))
        return refuse(*refused);
    if (auto const* const submitted = std::get_if<submission>(&parsed))
        return submit(exchange, *submitted, std::move(body));
    auto answer = answer_lookup(m_world.get(), std::get<lookup_query>(parsed), ++m_spread);
    if (answer.has_outcome)
        count_refusal(m_context.own_metrics(), answer.cause);
    else
        m_lookups.increment();
    return answer;
}

std::optional<caller_answer>
front_duty::submit(std::uint64_t exchange, submission const& submitted, std::string&& body)
{
    if (auto const refused = check_submission(m_world.get(), submitted))
        return refuse(*refused);
    auto const deadline = kernel::monotonic_now() + submitted.remaining;
    events::forward_event event = events::caller_request{exchange,
                                                         submitted.id,
                                                         submitted.transmission,
                                                         std::string(submitted.service),
                                                         deadline,
                                                         std::move(body)};
    // The entry comes before the push, because the reply may come at once.
    m_exchanges.emplace(exchange, open_exchange{submitted.id, deadline + reply_grace});
    if (m_forward.try_push(std::move(event)))
        return std::nullopt;
    m_exchanges.erase(exchange);
    return refuse({reason::daemon_overloaded,
                   "too many requests wait",
                   submitted.id,
                   may_be_resent(submitted)});
}

caller_answer front_duty::refuse(refusal const& refused)
{
    count_refusal(m_context.own_metrics(), refused.cause);
    return make_refusal(refused);
}

void front_duty::deliver(events::front_reply&& reply)
{
    auto const found = m_exchanges.find(reply.exchange);
    if (found == m_exchanges.end())
        return count("pistachiohub_front_late_replies_total");
    // A reply for another id is never delivered; the exchange then expires as `unresolved`.
    if (found->second.id && *found->second.id != reply.id)
        return count("pistachiohub_front_mismatched_replies_total");
    auto const exchange = reply.exchange;
    m_exchanges.erase(found);
    if (!m_server.complete(exchange, make_reply(m_world.get(), std::move(reply), ++m_spread)))
        count("pistachiohub_front_late_replies_total");
}

void front_duty::answer_expired()
{
    auto const now = kernel::monotonic_now();
    for (auto entry = m_exchanges.begin(); entry != m_exchanges.end();)
    {
        if (entry->second.expires_at > now)
        {
            ++entry;
            continue;
        }
        events::front_reply reply;
        reply.exchange = entry->first;
        reply.cause = reason::deadline;
        if (entry->second.id)
            reply.id = *entry->second.id;
        auto answer = make_reply(nullptr, std::move(reply), 0);
        if (!entry->second.id)
            answer.request_id.clear();
        if (m_server.complete(entry->first, answer))
            count("pistachiohub_front_missing_replies_total");
        entry = m_exchanges.erase(entry);
    }
}

void front_duty::stop_when_idle(kernel::monotonic_time give_up_at)
{
    if (m_server.is_idle() || kernel::monotonic_now() >= give_up_at)
        return m_loop.stop();
    m_loop.after(stop_poll_interval,
                 [this, give_up_at]()
                 {
                     stop_when_idle(give_up_at);
                 });
}

void front_duty::count(std::string_view name)
{
    m_context.own_metrics().find_counter(name).increment();
}

} // namespace pistachiohub::front
