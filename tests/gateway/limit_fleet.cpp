#include "tests/gateway/limit_fleet.hpp"

#include "plugins/gateway/affinity.hpp"

#include <algorithm>

namespace pistachiohub::gateway_test
{

namespace
{

using gateway::attempt_result;
using std::chrono::milliseconds;
using std::chrono::seconds;

// From the rules: the span that is counted, its allowance, and the times from which requests count
// after a limit was first named and after a host passed it on.
constexpr auto counted_span = seconds(4);
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;
constexpr auto stable_window = seconds(3);
constexpr auto told_grace = milliseconds(500);

constexpr auto run_time = milliseconds(200);
constexpr auto network_delay = milliseconds(3);
constexpr auto tick_interval = milliseconds(50);
constexpr auto report_interval = milliseconds(1500);
constexpr auto restart_gap = seconds(2);
constexpr auto down_time = seconds(1);
constexpr int objects = 400;
constexpr std::uint32_t slots = 4;
constexpr std::size_t domains_per_region = 2;

std::string region_name(std::size_t number)
{
    return "region-" + std::to_string(number);
}

std::string domain_name(std::size_t region, std::size_t number)
{
    return region_name(region) + "-" + std::to_string(number % domains_per_region);
}

} // namespace

limit_fleet::limit_fleet(limit_plan const& plan, unsigned seed)
    : m_plan(plan)
    , m_random(seed)
{
    routing::route route;
    route.name = "r";
    route.host = "a.example";
    route.path_prefix = "/i/";
    route.kind = routing::request_kind::idempotent;
    route.timeout = milliseconds(1000);
    route.target_latency = milliseconds(400);
    route.most_attempts = 2;
    route.has_affinity = true;
    route.split = {{"s", 1}};
    m_document.routes = {route};
    m_document.version = 1;
    for (std::size_t region = 0; region < plan.regions; ++region)
    {
        for (std::size_t number = 0; number < plan.servers_per_region; ++number)
        {
            fleet::backend_server record;
            record.id = "i-" + std::to_string(region) + "-" + std::to_string(number);
            record.service = "s";
            record.address = {"10.0.0.1", 80};
            record.failure_domain = domain_name(region, number);
            record.slots = slots;
            bool const is_limited = region == 0 && number < plan.limited_servers;
            m_servers.emplace(record.id, server{record, is_limited, 0});
        }
        for (std::size_t number = 0; number < plan.hosts_per_region; ++number)
        {
            auto made = std::make_unique<host>();
            made->name = "host-" + std::to_string(region) + "-" + std::to_string(number);
            made->region = region_name(region);
            made->domain = domain_name(region, number);
            m_hosts.push_back(std::move(made));
        }
    }
}

double limit_fleet::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void limit_fleet::after(kernel::duration delay, action act)
{
    m_events.emplace(m_now + delay, std::move(act));
}

void limit_fleet::after(host& of, kernel::duration delay, action act)
{
    after(delay,
          [&of, process = of.started_at, act = std::move(act)]()
          {
              if (of.decisions && of.started_at == process)
                  act();
          });
}

bool limit_fleet::names_limit(server const& answering) const
{
    return answering.is_limited && m_now >= m_started_at + m_plan.limit_begins &&
           m_now < m_started_at + m_plan.limit_ends;
}

void limit_fleet::start(host& started)
{
    kernel::settings own;
    own.name = started.name;
    own.failure_domain = started.domain;
    own.gateway.emplace();
    own.gateway->region = started.region;
    for (std::size_t region = 0; region < m_plan.regions; ++region)
    {
        for (std::size_t number = 0; number < domains_per_region; ++number)
            own.gateway->region_of_domain[domain_name(region, number)] = region_name(region);
    }
    own.gateway->bounds.extra_retries = 60;
    gateway::dispatcher_actions actions;
    actions.send = [this, &started](gateway::request_pointer const& request, milliseconds)
    {
        send(started, request);
    };
    actions.cancel = [this](gateway::request_pointer const& request)
    {
        --m_servers.at(request->server->record.id).running;
    };
    actions.reply = [this](gateway::request_pointer const&, gateway::answer&& made)
    {
        constexpr unsigned ok = 200;
        m_served += made.status == ok ? 1 : 0;
    };
    actions.end_stream = [](gateway::request_pointer const&) {};
    actions.break_stream = [](gateway::request_pointer const&, gateway::answer&&) {};
    actions.settle = [](gateway::gateway_request const&, outcome) {};
    actions.check_server = [](gateway::server_pointer const&) {};
    actions.publish_crashes = [](fleet::crash_knowledge&&) {};
    actions.wall_clock_ms = []()
    {
        return std::uint64_t{0};
    };
    actions.random = [this]()
    {
        return draw();
    };
    started.started_at = m_now;
    started.told_at.clear();
    started.decisions =
        std::make_unique<gateway::dispatcher>(own, std::move(actions), started.metrics);
    report_hosts_to(started, true);
    events::store_update<fleet::backend_server> servers{true, 1, {}};
    for (auto const& [id, known] : m_servers)
        servers.changes.push_back({id, 1, known.record});
    started.decisions->apply(servers, m_now);
    started.decisions->apply(
        events::store_update<routing::routing_document>{true, 1, {{"main", 1, m_document}}});
}

void limit_fleet::report_hosts_to(host& reader, bool is_complete)
{
    ++m_reports;
    events::store_update<fleet::entry_host> update{is_complete, m_reports, {}};
    for (auto const& known : m_hosts)
    {
        if (!known->decisions && !is_complete)
            continue;
        fleet::entry_host record;
        record.name = known->name;
        record.failure_domain = known->domain;
        record.region = known->region;
        record.report = m_reports;
        update.changes.push_back({known->name, m_reports, record});
    }
    reader.decisions->apply(update, m_now);
}

void limit_fleet::report_hosts()
{
    for (auto const& reader : m_hosts)
    {
        if (reader->decisions)
            report_hosts_to(*reader, false);
    }
    after(report_interval,
          [this]()
          {
              report_hosts();
          });
}

void limit_fleet::send(host& sender, gateway::request_pointer const& request)
{
    auto& reached = m_servers.at(request->server->record.id);
    auto const told = sender.told_at.find(reached.record.id);
    bool const is_told = told != sender.told_at.end() && m_now >= told->second + told_grace;
    m_arrivals[reached.record.id].push_back({m_now, is_told});
    ++reached.running;
    // A request waits for the ones ahead of it at the server.
    auto const waiting_rounds = (reached.running - 1) / reached.record.slots;
    after(network_delay * 2 + run_time * (1 + waiting_rounds),
          [this, &sender, &reached, request, process = sender.started_at]()
          {
              bool const is_awaited = sender.decisions && sender.started_at == process &&
                                      request->state == gateway::request_state::running &&
                                      request->server->record.id == reached.record.id;
              if (is_awaited)
                  answer(sender, reached, request);
          });
}

void limit_fleet::answer(host& sender, server& answering, gateway::request_pointer const& request)
{
    --answering.running;
    interface::server_notice notice;
    if (names_limit(answering))
    {
        notice.max_requests_per_second = m_plan.limit;
        sender.told_at.emplace(answering.record.id, m_now);
    }
    else
        sender.told_at.erase(answering.record.id);
    sender.decisions->server_notice_received(*request, notice, m_now);
    gateway::attempt_end ended;
    ended.result = attempt_result::answered;
    ended.received.status = 200;
    ended.reported_load =
        gateway::server_load{static_cast<std::uint32_t>(answering.running), 0, {}, {}};
    sender.decisions->attempt_ended(request, std::move(ended), m_now);
}

void limit_fleet::call()
{
    auto& called = *m_hosts[static_cast<std::size_t>(draw() * static_cast<double>(m_hosts.size()))];
    if (called.decisions)
    {
        auto const object = std::to_string(static_cast<int>(draw() * static_cast<double>(objects)));
        auto request = std::make_shared<gateway::gateway_request>();
        request->number = ++m_requests;
        request->id = "id-" + std::to_string(request->number);
        request->message = {"GET", "/i/" + object, {{"Host", "a.example"}}, ""};
        request->affinity_key = gateway::hash_text(object);
        request->arrived_at = m_now;
        request->caller_deadline = m_now + seconds(3);
        called.decisions->begin(request, m_now);
    }
    auto const gap = std::exponential_distribution<double>(m_plan.load)(m_random);
    after(std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(gap)),
          [this]()
          {
              call();
          });
}

