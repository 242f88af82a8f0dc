#include "tests/gateway/overload_fleet.hpp"

#include "plugins/gateway/load_report.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiohub::gateway_test
{

namespace
{

using seconds_value = std::chrono::duration<double>;

constexpr std::size_t host_count = 3;
constexpr std::size_t server_count = 8;
constexpr std::uint32_t slots_per_server = 7;
constexpr std::size_t max_queue_of_server = 14;
constexpr double mean_run_seconds = 0.15;
constexpr double network_seconds = 0.001;
constexpr double tick_seconds = 0.01;
constexpr double exchange_seconds = 0.2;
constexpr double caller_seconds = 3;
constexpr unsigned not_run = 503;
// Callers give up less than this before their deadline.
constexpr double min_attempt_seconds = 0.1;

kernel::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<kernel::duration>(seconds_value(seconds));
}

} // namespace

double overload_counts::p99_wait() const
{
    if (waits.empty())
        return 0;
    auto sorted = waits;
    std::sort(sorted.begin(), sorted.end());
    return sorted[(sorted.size() - 1) * 99 / 100];
}

overload_fleet::overload_fleet(overload_plan plan, unsigned seed)
    : m_plan(std::move(plan))
    , m_random(seed)
{
    for (std::size_t number = 0; number < server_count; ++number)
        m_servers["i-" + std::to_string(number)].load = {0, 0, slots_per_server, 100};
    for (std::size_t number = 0; number < host_count; ++number)
    {
        m_hosts.push_back(std::make_unique<host>());
        start(*m_hosts.back(), "host-" + std::to_string(number));
    }
    for (auto const& group : m_plan.groups)
    {
        auto const length = group.to_seconds - group.from_seconds;
        for (int left = static_cast<int>(group.per_second * length); left > 0; --left)
            after(group.from_seconds + draw() * length,
                  [this, &group]()
                  {
                      call(group, m_now + to_duration(caller_seconds), false);
                  });
        if (!group.customer.empty())
            m_customers[group.customer].name = group.customer;
    }
}

double overload_fleet::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void overload_fleet::after(double seconds, action act)
{
    m_events.emplace(m_now + to_duration(seconds), std::move(act));
}

void overload_fleet::start(host& started, std::string const& name)
{
    kernel::settings own;
    own.name = name;
    own.failure_domain = "sve-a";
    own.gateway.emplace();
    own.gateway->admission = kernel::admission_rule::fair;
    own.gateway->region = "svealand";
    own.gateway->region_of_domain = {{"sve-a", "svealand"}};
    gateway::dispatcher_actions actions;
    actions.send =
        [this, &started](gateway::request_pointer const& request, std::chrono::milliseconds)
    {
        send(started, request);
    };
    actions.cancel = [](gateway::request_pointer const&) {};
    actions.reply = [&started](gateway::request_pointer const& request, gateway::answer&& made)
    {
        auto const found = started.callers.find(request->number);
        auto const reply = std::move(found->second);
        started.callers.erase(found);
        reply(made);
    };
    actions.settle = [](gateway::gateway_request const&, outcome) {};
    actions.check_server = [](gateway::server_pointer const&) {};
    actions.publish_crashes = [](fleet::crash_knowledge&&) {};
    actions.wall_clock_ms = []()
    {
        return 0;
    };
    actions.random = [this]()
    {
        return draw();
    };
    started.decisions =
        std::make_unique<gateway::dispatcher>(own, std::move(actions), started.metrics);
    routing::routing_document document;
    document.version = 1;
    for (std::size_t kind = 0; kind < m_plan.priorities.size(); ++kind)
    {
        routing::route route;
        route.name = "kind-" + std::to_string(kind);
        route.host = "a.example";
        route.path_prefix = '/' + route.name + '/';
        route.priority = m_plan.priorities[kind];
        route.timeout = std::chrono::milliseconds(1000);
        route.target_latency =
            std::chrono::duration_cast<std::chrono::milliseconds>(seconds_value(target_seconds));
        route.most_attempts = 2;
        route.split = {{"s", 1}};
        document.routes.push_back(route);
    }
    started.decisions->apply(
        events::store_update<routing::routing_document>{true, 1, {{"main", 1, document}}});
    events::store_update<fleet::backend_server> servers{true, 1, {}};
    for (auto const& [id, known] : m_servers)
    {
        fleet::backend_server record;
        record.id = id;
        record.service = "s";
        record.address = {"10.0.0.1", 80};
        record.failure_domain = "sve-a";
        record.slots = slots_per_server;
        servers.changes.push_back({id, 1, record});
    }
    started.decisions->apply(servers, m_now);
    // Not all hosts tick at the same time.
    auto const first_tick = tick_seconds * draw();
    auto const ticks = static_cast<int>((m_plan.length_seconds + caller_seconds) / tick_seconds);
    for (int tick = 0; tick < ticks; ++tick)
        after(first_tick + tick * tick_seconds,
              [this, &started]()
              {
                  started.decisions->tick(m_now);
              });
}

void overload_fleet::slow_down(std::uint32_t percent)
{
    for (std::size_t number = 0; number < m_plan.slow_servers; ++number)
        m_servers["i-" + std::to_string(number)].load.slowdown_percent = percent;
}

