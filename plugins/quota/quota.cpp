#include "plugins/quota/quota.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pistachiohub::quota
{

namespace
{

using std::chrono::milliseconds;
using seconds_value = std::chrono::duration<double>;

// Time over which the demand is smoothed. Shorter times make the shares of small customers noisy;
// longer ones delay the shares when the demand moves to another host.
constexpr double smoothing_seconds = 1;
// The same for the admissions of the others. It must follow a demand that jumps, and not the
// random variation of small customers.
constexpr double admission_smoothing_seconds = 0.5;
// Usual delay of totals over follower, reader, reader and follower: half an interval per hop.
constexpr double exchange_delay_seconds = 0.35;
// Time for which a host may save up its share.
constexpr double saving_seconds = 0.3;
// Fraction of the burst above which the fleet bucket counts as well filled, before the slack.
constexpr double well_filled_fraction = 0.5;
// Part of the limits above which the hosts heard are most of the fleet. Not much above a half: with
// half of 60 hosts cut off, the bound was exceeded by 43 requests without it.
constexpr double main_group_fraction = 0.6;
// Fraction of the tolerance by which a share may be used while the fleet bucket is in debt. Whole
// requests that many hosts have saved up would exceed the tolerance.
constexpr double debt_fraction = 0.35;
// Parts of the excess and of the slack of one window by which the hosts aim above the rate.
constexpr double aimed_excess = 0.5;
constexpr double aimed_slack = 0.125;
// Fraction of the rate that is shared evenly, for hosts without recent demand.
constexpr double even_fraction = 0.05;
// Age of the reader's last report from which the fleet bucket is no longer relied on.
constexpr auto fresh_view_age = milliseconds(800);
// Age from which a report is overdue.
constexpr auto overdue_age = milliseconds(450);
// Age from which the host uses the conservative share of one host.
constexpr auto silent_reader_age = milliseconds(2000);
// Time without a report after which a follower or another reader is not counted.
constexpr auto heard_age = milliseconds(700);
constexpr auto follower_timeout = milliseconds(3000);
// Maximum age of a session of another host at its first report here.
constexpr auto new_session_age = milliseconds(5000);
// Age of the own session from which it is begun again when the other host begins one.
constexpr auto min_session_age = milliseconds(1000);
// Limit of the debt, in seconds of the rate in addition to the slack. It is larger than what all
// hosts together can overspend before they learn of each other's demand.
constexpr double max_debt_seconds = 2.5;
// Number of reports that contain a changed total.
constexpr std::uint8_t sent_repeats = 3;
// Number of hosts that is assumed until the list of hosts has been read.
constexpr std::uint32_t assumed_hosts = 64;
constexpr auto min_retry_after = milliseconds(100);
constexpr auto max_retry_after = milliseconds(2000);

totals operator+(totals left, totals right)
{
    return {left.demanded + right.demanded, left.admitted + right.admitted};
}

// Counts may be given back, so that a later total may be smaller than an earlier one.
totals operator-(totals left, totals right)
{
    return {left.demanded - right.demanded, left.admitted - right.admitted};
}

bool operator==(totals left, totals right)
{
    return left.demanded == right.demanded && left.admitted == right.admitted;
}

double signed_count(std::uint64_t difference)
{
    return static_cast<double>(static_cast<std::int64_t>(difference));
}

/// What this host knows of the others.
struct fleet_view
{
    std::uint32_t hosts = assumed_hosts;
    std::uint32_t heard = 1;
    milliseconds age{0};
};

fleet_view view_of(ledger const& state, kernel::monotonic_time now)
{
    fleet_view view;
    if (state.fleet_hosts > 0)
        view.hosts = state.fleet_hosts;
    for (auto const& [id, other] : state.links)
    {
        auto const age = other.heard_at
                             ? std::chrono::duration_cast<milliseconds>(now - *other.heard_at)
                             : silent_reader_age;
        if (other.kind == link_kind::reader)
            view.age = age;
        if (age < (other.kind == link_kind::reader ? silent_reader_age : heard_age))
            view.heard += other.other_hosts;
    }
    return view;
}

// Returns the fraction of the limits that the hosts heard may use.
double usable_fraction(ledger const& state, fleet_view const& view)
{
    if (!state.parts.reserves_for_silent_hosts)
        return 1;
    // Half of the tolerance covers hosts that have just stopped or started.
    auto const heard = static_cast<double>(view.heard) / static_cast<double>(view.hosts);
    return std::min(1.0, heard * (1 + state.bound.excess / 2));
}

double capacity_of(ledger const& state, customer_limit const& limit)
{
    // A part of the slack covers the random variation of small customers.
    return std::max(1.0, limit.burst + state.bound.slack / 4);
}

// Returns the rate that the hosts aim at. A part of the tolerance makes up for tokens that are
// spent or left unused because the hosts learn of each other late.
double target_rate(ledger const& state, customer_limit const& limit)
{
    return limit.requests_per_second * (1 + state.bound.excess * aimed_excess) +
           aimed_slack * state.bound.slack / state.bound.window_seconds;
}

double well_filled_level(ledger const& state, customer_limit const& limit, fleet_view const& view)
{
    // The bucket holds no more than the part of the hosts heard. A smaller group, such as a reader
    // that is cut off, keeps the level: it would use the part of the others at once.
    auto const usable = usable_fraction(state, view);
    auto const part = usable > main_group_fraction ? usable : 1.0;
    // The slack of small customers exceeds what they can use while the totals are on their way.
    return std::max(1.0, part * (well_filled_fraction * limit.burst - state.bound.slack / 2));
}

double share_of(ledger const& state, account const& customer, fleet_view const& view)
{
    auto const even_share = 1.0 / static_cast<double>(view.hosts);
    if (!state.parts.shares_follow_demand || view.age >= silent_reader_age)
        return even_share;
    auto const even = even_fraction * customer.limit.requests_per_second;
    return (customer.own_demand + even * even_share) /
           (customer.own_demand + customer.others_demand + even);
}

// Returns the estimate of the fleet bucket without what others have admitted meanwhile. If this
// host has admitted more than usual, the others are expected to have done so too.
double expected_fleet_tokens(ledger const& state, account const& customer, fleet_view const& view)
{
    auto const unseen = signed_count((customer.own - customer.earlier_own).admitted);
    auto const significant = std::max(0.0, unseen - 2 * std::sqrt(unseen) - 1);
    auto const share = share_of(state, customer, view);
    auto const if_alike = significant * (1 - share) / share;
    auto const expected = customer.others_admitted * exchange_delay_seconds;
    return customer.fleet_tokens - std::max(expected, if_alike);
}

// Returns the requests a second of this host's share.
double share_rate(ledger const& state, account const& customer, fleet_view const& view)
{
    auto const share = share_of(state, customer, view);
    auto const rate = target_rate(state, customer.limit);
    // The conservative share is one of all hosts, so that it is not reduced to those heard.
    return share * rate * (view.age >= silent_reader_age ? 1 : usable_fraction(state, view));
}

void fill(ledger const& state,
          account& customer,
          fleet_view const& view,
          kernel::monotonic_time now)
{
    auto const elapsed = seconds_value(now - customer.filled_at).count();
    customer.filled_at = now;
    auto const usable = usable_fraction(state, view);
    auto const rate = share_rate(state, customer, view);
    customer.fleet_tokens =
        std::min(customer.fleet_tokens + target_rate(state, customer.limit) * usable * elapsed,
                 std::max(1.0, capacity_of(state, customer.limit) * usable));
    auto const saved = std::max(rate * saving_seconds, state.parts.saves_whole_request ? 1.0 : 0.0);
    customer.own_tokens = std::min(customer.own_tokens + rate * elapsed, saved);
}

bool may_admit(ledger const& state, account const& customer, fleet_view const& view)
{
    auto const expected = expected_fleet_tokens(state, customer, view);
    bool const is_fresh = view.age < fresh_view_age;
    if (view.hosts == 1)
        return customer.fleet_tokens >= 1;
    if (!state.parts.enforces_share)
        return expected >= 1;
    if (is_fresh && expected >= well_filled_level(state, customer.limit, view))
        return true;
    auto const allowed_debt =
        debt_fraction *
        (state.bound.excess * (customer.limit.requests_per_second * state.bound.window_seconds +
                               customer.limit.burst) +
         state.bound.slack);
    return customer.own_tokens >= 1 && (!is_fresh || expected >= -allowed_debt);
}

double smoothed(double previous, double sample, double elapsed, double smoothing)
{
    return previous + (sample - previous) * (1 - std::exp(-elapsed / smoothing));
}

void update_demand(account& customer, double elapsed)
{
    auto const own = signed_count((customer.own - customer.ticked_own).demanded) / elapsed;
    auto const others = customer.others - customer.ticked_others;
    customer.own_demand =
        smoothed(customer.own_demand, customer.delayed_demand[0], elapsed, smoothing_seconds);
    customer.delayed_demand = {customer.delayed_demand[1], own};
    customer.others_demand = smoothed(customer.others_demand,
                                      signed_count(others.demanded) / elapsed,
                                      elapsed,
                                      smoothing_seconds);
    customer.others_admitted = smoothed(customer.others_admitted,
                                        signed_count(others.admitted) / elapsed,
                                        elapsed,
                                        admission_smoothing_seconds);
    customer.earlier_own = customer.ticked_own;
    customer.ticked_own = customer.own;
    customer.ticked_others = customer.others;
}

// Returns what a host on the link is told: the totals of all that it does not hear from another
// host.
totals outgoing(account const& customer, link_kind kind, link_totals const& other)
{
    if (kind == link_kind::reader)
        return customer.own;
    if (kind == link_kind::other_reader)
        return customer.own + customer.from_followers;
    return customer.own + customer.from_followers + customer.from_readers - other.received;
}

void begin_session(ledger& state, link& begun, kernel::monotonic_time now)
{
    begun.own_session = state.session_seed + ++state.sessions_opened;
    begun.opened_at = now;
    for (auto const& [hash, customer] : state.accounts)
    {
        auto& sums = begun.customers[hash];
        // The last reader may not have passed on what was admitted since its last report.
        sums.sent_base = begun.kind == link_kind::reader ? customer.own_at_contact
                                                         : outgoing(customer, begun.kind, sums);
        sums.last_sent = {};
        sums.is_open = true;
    }
}

link& open_link(ledger& state, std::uint64_t id, link_kind kind, kernel::monotonic_time now)
{
    auto& opened = state.links[id];
    opened = {};
    opened.kind = kind;
    begin_session(state, opened, now);
    return opened;
}

void add_received(ledger const& state, account& customer, link_kind kind, totals added)
{
    auto const floor = -max_debt_seconds * customer.limit.requests_per_second - state.bound.slack;
    customer.fleet_tokens = std::max(customer.fleet_tokens - signed_count(added.admitted), floor);
    customer.others = customer.others + added;
    if (kind == link_kind::follower)
        customer.from_followers = customer.from_followers + added;
    if (kind == link_kind::other_reader)
        customer.from_readers = customer.from_readers + added;
}

// After a silence the admissions of the others are unknown.
void forget_tokens(ledger& state)
{
    if (!state.parts.starts_empty)
        return;
    for (auto& [hash, customer] : state.accounts)
        customer.fleet_tokens = std::min(customer.fleet_tokens, 0.0);
}

void skip_totals(link& other, report const& received)
{
    for (auto const& entry : received.changed)
        other.customers[entry.customer].last_received = entry.sum;
}

// Returns the link of a report, or null if the hosts do not agree on its kind.
link* find_link(ledger& state, std::uint64_t id, link_kind receiver, kernel::monotonic_time now)
{
    auto const found = state.links.find(id);
    if (receiver != link_kind::reader)
    {
        auto const kind =
            receiver == link_kind::follower ? link_kind::reader : link_kind::other_reader;
        return found != state.links.end() && found->second.kind == kind ? &found->second : nullptr;
    }
    if (found != state.links.end() && found->second.kind == link_kind::follower)
        return &found->second;
    bool const has_reader = std::any_of(state.links.begin(),
                                        state.links.end(),
                                        [](auto const& entry)
                                        {
                                            return entry.second.kind == link_kind::reader;
                                        });
    return has_reader ? nullptr : &open_link(state, id, link_kind::follower, now);
}

std::uint32_t hosts_in_report(ledger const& state, link const& to, kernel::monotonic_time now)
{
    std::uint32_t hosts = 1;
    if (to.kind == link_kind::reader)
        return hosts;
    for (auto const& [id, other] : state.links)
    {
        bool const is_included =
            &other != &to &&
            (other.kind == link_kind::follower ||
             (other.kind == link_kind::other_reader && to.kind == link_kind::follower));
        if (is_included && other.heard_at && now - *other.heard_at < heard_age)
            hosts += other.other_hosts;
    }
    return hosts;
}

} // namespace

void set_limits(ledger& state, std::span<customer_limit const> limits, kernel::monotonic_time now)
{
    std::unordered_map<std::uint64_t, account> kept;
    for (auto const& limit : limits)
    {
        auto const found = state.accounts.find(limit.customer);
        bool const is_new = found == state.accounts.end();
        auto& customer = kept[limit.customer] = is_new ? account{} : found->second;
        if (is_new)
        {
            customer.filled_at = now;
            customer.fleet_tokens = state.parts.starts_empty ? 0 : capacity_of(state, limit);
            // All hosts may have restarted, and hear nothing of each other for seconds: without a
            // first request each of them would refuse small customers for that time.
            customer.own_tokens = state.parts.saves_whole_request ? 1 : 0;
        }
        else if (limit.requests_per_second < customer.limit.requests_per_second)
        {
            auto const ratio = limit.requests_per_second / customer.limit.requests_per_second;
            customer.fleet_tokens *= ratio;
            customer.own_tokens *= ratio;
        }
        customer.limit = limit;
    }
    state.accounts = std::move(kept);
    for (auto& [id, other] : state.links)
        std::erase_if(other.customers,
                      [&state](auto const& entry)
                      {
                          return !state.accounts.contains(entry.first);
                      });
}

decision try_admit(ledger& state, std::uint64_t hash, kernel::monotonic_time now)
{
    decision result;
    auto const found = state.accounts.find(hash);
    if (found == state.accounts.end())
        return result;
    auto& customer = found->second;
    auto const view = view_of(state, now);
    fill(state, customer, view, now);
    ++customer.own.demanded;
    result.is_admitted = may_admit(state, customer, view);
    result.fleet_tokens = expected_fleet_tokens(state, customer, view);
    result.own_tokens = customer.own_tokens;
    result.share = share_of(state, customer, view);
    result.hosts_heard = view.heard;
    result.fleet_hosts = view.hosts;
    result.view_age = view.age;
    if (result.is_admitted)
    {
        ++customer.own.admitted;
        customer.fleet_tokens -= 1;
        customer.own_tokens = std::max(customer.own_tokens - 1, 0.0);
        return result;
    }
    auto const rate = std::max(share_rate(state, customer, view), 1e-3);
    auto const wait = std::ceil(1000 * std::min((1 - customer.own_tokens) / rate, 60.0));
    result.retry_after =
        std::clamp(milliseconds(static_cast<std::int64_t>(wait)), min_retry_after, max_retry_after);
    return result;
}

void give_back(ledger& state, std::uint64_t hash)
{
    auto const found = state.accounts.find(hash);
    if (found == state.accounts.end() || found->second.own.admitted == 0)
        return;
    --found->second.own.admitted;
    found->second.fleet_tokens += 1;
    found->second.own_tokens += 1;
}

void set_readers(ledger& state,
                 std::optional<std::uint64_t> reader,
                 std::span<std::uint64_t const> other_readers,
                 kernel::monotonic_time now)
{
    std::erase_if(state.links,
                  [&](auto const& entry)
                  {
                      auto const kind = entry.second.kind;
                      if (kind == link_kind::reader)
                          return entry.first != reader;
                      bool const is_other_reader =
                          std::find(other_readers.begin(), other_readers.end(), entry.first) !=
                          other_readers.end();
                      return reader || (kind == link_kind::other_reader && !is_other_reader);
                  });
    if (reader && !state.links.contains(*reader))
        open_link(state, *reader, link_kind::reader, now);
    for (auto const id : other_readers)
    {
        if (!reader && !state.links.contains(id))
            open_link(state, id, link_kind::other_reader, now);
    }
}

void apply_report(ledger& state,
                  std::uint64_t link_id,
                  report const& received,
                  kernel::monotonic_time now)
{
    auto* const found = find_link(state, link_id, received.receiver, now);
    if (found == nullptr)
        return;
    auto& other = *found;
    bool const is_silent = !other.heard_at || now - *other.heard_at >= silent_reader_age;
    if (received.session != other.other_session)
    {
        other.is_session_whole = received.session_age < new_session_age;
        for (auto& [hash, sums] : other.customers)
            sums.last_received = {};
        if (now - other.opened_at >= min_session_age)
            begin_session(state, other, now);
    }
    else if (is_silent)
        // What was admitted meanwhile had its own part of the limits.
        skip_totals(other, received);
    // While another group was silent, its part of the limits was kept for it.
    if (is_silent && other.kind == link_kind::reader)
        forget_tokens(state);
    other.other_session = received.session;
    other.other_hosts = received.hosts;
    other.heard_at = now;
    for (auto const& entry : received.changed)
    {
        auto const customer = state.accounts.find(entry.customer);
        if (customer == state.accounts.end() || !other.is_session_whole)
            continue;
        auto& sums = other.customers[entry.customer];
        // Datagrams may overtake each other.
        if (entry.sum.demanded < sums.last_received.demanded)
            continue;
        auto const added = entry.sum - sums.last_received;
        sums.received = sums.received + added;
        sums.last_received = entry.sum;
        add_received(state, customer->second, other.kind, added);
    }
    if (other.kind != link_kind::reader)
        return;
    for (auto& [hash, customer] : state.accounts)
        customer.own_at_contact = customer.ticked_own;
}

void tick(ledger& state, kernel::monotonic_time now)
{
    auto const view = view_of(state, now);
    // Shares stay as last published while reports are overdue.
    auto const elapsed = seconds_value(now - state.measured_at).count();
    bool const is_measured = elapsed > 0 && view.age < overdue_age;
    if (is_measured)
        state.measured_at = now;
    for (auto& [hash, customer] : state.accounts)
    {
        fill(state, customer, view, now);
        if (is_measured)
            update_demand(customer, elapsed);
        if (view.age >= silent_reader_age)
        {
            // From now on the host uses its own part of the limits and of the debt.
            customer.own_at_contact = customer.own;
            auto const part = customer.fleet_tokens / static_cast<double>(view.hosts);
            customer.own_tokens = std::min(customer.own_tokens, part);
        }
    }
    std::erase_if(state.links,
                  [now](auto const& entry)
                  {
                      auto const& other = entry.second;
                      return other.kind == link_kind::follower && other.heard_at &&
                             now - *other.heard_at >= follower_timeout;
                  });
}

report make_report(ledger& state, std::uint64_t link_id, kernel::monotonic_time now)
{
    auto& to = state.links.at(link_id);
    report result;
    result.session = to.own_session;
    result.session_age = std::chrono::duration_cast<milliseconds>(now - to.opened_at);
    result.receiver = to.kind;
    result.hosts = hosts_in_report(state, to, now);
    for (auto const& [hash, customer] : state.accounts)
    {
        auto& sums = to.customers[hash];
        auto const sum = outgoing(customer, to.kind, sums);
        if (!std::exchange(sums.is_open, true))
            sums.sent_base = sum;
        auto const sent = sum - sums.sent_base;
        if (!(sent == sums.last_sent))
            sums.repeats = sent_repeats;
        sums.last_sent = sent;
        if (sums.repeats == 0)
            continue;
        --sums.repeats;
        result.changed.push_back({hash, sent});
    }
    return result;
}

std::vector<std::uint64_t> open_links(ledger const& state)
{
    std::vector<std::uint64_t> ids;
    for (auto const& [id, other] : state.links)
        ids.push_back(id);
    return ids;
}

} // namespace pistachiohub::quota