void limit_fleet::play()
{
    for (auto const& started : m_hosts)
        start(*started);
    for (std::size_t number = 0; m_plan.restarts_hosts && number < m_hosts.size(); ++number)
    {
        auto& restarted = *m_hosts[number];
        auto const at = m_plan.limit_begins + stable_window + restart_gap * (number + 1);
        after(at,
              [&restarted]()
              {
                  restarted.decisions.reset();
              });
        after(at + down_time,
              [this, &restarted]()
              {
                  start(restarted);
              });
    }
    report_hosts();
    call();
    auto next_tick = m_now + tick_interval;
    while (m_now < m_started_at + m_plan.length)
    {
        if (!m_events.empty() && m_events.begin()->first <= next_tick)
        {
            auto const next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
            continue;
        }
        m_now = next_tick;
        next_tick += tick_interval;
        for (auto const& ticked : m_hosts)
        {
            if (ticked->decisions)
                ticked->decisions->tick(m_now);
        }
    }
}

double limit_fleet::largest_excess() const
{
    auto const allowed =
        allowed_factor * m_plan.limit * static_cast<double>(counted_span.count()) + allowed_extra;
    auto const rule_begins = m_started_at + m_plan.limit_begins + stable_window;
    double largest = -allowed;
    for (auto const& [id, all] : m_arrivals)
    {
        std::vector<kernel::monotonic_time> counted;
        for (auto const& reached : all)
        {
            if (reached.is_sender_told && reached.at >= rule_begins &&
                reached.at < m_started_at + m_plan.limit_ends)
                counted.push_back(reached.at);
        }
        std::size_t first = 0;
        for (std::size_t last = 0; last < counted.size(); ++last)
        {
            while (counted[last] - counted[first] > counted_span)
                ++first;
            largest = std::max(largest, static_cast<double>(last - first + 1) - allowed);
        }
    }
    return largest;
}

double limit_fleet::rate_at_limited_servers(seconds from, seconds to) const
{
    std::size_t reached = 0;
    for (auto const& [id, known] : m_servers)
    {
        auto const found = m_arrivals.find(id);
        if (!known.is_limited || found == m_arrivals.end())
            continue;
        reached += static_cast<std::size_t>(
            std::count_if(found->second.begin(),
                          found->second.end(),
                          [&](arrival const& item)
                          {
                              return item.at >= m_started_at + from && item.at < m_started_at + to;
                          }));
    }
    return static_cast<double>(reached) / static_cast<double>(m_plan.limited_servers) /
           static_cast<double>((to - from).count());
}

double limit_fleet::use_of_limit() const
{
    return rate_at_limited_servers(m_plan.limit_begins + stable_window,
                                   std::min(m_plan.limit_ends, m_plan.length)) /
           m_plan.limit;
}

double limit_fleet::served_part() const
{
    return static_cast<double>(m_served) / static_cast<double>(m_requests);
}

} // namespace pistachiohub::gateway_test
