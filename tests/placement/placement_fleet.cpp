#include "tests/placement/placement_fleet.hpp"

#include "plugins/gateway/affinity.hpp"
#include "plugins/gateway/load_report.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiohub::placement_test
{

namespace
{

using gateway::attempt_result;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto observation_interval = seconds(2);
constexpr auto warm_up = seconds(40);
constexpr auto change_at = seconds(50);
// Between the change and the observation that is compared with the one before.
constexpr auto settling = seconds(4);
constexpr auto length = seconds(56);
constexpr auto tick_interval = milliseconds(20);
constexpr auto share_interval = milliseconds(200);
constexpr auto network_delay = milliseconds(1);
constexpr double cold_run_ms = 200;
constexpr double warm_part = 0.3;
// Runs vary by this part to both sides.
constexpr double run_spread = 0.2;
constexpr std::size_t warm_objects = 32;
constexpr auto target_latency = milliseconds(180);

std::string region_name(std::size_t number)
{
    return "region-" + std::to_string(number);
}

std::string domain_name(std::size_t region, std::size_t number)
{
    return region_name(region) + "-" + std::to_string(number % 2);
}

double uniform(std::mt19937& source)
{
    return std::uniform_real_distribution<double>(0, 1)(source);
}

kernel::duration to_duration(double value_ms)
{
    return std::chrono::duration_cast<kernel::duration>(
        std::chrono::duration<double, std::milli>(value_ms));
}

std::uint64_t key_of(std::size_t object)
{
    return gateway::hash_text(std::to_string(object));
}

} // namespace

placement_fleet::placement_fleet(placement_plan const& plan, unsigned seed)
    : m_plan(plan)
    , m_arrivals(seed)
    , m_random(seed)
    , m_seen(plan.objects)
    , m_main(plan.objects)
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= plan.objects; ++rank)
        weights.push_back(std::pow(static_cast<double>(rank), -plan.skew));
    m_popularity = {weights.begin(), weights.end()};
    routing::route route;
    route.name = "r";
    route.host = "a.example";
    route.path_prefix = "/i/";
    route.kind = routing::request_kind::idempotent;
    route.timeout = milliseconds(1000);
    route.target_latency = target_latency;
    route.most_attempts = 2;
    route.has_affinity = true;
    route.split = {{"s", 1}};
    m_document.routes = {route};
    m_document.version = 1;
    double slots = 0;
    for (std::size_t region = 0; region < plan.regions; ++region)
    {
        for (std::size_t number = 0; number < plan.servers_per_region; ++number)
        {
            add_server(region, 4U << (number % 3));
            slots += 4U << (number % 3);
        }
        for (std::size_t number = 0; number < plan.hosts_per_region; ++number)
        {
            auto made = std::make_unique<host>();
            made->region = region_name(region);
            made->domain = domain_name(region, number);
            m_hosts.push_back(std::move(made));
        }
    }
    m_calls_per_second =
        plan.load * slots / std::chrono::duration<double>(plan.nominal_run).count();
}

void placement_fleet::after(kernel::duration delay, action act)
{
    m_events.emplace(m_now + delay, std::move(act));
}

bool placement_fleet::is_measured() const
{
    return m_now >= m_started_at + warm_up && m_now < m_started_at + change_at;
}

void placement_fleet::add_server(std::size_t region, std::uint32_t slots)
{
    fleet::backend_server record;
    record.id = "i-" + std::to_string(m_servers.size());
    record.service = "s";
    record.address = {"10.0.0.1", 80};
    record.failure_domain = domain_name(region, m_servers.size());
    record.slots = slots;
    m_servers[record.id] = {record, region_name(region), 0, {}, {}};
}

void placement_fleet::start(host& started)
{
    kernel::settings own;
    own.name = started.domain;
    own.failure_domain = started.domain;
    own.gateway.emplace();
    own.gateway->region = started.region;
    for (std::size_t region = 0; region < m_plan.regions; ++region)
    {
        for (std::size_t number = 0; number < 2; ++number)
            own.gateway->region_of_domain[domain_name(region, number)] = region_name(region);
    }
    own.gateway->placement = m_plan.rule;
    gateway::dispatcher_actions actions;
    actions.send = [this, &started](gateway::request_pointer const& request, milliseconds)
    {
        send(started, request);
    };
    actions.cancel = [](gateway::request_pointer const&) {};
    actions.reply = [this](gateway::request_pointer const& request, gateway::answer&& made)
    {
        if (!is_measured())
            return;
        constexpr unsigned ok = 200;
        std::chrono::duration<double, std::milli> const total = m_now - request->arrived_at;
        m_figures.served += made.status == ok ? 1 : 0;
        m_figures.refused += made.status == ok ? 0 : 1;
        m_figures.in_target += made.status == ok && total <= target_latency ? 1 : 0;
        m_figures.mean_ms += made.status == ok ? total.count() : 0;
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
        return uniform(m_random);
    };
    started.decisions =
        std::make_unique<gateway::dispatcher>(own, std::move(actions), started.metrics);
    events::store_update<fleet::entry_host> hosts{true, 1, {}};
    for (std::size_t number = 0; number < m_hosts.size(); ++number)
    {
        fleet::entry_host record;
        record.name = "host-" + std::to_string(number);
        record.failure_domain = m_hosts[number]->domain;
        record.region = m_hosts[number]->region;
        hosts.changes.push_back({record.name, 1, record});
    }
    started.decisions->apply(hosts, m_now);
    events::store_update<fleet::backend_server> servers{true, 1, {}};
    for (auto const& [id, known] : m_servers)
        servers.changes.push_back({id, 1, known.record});
    started.decisions->apply(servers, m_now);
    started.decisions->apply(
        events::store_update<routing::routing_document>{true, 1, {{"main", 1, m_document}}});
}

