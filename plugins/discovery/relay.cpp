/// @file
/// The duty "relay": tells other daemons what this one reads from the store.

#include "kernel/event_loop.hpp"
#include "kernel/plugin.hpp"
#include "libraries/http/server.hpp"
#include "libraries/interface/interface.hpp"
#include "plugins/discovery/feed_history.hpp"
#include "plugins/discovery/relay_dialect.hpp"
#include "plugins/discovery/relay_followers.hpp"
#include "plugins/discovery/rhythm.hpp"
#include "plugins/memory/host_shares.hpp"

#include <algorithm>
#include <list>

namespace pistachiohub::discovery
{

namespace
{

using std::chrono::milliseconds;

constexpr int start_order = 105;
constexpr unsigned http_ok = 200;
constexpr unsigned http_bad_request = 400;
constexpr unsigned http_gone = 410;
constexpr unsigned http_unavailable = 503;
// Followers wait for a part of a bound, which is seconds.
constexpr auto longest_wait = milliseconds(5000);
// Questions that wait at the same time; each daemon has one for each kind.
constexpr std::size_t most_waiting = 256;

struct waiting_question
{
    change_query query;
    kernel::boot_time arrived_at;
    kernel::monotonic_time ends_at;
    http::reply_function reply;
};

/// @returns for each kind the age above which nothing is told.
std::map<std::string, milliseconds, std::less<>> make_ages(kernel::settings const& own)
{
    auto const& kinds = interface::find_interface(own.gateway->interface_name).kinds;
    auto const& bounds = own.gateway->bounds;
    std::map<std::string, milliseconds, std::less<>> ages;
    ages.emplace(kinds.configuration, configuration_rhythm(bounds).longest_age);
    ages.emplace(kinds.backend_servers, server_rhythm(bounds).longest_age);
    ages.emplace(kinds.evacuations, evacuation_rhythm(bounds).longest_age);
    ages.emplace(kinds.entry_hosts, entry_host_rhythm(bounds).longest_age);
    return ages;
}

class relay_duty : public kernel::duty
{
public:
    explicit relay_duty(kernel::daemon_context& context)
        : m_context(context)
        , m_histories(context.shared<feed_histories>())
        , m_followers(context.shared<relay_followers>())
        , m_ages(make_ages(context.own_settings()))
    {
        if (context.own_settings().gateway->relay.port != 0)
            m_server = std::make_unique<http::server>(
                m_loop,
                context.own_metrics(),
                "pistachiohub_gateway_service_refusals_total",
                context.own_settings().gateway->relay,
                [this](http::server_request const& wanted, http::reply_function const& reply)
                {
                    handle(wanted, reply);
                },
                memory::service_limits(context.own_settings().gateway->resources));
    }

    void run() override
    {
        m_histories.set_wake_up(
            [this]()
            {
                m_loop.post(
                    [this]()
                    {
                        answer_waiting();
                    });
            });
        m_loop.run();
        m_histories.set_wake_up({});
    }

    void request_stop() override
    {
        m_loop.stop();
    }

private:
    void handle(http::server_request const& wanted, http::reply_function const& reply)
    {
        auto query = parse_change_query(wanted.path, wanted.query);
        if (!query || !m_ages.contains(query->kind))
            return reply({http_bad_request, "{\"reason\":\"bad_query\"}"});
        if (m_waiting.size() >= most_waiting)
            return reply({http_unavailable, "{\"reason\":\"too_many\"}"});
        auto const now = kernel::monotonic_now();
        auto const arrived_at = kernel::boot_clock::now();
        m_followers.note_question(query->asker, arrived_at);
        auto const ends_at = now + std::min(query->wait, longest_wait);
        m_waiting.push_back({std::move(*query), arrived_at, ends_at, reply});
        if (try_answer(m_waiting.back(), now))
            return m_waiting.pop_back();
        m_loop.after(ends_at - now,
                     [this]()
                     {
                         answer_waiting();
                     });
    }

    void answer_waiting()
    {
        auto const now = kernel::monotonic_now();
        std::erase_if(m_waiting,
                      [this, now](waiting_question const& question)
                      {
                          return try_answer(question, now);
                      });
    }

    /// @returns whether the question was answered.
    bool try_answer(waiting_question const& question, kernel::monotonic_time now)
    {
        auto const& query = question.query;
        auto const longest_age = m_ages.find(query.kind)->second;
        auto const asked_at = kernel::boot_clock::now();
        auto const told = m_histories.answer(query.kind, query.since, asked_at - longest_age);
        if (told.state == history_state::is_current && now < question.ends_at)
            return false;
        count(query.kind, told.state);
        switch (told.state)
        {
        case history_state::is_gone:
            question.reply({http_gone, "{}"});
            break;
        case history_state::is_stale:
            question.reply({http_unavailable, "{\"reason\":\"stale\"}"});
            break;
        default:
            question.reply({http_ok,
                            encode_changes(told.changes,
                                           std::chrono::ceil<milliseconds>(question.arrived_at -
                                                                           told.confirmed_at))});
        }
        return true;
    }

    void count(std::string_view kind, history_state state)
    {
        m_context.own_metrics()
            .find_counter("pistachiohub_relay_answers_total",
                          {{"kind", kind}, {"result", to_string(state)}})
            .increment();
    }

    kernel::daemon_context& m_context;
    feed_histories& m_histories;
    relay_followers& m_followers;
    std::map<std::string, milliseconds, std::less<>> m_ages;
    std::list<waiting_question> m_waiting;
    kernel::event_loop m_loop;
    std::unique_ptr<http::server> m_server;
};

std::unique_ptr<kernel::duty> create(kernel::daemon_context& context)
{
    return std::make_unique<relay_duty>(context);
}

kernel::registration const
    relay_registration({"relay", start_order, create, kernel::daemon_part::gateway});

} // namespace

} // namespace pistachiohub::discovery
