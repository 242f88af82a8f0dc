#include "plugins/membership/roles.hpp"

#include "libraries/view/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <unordered_map>

namespace pistachiohub::membership
{

namespace
{

constexpr kernel::duration longest_jitter = std::chrono::seconds(1);

using domain_hosts = std::map<std::string_view, std::vector<std::string_view>>;

kernel::duration
turn_time(std::size_t items, std::size_t items_in_round, kernel::duration round_interval)
{
    auto const rounds = static_cast<int>((items + items_in_round - 1) / items_in_round);
    return rounds * round_interval;
}

kernel::duration silence_after(kernel::duration turn)
{
    return std::max(shortest_silence, silent_turns * turn);
}

view::member_state
find_state(member const& host, kernel::duration limit, bool is_cut_off, kernel::monotonic_time now)
{
    bool const is_listed_leaving =
        host.is_listed_leaving && host.incarnation == host.leaving_incarnation;
    if (!host.is_heard || is_cut_off || now - host.heard_at > limit)
        return view::member_state::silent;
    return host.is_leaving || is_listed_leaving ? view::member_state::leaving
                                                : view::member_state::live;
}

domain_hosts foreign_hosts(member_table const& table, std::string_view own_failure_domain)
{
    domain_hosts hosts;
    for (auto const& host : table.members)
    {
        if (host.failure_domain != own_failure_domain)
            hosts[host.failure_domain].push_back(host.name);
    }
    return hosts;
}

/// Failure domains at distances 1, 2, 4, ... on a ring that is the same for all daemons, so that
/// news crosses the fleet in a logarithmic number of steps.
std::vector<std::string_view> ring_neighbours(domain_hosts const& hosts,
                                              std::string_view own_failure_domain)
{
    auto const seed = view::rendezvous_seed("failure domain ring");
    std::vector<std::pair<std::uint64_t, std::string_view>> ring;
    for (auto const& [domain, names] : hosts)
        ring.emplace_back(view::rendezvous_weight(seed, domain), domain);
    ring.emplace_back(view::rendezvous_weight(seed, own_failure_domain), own_failure_domain);
    std::sort(ring.begin(), ring.end());
    auto const own = std::find_if(ring.begin(),
                                  ring.end(),
                                  [own_failure_domain](auto const& entry)
                                  {
                                      return entry.second == own_failure_domain;
                                  });
    auto const position = static_cast<std::size_t>(own - ring.begin());
    std::vector<std::string_view> neighbours;
    for (std::size_t distance = 1; distance < ring.size(); distance *= 2)
        neighbours.push_back(ring[(position + distance) % ring.size()].second);
    return neighbours;
}

void take_turn(std::vector<std::string>& targets,
               std::vector<std::string_view> const& hosts,
               std::size_t most,
               std::size_t& cursor)
{
    auto const count = std::min(most, hosts.size());
    for (std::size_t step = 0; step < count; ++step)
        targets.emplace_back(hosts[(cursor + step) % hosts.size()]);
    cursor = hosts.empty() ? 0 : (cursor + count) % hosts.size();
}

} // namespace

silence_limits find_limits(member_table const& table, std::string_view own_failure_domain)
{
    auto const hosts = foreign_hosts(table, own_failure_domain);
    std::size_t foreign = 0;
    for (auto const& [domain, names] : hosts)
        foreign += names.size();
    silence_limits limits;
    auto const own_turn =
        turn_time(table.members.size() - foreign, most_own_targets, heartbeat_interval);
    limits.own_domain = silence_after(own_turn);
    limits.is_direct = foreign <= most_direct_foreign_hosts;
    if (limits.is_direct)
        return limits;
    // Hosts that are not readers receive summaries only when a reader's turn comes to them.
    auto const interval =
        std::max(heartbeat_interval, own_turn / static_cast<int>(readers_for_each_domain));
    limits.foreign_host = silence_after(turn_time(foreign, most_summaries / 2, interval));
    limits.foreign_domain = silence_after(turn_time(hosts.size(), most_summaries / 2, interval));
    return limits;
}

std::vector<std::size_t> update_states(member_table& table,
                                       std::string_view own_failure_domain,
                                       silence_limits const& limits,
                                       kernel::monotonic_time now)
{
    std::unordered_map<std::string_view, kernel::monotonic_time> domain_heard_at;
    for (auto const& host : table.members)
    {
        auto& newest = domain_heard_at[host.failure_domain];
        if (host.is_heard)
            newest = std::max(newest, host.heard_at);
    }
    std::vector<std::size_t> changed;
    for (std::size_t position = 0; position < table.members.size(); ++position)
    {
        auto& host = table.members[position];
        bool const is_own = host.failure_domain == own_failure_domain;
        auto const limit = is_own ? limits.own_domain : limits.foreign_host;
        // Summaries of single hosts are rare in a large fleet, so there the host list also decides.
        bool const is_gone = !limits.is_direct && !host.is_listed && !host.is_seed;
        bool const is_domain_silent =
            now - domain_heard_at[host.failure_domain] > limits.foreign_domain;
        bool const is_cut_off = !is_own && (is_domain_silent || is_gone);
        auto const state = find_state(host, limit, is_cut_off, now);
        if (state == host.state)
            continue;
        host.state = state;
        changed.push_back(position);
    }
    return changed;
}

std::vector<std::string_view> choose_readers(std::string_view failure_domain,
                                             std::vector<std::string_view> hosts)
{
    auto const seed = view::rendezvous_seed(failure_domain);
    auto const count = std::min(readers_for_each_domain, hosts.size());
    std::partial_sort(hosts.begin(),
                      hosts.begin() + static_cast<std::ptrdiff_t>(count),
                      hosts.end(),
                      [seed](std::string_view left, std::string_view right)
                      {
                          return std::make_tuple(view::rendezvous_weight(seed, left), left) >
                                 std::make_tuple(view::rendezvous_weight(seed, right), right);
                      });
    hosts.resize(count);
    return hosts;
}

bool is_reader(member_table const& table,
               role_facts const& facts,
               silence_limits const& limits,
               kernel::monotonic_time now)
{
    std::vector<std::string_view> candidates;
    if (!facts.is_draining)
        candidates.push_back(facts.own_name);
    for (auto const& host : table.members)
    {
        bool const is_candidate = host.failure_domain == facts.own_failure_domain &&
                                  host.state == view::member_state::live;
        if (is_candidate)
            candidates.push_back(host.name);
    }
    auto newest = facts.active_since;
    for (auto const& reader : choose_readers(facts.own_failure_domain, candidates))
    {
        if (reader == facts.own_name)
            return true;
        newest = std::max(newest, table.members[table.positions.at(std::string(reader))].heard_at);
    }
    // In a large domain one turn takes longer than 3 s, and a reader is heard once in a turn.
    auto const jitter = std::chrono::duration_cast<kernel::duration>(longest_jitter * facts.jitter);
    auto const limit = std::max(shortest_silence, limits.own_domain * 2 / silent_turns);
    return now - newest > limit + jitter;
}

std::vector<std::string> next_targets(member_table const& table,
                                      std::string_view own_failure_domain,
                                      bool is_own_reader,
                                      turn_cursors& cursors)
{
    std::vector<std::string_view> own;
    for (auto const& host : table.members)
    {
        if (host.failure_domain == own_failure_domain)
            own.push_back(host.name);
    }
    auto const hosts = foreign_hosts(table, own_failure_domain);
    std::vector<std::string_view> foreign;
    auto most_foreign = most_foreign_targets;
    if (table.members.size() - own.size() <= most_direct_foreign_hosts)
    {
        for (auto const& [domain, names] : hosts)
            foreign.insert(foreign.end(), names.begin(), names.end());
        most_foreign = most_direct_foreign_hosts;
    }
    else if (is_own_reader)
    {
        for (auto const& domain : ring_neighbours(hosts, own_failure_domain))
        {
            auto const readers = choose_readers(domain, hosts.at(domain));
            foreign.insert(foreign.end(), readers.begin(), readers.end());
        }
    }
    std::vector<std::string> targets;
    take_turn(targets, own, most_own_targets, cursors.own);
    take_turn(targets, foreign, most_foreign, cursors.foreign);
    return targets;
}

} // namespace pistachiohub::membership