void placement_fleet::apply_to_all(fleet::backend_server const& record)
{
    ++m_versions;
    for (auto const& reader : m_hosts)
    {
        constexpr double longest_delay_ms = 300;
        after(to_duration(uniform(m_random) * longest_delay_ms),
              [&reader = *reader, record, version = m_versions, this]()
              {
                  reader.decisions->apply(
                      events::store_update<fleet::backend_server>{
                          false, version, {{record.id, version, record}}},
                      m_now);
              });
    }
}

void placement_fleet::change_servers()
{
    auto const before = first_by_slots();
    m_main_before_change = m_main;
    if (m_plan.change == server_change::join)
    {
        auto const id = "i-" + std::to_string(m_servers.size());
        constexpr std::uint32_t joining_slots = 8;
        add_server(0, joining_slots);
        apply_to_all(m_servers.at(id).record);
    }
    if (m_plan.change == server_change::leave)
    {
        auto& leaving = m_servers.at("i-0").record;
        leaving.is_leaving = true;
        apply_to_all(leaving);
    }
    auto const later = first_by_slots();
    for (std::size_t object = 0; object < later.size(); ++object)
        m_figures.fewest_by_change += before[object] != later[object] ? 1 : 0;
}

// The callers of an object are in one region.
std::vector<std::string> placement_fleet::first_by_slots() const
{
    std::vector<std::string> first(m_plan.objects);
    for (std::size_t object = 0; object < first.size(); ++object)
    {
        double best = 0;
        for (auto const& [id, known] : m_servers)
        {
            auto const score = gateway::affinity_score(
                key_of(object), {gateway::hash_text(id), static_cast<double>(known.record.slots)});
            bool const is_eligible =
                known.region == region_name(object % m_plan.regions) && !known.record.is_leaving;
            if (!is_eligible || score <= best)
                continue;
            best = score;
            first[object] = id;
        }
    }
    return first;
}

void placement_fleet::call()
{
    auto const object = m_popularity(m_arrivals);
    auto const region = object % m_plan.regions;
    auto const number = static_cast<std::size_t>(uniform(m_arrivals) *
                                                 static_cast<double>(m_plan.hosts_per_region));
    auto request = std::make_shared<gateway::gateway_request>();
    request->number = ++m_requests;
    request->id = "id";
    request->message = {"GET", "/i/1", {{"Host", "a.example"}}, ""};
    request->affinity_key = key_of(object);
    request->arrived_at = m_now;
    request->caller_deadline = m_now + seconds(3);
    m_object_of_request[request->number] = object;
    m_figures.requests += is_measured() ? 1 : 0;
    m_hosts[region * m_plan.hosts_per_region + number]->decisions->begin(request, m_now);
    constexpr double ms_per_s = 1000;
    auto const gap = std::exponential_distribution<double>(m_calls_per_second)(m_arrivals);
    after(to_duration(gap * ms_per_s),
          [this]()
          {
              call();
          });
}

void placement_fleet::share_loads()
{
    for (auto const& sender : m_hosts)
    {
        auto const loads = gateway::collect_loads(
            sender->decisions->servers(), gateway::load_source::own, sender->reported_at, m_now);
        sender->reported_at = m_now;
        for (auto const& reader : m_hosts)
        {
            if (reader != sender)
                gateway::apply_loads(reader->decisions->servers(), loads, m_now);
        }
    }
    after(share_interval,
          [this]()
          {
              share_loads();
          });
}

void placement_fleet::send(host& sender, gateway::request_pointer const& request)
{
    auto const object = m_object_of_request.at(request->number);
    ++m_seen[object][request->server->record.id];
    after(network_delay,
          [this, &sender, request, object, id = request->server->record.id]()
          {
              reach(m_servers.at(id), {&sender, request, object});
          });
}

void placement_fleet::reach(server& reached, run&& arrived)
{
    if (reached.running < reached.record.slots)
        return begin_run(reached, std::move(arrived));
    if (reached.waiting.size() < reached.record.slots)
        return reached.waiting.push_back(std::move(arrived));
    end_attempt(arrived, attempt_result::not_started, reached.running + reached.waiting.size());
}