void overload_fleet::exchange_loads()
{
    for (auto const& from : m_hosts)
    {
        auto const loads = gateway::collect_loads(from->decisions->servers(),
                                                  gateway::load_source::own,
                                                  m_now - to_duration(exchange_seconds),
                                                  m_now);
        for (auto const& to : m_hosts)
        {
            if (to != from)
                gateway::apply_loads(to->decisions->servers(), loads, m_now);
        }
    }
}

void overload_fleet::run(server& at, action const& done)
{
    ++at.load.running;
    // Half of the run is the same for all requests.
    auto const seconds =
        mean_run_seconds * *at.load.slowdown_percent / 100 * (0.5 - 0.5 * std::log(1 - draw()));
    after(seconds,
          [this, &at, done]()
          {
              --at.load.running;
              if (!at.waiting.empty())
              {
                  auto const next = std::move(at.waiting.front());
                  at.waiting.pop_front();
                  --at.load.waiting;
                  next();
              }
              done();
          });
}

void overload_fleet::send(host& sender, gateway::request_pointer const& request)
{
    auto& at = m_servers.at(request->server->record.id);
    auto const end = [this, &sender, &at, request](gateway::attempt_result result)
    {
        gateway::attempt_end ended;
        ended.result = result;
        ended.received.status = 200;
        ended.reported_load = at.load;
        after(network_seconds,
              [this, &sender, request, ended]() mutable
              {
                  sender.decisions->attempt_ended(request, std::move(ended), m_now);
              });
    };
    auto const work = [this, &at, end, request]()
    {
        m_late_starts += m_now > request->arrived_at + to_duration(target_seconds) ? 1 : 0;
        run(at,
            [end]()
            {
                end(gateway::attempt_result::answered);
            });
    };
    after(network_seconds,
          [&at, end, work]()
          {
              if (at.load.running < slots_per_server)
                  return work();
              if (at.waiting.size() >= max_queue_of_server)
                  return end(gateway::attempt_result::not_started);
              ++at.load.waiting;
              at.waiting.push_back(work);
          });
}

void overload_fleet::count(caller_group const& group,
                           std::function<void(overload_counts&)> const& add)
{
    add(m_counts["all"]);
    add(m_counts["kind-" + std::to_string(group.kind)]);
    if (!group.customer.empty())
        add(m_counts["customer " + group.customer]);
}

void overload_fleet::call(caller_group const& group,
                          kernel::monotonic_time deadline,
                          bool is_return)
{
    auto& called = *m_hosts[static_cast<std::size_t>(draw() * host_count)];
    auto request = std::make_shared<gateway::gateway_request>();
    request->number = ++m_last_number;
    request->message = {
        "GET", "/kind-" + std::to_string(group.kind) + "/x", {{"Host", "a.example"}}, ""};
    if (!group.customer.empty())
        request->customer = &m_customers.at(group.customer);
    request->arrived_at = m_now;
    request->caller_deadline = deadline;
    count(group,
          [is_return](overload_counts& counts)
          {
              ++(is_return ? counts.came_back : counts.asked);
          });
    called.callers[request->number] =
        [this, &called, &group, deadline, is_return, arrived_at = m_now](gateway::answer const& got)
    {
        auto const waited = seconds_value(m_now - arrived_at).count();
        bool const is_served = got.status == 200;
        count(group,
              [&](overload_counts& counts)
              {
                  if (got.status == not_run)
                      return counts.waits.push_back(waited);
                  if (!is_served)
                      return;
                  ++(waited <= target_seconds ? counts.in_time : counts.late);
                  counts.served_again += is_return ? 1 : 0;
              });
        if (got.status != not_run)
            return;
        auto const& servers = called.decisions->servers().servers;
        m_refused_with_free_slot +=
            std::any_of(servers.begin(),
                        servers.end(),
                        [this](auto const& entry)
                        {
                            return gateway::has_capacity(*entry.second, m_now);
                        })
                ? 1
                : 0;
        auto const left = seconds_value(deadline - m_now).count();
        auto const told =
            std::atof(std::string(gateway::find_header_value(got.headers, "Retry-After")).c_str());
        auto const wait = std::min(told, left / 3);
        if (group.come_back && left - wait > min_attempt_seconds)
            after(wait,
                  [this, &group, deadline]()
                  {
                      call(group, deadline, true);
                  });
    };
    called.decisions->begin(request, m_now);
}

void overload_fleet::play()
{
    auto const exchanges = static_cast<int>(m_plan.length_seconds / exchange_seconds);
    for (int exchange = 1; exchange < exchanges; ++exchange)
        after(exchange * exchange_seconds,
              [this]()
              {
                  exchange_loads();
              });
    after(4,
          [this]()
          {
              slow_down(300);
          });
    after(10,
          [this]()
          {
              slow_down(100);
          });
    while (!m_events.empty())
    {
        auto const next = m_events.begin();
        m_now = next->first;
        auto const act = std::move(next->second);
        m_events.erase(next);
        act();
    }
}

} // namespace pistachiohub::gateway_test
