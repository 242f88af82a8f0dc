#include "plugins/membership/control_state.hpp"

#include "plugins/membership/credits.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace pistachiohub::membership
{

namespace
{

constexpr kernel::duration check_interval = std::chrono::milliseconds(100);
// Loads change with every answer, so they are published less often than states.
constexpr kernel::duration load_publish_delay = std::chrono::milliseconds(100);
// An epoch lasts a minute and the owner accepts ids of one epoch too many.
constexpr kernel::duration minor_publish_delay = std::chrono::seconds(1);
constexpr kernel::duration usage_time = std::chrono::seconds(1);

std::string_view name_of(view::member_state state)
{
    switch (state)
    {
    case view::member_state::live:
        return "live";
    case view::member_state::leaving:
        return "leaving";
    case view::member_state::silent:
        return "silent";
    }
    return "unknown";
}

} // namespace

control_state::control_state(kernel::settings own_settings,
                             std::uint64_t incarnation,
                             double jitter,
                             kernel::monotonic_time now)
    : m_settings(std::move(own_settings))
    , m_incarnation(incarnation)
    , m_jitter(jitter)
    , m_started_at(now)
    , m_active_since(now)
    , m_last_call(now)
{
    m_members.own_name = m_settings.name;
    add_seeds(m_members, m_settings.seed_peers, now);
    m_limits = find_limits(m_members, m_settings.failure_domain);
    m_sharing_hosts = find_sharing_hosts(now);
    publish_by(now);
}

void control_state::handle(events::control_event&& event, kernel::monotonic_time now)
{
    check_pause(now);
    std::visit(
        [this, now](auto& content)
        {
            on(content, now);
        },
        event);
}

void control_state::tick(bool is_draining, kernel::monotonic_time now)
{
    check_pause(now);
    if (is_draining != m_is_draining)
    {
        m_is_draining = is_draining;
        note("drain_announced", m_settings.name);
        forget_derived(now);
        send_round(now);
    }
    check_epoch(now);
    if (!m_last_check || now - *m_last_check >= check_interval)
    {
        m_last_check = now;
        check_states(now);
        check_role(now);
    }
    if (!m_last_round || now - *m_last_round >= heartbeat_interval)
    {
        m_last_round = now;
        send_round(now);
    }
}

std::shared_ptr<view::world_view const> control_state::take_view(kernel::monotonic_time now)
{
    bool const is_due = m_publish_due && now >= *m_publish_due;
    bool const is_early = m_published_at && now - *m_published_at < publish_interval;
    if (!m_has_new_configuration && (!is_due || is_early))
        return nullptr;
    m_has_new_configuration = false;
    m_publish_due.reset();
    m_published_at = now;
    own_facts const own{m_settings, m_incarnation, m_epoch, m_is_draining};
    return make_view(own, m_held, m_members, m_servers, m_sharing_hosts, m_derived);
}

std::vector<events::peer_command> control_state::take_commands()
{
    return std::exchange(m_commands, {});
}

std::vector<notice> control_state::take_notices()
{
    return std::exchange(m_notices, {});
}

bool control_state::is_reader() const
{
    return m_is_reader;
}

void control_state::on(events::peer_heard& heard, kernel::monotonic_time now)
{
    if (heard.beat && may_be_queued(now))
        heard.beat->credits.clear();
    auto const* const known = find_member(m_members, heard.sender);
    if (known == nullptr)
    {
        note("unknown_peer_heard", heard.sender, {}, kernel::log_level::debug);
        return;
    }
    if (heard.incarnation < known->incarnation)
    {
        note("old_incarnation_heard",
             heard.sender,
             std::to_string(heard.incarnation),
             kernel::log_level::debug);
        return;
    }
    if (heard.incarnation > known->incarnation)
    {
        note("incarnation_changed", heard.sender, std::to_string(heard.incarnation));
        forget_derived(now);
    }
    auto result = apply_heard(m_members, heard, now);
    if (heard.beat)
    {
        for (auto const& summary : heard.beat->members)
            result = std::max(result, apply_summary(m_members, summary, now));
    }
    if (result == change::major)
        publish_by(now);
    else if (result == change::minor)
        publish_by(now + minor_publish_delay);
    bool const is_behind = config::should_request(m_request_times,
                                                  heard.sender,
                                                  config::held_version(m_held),
                                                  heard.configuration_version,
                                                  now);
    if (is_behind)
        m_commands.push_back({heard.sender, 0, messages::configuration_request{}});
    if (heard.beat)
        request_lists(heard.sender, heard.beat->host_list_revision, now);
}

void control_state::on(events::configuration_wanted const& wanted, kernel::monotonic_time)
{
    if (!m_held.document)
        return;
    messages::configuration_document answer{m_held.document->version, *m_held.text};
    m_commands.push_back({wanted.requester, 0, std::move(answer)});
}

void control_state::on(events::configuration_received const& received, kernel::monotonic_time now)
{
    if (!config::accept(m_held, {received.document, received.text}))
        return;
    note("configuration_applied",
         std::to_string(m_held.document->version),
         m_held.document->patch_id);
    m_has_new_configuration = true;
    send_round(now);
}

void control_state::on(events::host_list_received const& list, kernel::monotonic_time now)
{
    auto const news = accept_list(m_host_lists, list);
    if (news == list_news::older)
        return;
    apply_list(list, now);
    if (news == list_news::changed && list.failure_domain == m_settings.failure_domain)
        send_own_list(list);
}

void control_state::on(events::host_list_polled const& poll, kernel::monotonic_time)
{
    m_is_watch_working = poll.is_successful;
    apply_poll(m_host_lists, poll);
}

void control_state::on(events::host_list_wanted const& wanted, kernel::monotonic_time)
{
    // Backend servers are held only for the own failure domain.
    if (!is_in_own_domain(wanted.requester))
        return;
    for (auto& list : make_answer(m_host_lists, m_settings.failure_domain, wanted.revision))
        m_commands.push_back({wanted.requester, 0, std::move(list)});
}

void control_state::on(events::host_list_told const& told, kernel::monotonic_time now)
{
    if (!is_in_own_domain(told.sender))
        return;
    auto const& content = told.list;
    if (!content.failure_domain.empty())
    {
        events::host_list_received const list{
            content.failure_domain, content.entry_hosts, content.backend_servers, content.revision};
        if (accept_list(m_host_lists, list) == list_news::changed)
            apply_list(list, now);
    }
    apply_answer(m_host_lists, told.sender, content);
}

void control_state::apply_list(events::host_list_received const& list, kernel::monotonic_time now)
{
    apply_host_list(m_members, list, now);
    m_limits = find_limits(m_members, m_settings.failure_domain);
    m_last_check.reset();
    forget_derived(now);
    if (list.failure_domain != m_settings.failure_domain)
        return;
    if (apply_server_list(m_servers, list.backend_servers, now) == server_change::state)
        note_server_states(now);
}

void control_state::on(events::backend_observation const& observation, kernel::monotonic_time now)
{
    auto const result = apply_observation(m_servers, observation, now);
    if (result == server_change::state)
        note_server_states(now);
    else if (result == server_change::load)
        publish_by(now + load_publish_delay);
}

void control_state::on(events::usage_report const& report, kernel::monotonic_time now)
{
    m_usage = report;
    m_usage_at = now;
}

void control_state::send_own_list(events::host_list_received const& list)
{
    auto const message = make_list_message(list);
    for (auto const& host : m_members.members)
    {
        if (host.failure_domain == m_settings.failure_domain)
            m_commands.push_back({host.name, 0, message});
    }
}

void control_state::request_lists(std::string const& peer,
                                  std::uint64_t revision,
                                  kernel::monotonic_time now)
{
    bool const reads_store = m_is_reader && m_is_watch_working;
    if (reads_store || !is_in_own_domain(peer))
        return;
    if (should_request_lists(m_host_lists, peer, revision, now))
        m_commands.push_back({peer, 0, messages::host_list_request{m_host_lists.revision}});
}

bool control_state::is_in_own_domain(std::string_view peer)
{
    auto const* const host = find_member(m_members, peer);
    return host != nullptr && host->failure_domain == m_settings.failure_domain;
}

void control_state::on(events::epoch_fenced const& fenced, kernel::monotonic_time now)
{
    if (fenced.epoch == std::numeric_limits<std::uint32_t>::max())
        return;
    if (!raise_epoch(fenced.epoch + 1, now))
        return;
    note("epoch_fenced", m_settings.name, std::to_string(fenced.epoch));
    // Until the peers hear of the new epoch, their lookups lead to ids that are refused.
    send_round(now);
}

void control_state::check_pause(kernel::monotonic_time now)
{
    auto const gap = now - m_last_call;
    m_last_call = now;
    if (gap <= longest_gap)
        return;
    using std::chrono::duration_cast;
    auto const milliseconds = duration_cast<std::chrono::milliseconds>(gap).count();
    note("pause_detected", m_settings.name, std::to_string(milliseconds));
    drop_states(m_members, now);
    m_usage_at.reset();
    m_active_since = now;
    m_last_check.reset();
    publish_by(now);
}

void control_state::check_states(kernel::monotonic_time now)
{
    for (auto const position : update_states(m_members, m_settings.failure_domain, m_limits, now))
    {
        auto const& host = m_members.members[position];
        note("member_state_changed", host.name, std::string(name_of(host.state)));
        forget_derived(now);
    }
    if (remove_unlisted(m_members))
    {
        m_limits = find_limits(m_members, m_settings.failure_domain);
        forget_derived(now);
    }
    if (remove_unlisted_servers(m_servers, now))
        note_server_states(now);
    auto sharing_hosts = find_sharing_hosts(now);
    if (sharing_hosts == m_sharing_hosts)
        return;
    m_sharing_hosts = std::move(sharing_hosts);
    note("sharing_hosts_changed", m_settings.name, std::to_string(m_sharing_hosts.size()));
    publish_by(now);
}

void control_state::check_role(kernel::monotonic_time now)
{
    role_facts const facts{
        m_settings.name, m_settings.failure_domain, m_is_draining, m_active_since, m_jitter};
    bool const is_now = membership::is_reader(m_members, facts, m_limits, now);
    if (is_now == m_is_reader)
        return;
    m_is_reader = is_now;
    m_is_watch_working = false;
    note("reader_role_changed", m_settings.name, is_now ? "reader" : "not reader");
}

void control_state::check_epoch(kernel::monotonic_time now)
{
    auto const minutes = std::chrono::duration_cast<std::chrono::minutes>(now - m_started_at);
    static_cast<void>(raise_epoch(static_cast<std::uint32_t>(minutes.count()), now));
}

bool control_state::raise_epoch(std::uint32_t epoch, kernel::monotonic_time now)
{
    if (epoch <= m_epoch)
        return false;
    m_epoch = epoch;
    publish_by(now);
    return true;
}

void control_state::note_server_states(kernel::monotonic_time now)
{
    m_derived.are_servers_current = false;
    for (auto& server : m_servers.servers)
    {
        if (server.state == server.noted_state)
            continue;
        server.noted_state = server.state;
        note("backend_server_state_changed", server.name, std::string(name_of(server.state)));
    }
    publish_by(now);
}

void control_state::forget_derived(kernel::monotonic_time now)
{
    m_derived.are_hosts_current = false;
    publish_by(now);
}

void control_state::send_round(kernel::monotonic_time now)
{
    auto const targets = next_targets(m_members, m_settings.failure_domain, m_is_reader, m_turns);
    auto const beat = make_heartbeat(now);
    std::vector<std::string_view> recipients;
    for (auto const& target : targets)
    {
        auto const* const host = find_member(m_members, target);
        bool const is_recipient = host->failure_domain != m_settings.failure_domain &&
                                  host->state == view::member_state::live;
        if (is_recipient)
            recipients.push_back(target);
    }
    bool const has_credits = has_fresh_usage(now) && !m_is_draining;
    for (auto const& target : targets)
    {
        auto own_beat = beat;
        auto const position = std::find(recipients.begin(), recipients.end(), target);
        if (has_credits && position != recipients.end())
            own_beat.credits =
                split_credits(m_usage.credits,
                              recipients.size(),
                              static_cast<std::size_t>(position - recipients.begin()),
                              m_round);
        m_commands.push_back({target, 0, std::move(own_beat)});
    }
    ++m_round;
}

void control_state::publish_by(kernel::monotonic_time due)
{
    m_publish_due = m_publish_due ? std::min(*m_publish_due, due) : due;
}

void control_state::note(std::string_view event,
                         std::string subject,
                         std::string detail,
                         kernel::log_level level)
{
    m_notices.push_back({event, std::move(subject), std::move(detail), level});
}

std::vector<std::string> control_state::find_sharing_hosts(kernel::monotonic_time now) const
{
    std::vector<std::string> hosts{m_settings.name};
    for (auto const& host : m_members.members)
    {
        if (host.failure_domain != m_settings.failure_domain)
            continue;
        // After a start or a pause, a host that is about to be heard keeps its share.
        bool const may_be_heard = !host.is_heard && !host.is_listed_leaving &&
                                  now - host.known_since <= m_limits.own_domain;
        if (may_be_heard || host.state != view::member_state::silent)
            hosts.push_back(host.name);
    }
    return hosts;
}

messages::heartbeat control_state::make_heartbeat(kernel::monotonic_time now)
{
    messages::heartbeat beat;
    beat.is_leaving = m_is_draining;
    beat.epoch = m_epoch;
    beat.requests_in_flight = m_usage.requests_in_flight;
    beat.host_list_revision = m_host_lists.revision;
    if (m_is_reader && !m_limits.is_direct)
        beat.members = choose_summaries(m_members, m_summary_turns, now);
    return beat;
}

bool control_state::may_be_queued(kernel::monotonic_time now) const
{
    // Right after a pause, heartbeats that arrived during the pause are read.
    return m_active_since != m_started_at && now - m_active_since < heartbeat_interval;
}

bool control_state::has_fresh_usage(kernel::monotonic_time now) const
{
    return m_usage_at && now - *m_usage_at <= usage_time;
}

} // namespace pistachiohub::membership