void placement_fleet::begin_run(server& at, run&& begun)
{
    ++at.running;
    auto const found = std::find(at.warm.begin(), at.warm.end(), begun.object);
    bool const is_warm = found != at.warm.end();
    if (is_warm)
        at.warm.erase(found);
    at.warm.push_front(begun.object);
    if (at.warm.size() > warm_objects)
        at.warm.pop_back();
    auto const work =
        cold_run_ms * (is_warm ? warm_part : 1) * (1 + run_spread * (2 * uniform(m_random) - 1));
    if (is_measured())
    {
        m_busy_ms += work;
        m_figures.warm += is_warm ? 1 : 0;
        m_figures.outside += at.region != begun.sender->region ? 1 : 0;
    }
    after(to_duration(work),
          [this, &at, ended = std::move(begun)]() mutable
          {
              --at.running;
              if (!at.waiting.empty())
              {
                  auto next = std::move(at.waiting.front());
                  at.waiting.pop_front();
                  begin_run(at, std::move(next));
              }
              end_attempt(ended, attempt_result::answered, at.running + at.waiting.size());
          });
}

void placement_fleet::end_attempt(run const& ended, attempt_result result, std::size_t load)
{
    after(network_delay,
          [this, ended, result, load]()
          {
              gateway::attempt_end end;
              end.result = result;
              constexpr unsigned ok = 200;
              constexpr unsigned unavailable = 503;
              end.received.status = result == attempt_result::answered ? ok : unavailable;
              end.reported_load = gateway::server_load{static_cast<std::uint32_t>(load), 0, {}, {}};
              ended.sender->decisions->attempt_ended(ended.request, std::move(end), m_now);
          });
}

double placement_fleet::largest_share(std::vector<std::string> const& main) const
{
    std::map<std::string, double> objects_of_server;
    std::map<std::string, double> objects_of_region;
    std::map<std::string, double> slots_of_region;
    for (auto const& [id, known] : m_servers)
        slots_of_region[known.region] += known.record.slots;
    for (auto const& id : main)
    {
        if (id.empty())
            continue;
        ++objects_of_server[id];
        ++objects_of_region[m_servers.at(id).region];
    }
    double largest = 0;
    for (auto const& [id, objects] : objects_of_server)
    {
        auto const& known = m_servers.at(id);
        auto const due =
            objects_of_region[known.region] * known.record.slots / slots_of_region[known.region];
        largest = std::max(largest, objects / due);
    }
    return largest;
}

void placement_fleet::observe()
{
    std::vector<std::string> main(m_plan.objects);
    for (std::size_t object = 0; object < main.size(); ++object)
    {
        std::size_t most = 0;
        for (auto const& [id, count] : m_seen[object])
        {
            // Between servers with as many requests the earlier one stays the main server.
            if (count < most || (count == most && id != m_main[object]))
                continue;
            most = count;
            main[object] = id;
        }
        // An object without requests stays where it was.
        if (main[object].empty())
            main[object] = m_main[object];
        else if (m_now > m_started_at + warm_up && m_now <= m_started_at + change_at)
        {
            m_figures.compared += 1;
            m_figures.moved += main[object] != m_main[object] ? 1 : 0;
        }
        m_seen[object].clear();
    }
    m_main = std::move(main);
    if (m_now > m_started_at + warm_up && m_now <= m_started_at + change_at)
    {
        m_share_sum += largest_share(m_main);
        ++m_share_count;
    }
    if (m_now == m_started_at + change_at)
        change_servers();
    after(observation_interval,
          [this]()
          {
              observe();
          });
}

placement_figures placement_fleet::play()
{
    for (auto const& started : m_hosts)
        start(*started);
    share_loads();
    call();
    after(observation_interval,
          [this]()
          {
              observe();
          });
    auto next_tick = m_now + tick_interval;
    while (m_now <= m_started_at + length)
    {
        if (m_events.begin()->first <= next_tick)
        {
            auto const next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
            continue;
        }
        m_now = next_tick;
        next_tick += tick_interval;
        for (auto const& ticked : m_hosts)
            ticked->decisions->tick(m_now);
    }
    for (std::size_t object = 0; object < m_main.size() && !m_main_before_change.empty(); ++object)
        m_figures.moved_by_change += m_main[object] != m_main_before_change[object] ? 1 : 0;
    double slots = 0;
    for (auto const& [id, known] : m_servers)
        slots += known.record.slots;
    constexpr double ms_per_s = 1000;
    m_figures.utilisation =
        m_busy_ms / ms_per_s /
        (slots * static_cast<double>(std::chrono::seconds(change_at - warm_up).count()));
    auto const runs = std::max(1.0, m_figures.served);
    m_figures.mean_ms /= runs;
    m_figures.warm /= runs;
    m_figures.in_target /= std::max(1.0, m_figures.requests);
    m_figures.outside /= runs;
    m_figures.largest_share = m_share_sum / std::max(1.0, m_share_count);
    return m_figures;
}

} // namespace pistachiohub::placement_test
