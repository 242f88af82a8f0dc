#pragma once

/// @file
/// Quotas of customers over all hosts of the fleet.
///
/// Each host counts the demand and the admissions of each customer, and hosts exchange cumulative
/// totals: a follower sends its own to its reader, readers exchange the sums of their groups, and a
/// reader sends to each follower the sums of all others. From them, each host keeps an estimate of
/// the fleet's token bucket. While it is well filled, requests are admitted. Below that, a host
/// admits its share of the rate, in proportion to the demand as last published, so that the shares
/// of all hosts add up to the rate. Addresses the load pattern in which one customer sends several
/// times its usual demand at all hosts at once, while the hosts learn of it with a delay.

#include "kernel/clock.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace pistachiohub::quota
{

/// Interval at which totals are published.
inline constexpr auto publish_interval = std::chrono::milliseconds(200);

/// Which parts of the design are in force. Tests switch single ones off, to show that they are
/// needed and to compare designs.
struct design
{
    /// Shares follow the published demand; otherwise each host has the same share.
    bool shares_follow_demand = true;
    /// Only the share is admitted while the fleet bucket is not well filled.
    bool enforces_share = true;
    /// Fills the bucket only for the hosts that are heard.
    bool reserves_for_silent_hosts = true;
    /// A host that has just started has an empty bucket.
    bool starts_empty = true;
    /// A host may save up one request, however small its share is.
    bool saves_whole_request = true;
};

/// Limits of one customer over all hosts.
struct customer_limit
{
    /// Hash of the customer's name.
    std::uint64_t customer = 0;
    double requests_per_second = 0;
    double burst = 0;
};

/// Bound on the requests of a window that the limits are to keep, for the tolerance that the
/// thresholds are derived from.
struct tolerance
{
    double window_seconds = 5;
    double slack = 20;
    double excess = 0.1;
};

/// Requests of one customer since a start.
struct totals
{
    std::uint64_t demanded = 0;
    std::uint64_t admitted = 0;
};

/// Totals of one customer in a report.
struct customer_totals
{
    std::uint64_t customer = 0;
    totals sum;
};

/// What another host is to this one.
enum class link_kind
{
    /// This host's reader.
    reader,
    /// A reader of another group; only readers have such links.
    other_reader,
    /// A host whose reader this one is.
    follower
};

/// What one host tells another one: the totals since the begin of a session. A session ends when
/// the sender restarts or gives up the link.
struct report
{
    /// Unique per host, incarnation of its process, and link.
    std::uint64_t session = 0;
    /// Time since the begin of the session.
    std::chrono::milliseconds session_age{0};
    /// What the receiver is to the sender. It decides which totals are contained, so that no totals
    /// return to a host that passed them on, also while hosts disagree on the readers.
    link_kind receiver = link_kind::reader;
    /// Number of hosts whose requests the totals contain.
    std::uint32_t hosts = 0;
    /// Totals that changed recently.
    std::vector<customer_totals> changed;
};

/// Totals exchanged over one link for one customer.
struct link_totals
{
    /// Sum of what was received in all sessions of the link.
    totals received;
    /// Last totals of the current session of the other host.
    totals last_received;
    /// Totals to send at the begin of this host's session.
    totals sent_base;
    totals last_sent;
    /// Number of reports that still contain the totals, in case that earlier ones were lost.
    std::uint8_t repeats = 0;
    /// Whether `sent_base` is set.
    bool is_open = false;
};

/// A host with which this one exchanges reports.
struct link
{
    link_kind kind = link_kind::reader;
    std::uint64_t own_session = 0;
    kernel::monotonic_time opened_at;
    std::uint64_t other_session = 0;
    /// Whether the session of the other host was received from its begin. Otherwise its totals are
    /// ignored, until it notices that this host has begun a session and begins one too.
    bool is_session_whole = false;
    std::uint32_t other_hosts = 0;
    std::optional<kernel::monotonic_time> heard_at;
    std::unordered_map<std::uint64_t, link_totals> customers;
};

/// State of one customer at this host.
struct account
{
    customer_limit limit;
    /// Estimate of the fleet's bucket; negative in debt.
    double fleet_tokens = 0;
    /// Requests that this host may admit of its share.
    double own_tokens = 0;
    kernel::monotonic_time filled_at;
    totals own;
    /// Admissions as of the last report of the reader, where a new session begins when the reader
    /// changes.
    totals own_at_contact;
    totals from_followers;
    totals from_readers;
    /// Totals of all others, in whatever way they were received.
    totals others;
    /// Totals at the last tick and at the one before.
    totals ticked_own;
    totals earlier_own;
    totals ticked_others;
    /// Own demand of the last ticks, which delays it as much as that of the others.
    std::array<double, 2> delayed_demand{};
    /// Smoothed requests a second.
    double own_demand = 0;
    double others_demand = 0;
    double others_admitted = 0;
};

/// The state of all customers at one host. The functions below change it.
struct ledger
{
    design parts;
    tolerance bound;
    /// Number of hosts of the fleet; 0 while it is unknown.
    std::uint32_t fleet_hosts = 0;
    std::unordered_map<std::uint64_t, account> accounts;
    std::unordered_map<std::uint64_t, link> links;
    /// Differs between hosts and incarnations of their processes.
    std::uint64_t session_seed = 0;
    std::uint64_t sessions_opened = 0;
    kernel::monotonic_time measured_at;
};

/// The decision about a request, with its inputs.
struct decision
{
    bool is_admitted = true;
    /// When a refused caller may expect to be admitted.
    std::chrono::milliseconds retry_after{0};
    double fleet_tokens = 0;
    double own_tokens = 0;
    /// This host's part of the rate.
    double share = 1;
    /// Number of hosts whose totals are known, and of the fleet.
    std::uint32_t hosts_heard = 1;
    std::uint32_t fleet_hosts = 1;
    /// Time since the last report of the reader; 0 at a reader.
    std::chrono::milliseconds view_age{0};
};

/// Sets the limits of a new configuration. Customers that are missing have no limit. Tokens and
/// debts are reduced in proportion to a lowered limit; a raised limit adds none.
void set_limits(ledger& state, std::span<customer_limit const> limits, kernel::monotonic_time now);

/// Counts a request, and admits it if the quota permits it. A customer without a limit is always
/// admitted.
[[nodiscard]] decision try_admit(ledger& state, std::uint64_t customer, kernel::monotonic_time now);

/// Returns the token of an admitted request that was refused later and never ran.
void give_back(ledger& state, std::uint64_t customer);

/// Sets the links of this host; those that are missing are closed. Followers are added by
/// `apply_report` instead.
/// @param reader link of this host's reader; missing if it is itself a reader.
/// @param other_readers links of the other readers; empty unless this host is a reader.
void set_readers(ledger& state,
                 std::optional<std::uint64_t> reader,
                 std::span<std::uint64_t const> other_readers,
                 kernel::monotonic_time now);

/// Applies a report. A sender whose reader this host is becomes a follower, unless this host has a
/// reader itself. Other reports are ignored unless both hosts agree on the kind of the link.
void apply_report(ledger& state,
                  std::uint64_t link_id,
                  report const& received,
                  kernel::monotonic_time now);

/// Updates the demand and closes links of silent followers. Called once per `publish_interval`.
void tick(ledger& state, kernel::monotonic_time now);

/// @returns the report for a link; the totals in it count as sent.
[[nodiscard]] report make_report(ledger& state, std::uint64_t link_id, kernel::monotonic_time now);

/// @returns the links with followers and other readers, or with the reader.
[[nodiscard]] std::vector<std::uint64_t> open_links(ledger const& state);

} // namespace pistachiohub::quota
