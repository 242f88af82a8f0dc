#include "tests/forward/schedule.hpp"

#include "tests/forward/fixture.hpp"
#include "tests/forward/simulated_servers.hpp"

#include <algorithm>
#include <array>
#include <functional>

namespace pistachiohub::forward_test
{

namespace
{

constexpr std::size_t daemon_count = 4;
constexpr std::size_t request_count = 150;
constexpr auto fault_time = 15s;
constexpr auto total_time = 60s;
/// Short epochs, so that a schedule lasts longer than the retention.
constexpr auto epoch_length = 2s;
/// Appended to the id of a request that `defect::resend_starts_new_request` handles as a new one.
constexpr std::string_view new_request_suffix = "_again";

struct simulated_daemon
{
    std::string name;
    view::index failure_domain = 0;
    bool is_up = false;
    kernel::monotonic_time frozen_until;
    kernel::monotonic_time started_at;
    std::unique_ptr<forward::coordinator> state;
    view::world_view world;
    std::array<kernel::monotonic_time, daemon_count> last_heard_at{};
};

/// The journal of one daemon incarnation in the simulated store.
struct simulated_journal
{
    /// True once the journal is fenced: no further intent is accepted.
    bool is_closed = false;
    /// Outcomes by request id; empty while only the intent is written.
    std::map<std::string, std::optional<outcome>> entries;
};

/// One transmission of a request by a caller.
struct call
{
    std::string id;
    bool is_first = false;
    std::string body;
};

/// What was observed of one request id outside the coordinators.
struct ledger_entry
{
    bool is_idempotent = false;
    bool is_resent = false;
    bool has_ended = false;
    bool was_told_not_run = false;
    std::vector<events::settle_request> settlements;
};

std::string original_id(std::string const& id)
{
    auto const position = id.rfind(new_request_suffix);
    return position == std::string::npos ? id : id.substr(0, position);
}

class schedule
{
public:
    schedule(std::uint64_t seed, defect injected_defect)
        : m_simulation(seed)
        , m_defect(injected_defect)
    {
    }

    schedule_result run()
    {
        auto const begin = m_simulation.now;
        for (std::size_t index = 0; index < daemon_count; ++index)
        {
            m_daemons[index].name = "host-" + std::to_string(index);
            m_daemons[index].failure_domain = static_cast<view::index>(index % 3);
        }
        for (std::size_t index = 0; index < daemon_count; ++index)
        {
            start(index);
            tick(index);
        }
        for (std::size_t number = 0; number < request_count; ++number)
            call_after(m_simulation.random_ms(100, 12000), &schedule::begin_request, number);
        for (int fault = 0; fault < 8; ++fault)
            call_after(m_simulation.random_ms(500, 14000), &schedule::inject_fault);
        m_simulation.run_until(begin + fault_time);
        m_injects_faults = false;
        m_simulation.run_until(begin + total_time);
        check();
        return std::move(m_result);
    }

private:
    /// Schedules a call of a member function after `delay`.
    template<class Member, class... Arguments>
    void call_after(kernel::duration delay, Member member, Arguments... arguments)
    {
        m_simulation.call_after(delay, std::bind_front(member, this, std::move(arguments)...));
    }

    void start(std::size_t index)
    {
        auto& host = m_daemons[index];
        if (host.is_up)
            return;
        host.is_up = true;
        host.started_at = m_simulation.now;
        host.state = std::make_unique<forward::coordinator>();
        for (auto const* const service : {"look", "lock", "order"})
            host.state->services[service].retries.tokens = retry::max_tokens;
        host.world = make_world();
        host.world.own_name = host.name;
        host.world.own_incarnation = ++m_incarnation;
        host.world.own_failure_domain = host.failure_domain;
        host.world.entry_hosts.clear();
        for (auto const& other : m_daemons)
        {
            view::entry_host listed;
            listed.name = other.name;
            listed.failure_domain = other.failure_domain;
            host.world.entry_hosts.push_back(listed);
        }
        for (auto& server : host.world.backend_servers)
            server.name += "-" + std::to_string(host.failure_domain);
        // Each failure domain lacks the servers of one service, so that its requests are relayed.
        std::erase_if(host.world.backend_servers,
                      [&host](view::backend_server const& server)
                      {
                          return server.service == host.failure_domain;
                      });
    }

    [[nodiscard]] bool is_running(std::size_t index) const
    {
        return m_daemons[index].is_up && m_daemons[index].frozen_until <= m_simulation.now;
    }

    [[nodiscard]] bool is_partitioned(std::size_t one, std::size_t other) const
    {
        return m_partition_until > m_simulation.now &&
               (one == m_partitioned_daemon) != (other == m_partitioned_daemon);
    }

    void update_view(std::size_t index)
    {
        auto& host = m_daemons[index];
        host.world.own_epoch =
            static_cast<std::uint32_t>((m_simulation.now - host.started_at) / epoch_length);
        for (std::size_t other = 0; other < daemon_count; ++other)
        {
            auto& listed = host.world.entry_hosts[other];
            auto const& world = m_daemons[other].world;
            if (is_running(other) && !is_partitioned(index, other) && m_simulation.chance(70))
            {
                host.last_heard_at[other] = m_simulation.now;
                listed.incarnation = world.own_incarnation;
                listed.epoch = world.own_epoch;
            }
            auto const is_silent = host.last_heard_at[other] + 3s < m_simulation.now;
            listed.state = is_silent ? view::member_state::silent : view::member_state::live;
        }
    }

    void tick(std::size_t index)
    {
        call_after(20ms, &schedule::tick, index);
        if (!is_running(index))
            return;
        update_view(index);
        auto& host = m_daemons[index];
        execute(index,
                forward::tick(*host.state, host.world, m_simulation.now, m_simulation.random()));
    }

    /// Delivers an event to an incarnation, or drops it if that has ended. A frozen daemon gets the
    /// event when it resumes.
    void deliver(std::size_t index, std::uint64_t incarnation, events::forward_event event)
    {
        auto& host = m_daemons[index];
        if (!host.is_up || host.world.own_incarnation != incarnation)
            return;
        if (!is_running(index))
        {
            auto const frozen = host.frozen_until - m_simulation.now;
            call_after(frozen, &schedule::deliver, index, incarnation, std::move(event));
            return;
        }
        apply_defect(host, event);
        auto const cancelled = find_cancel_to_drop(event);
        execute(index,
                forward::handle(*host.state,
                                std::move(event),
                                host.world,
                                m_simulation.now,
                                m_simulation.random()));
        if (!cancelled.has_value())
            return;
        auto const& [id, attempt] = *cancelled;
        auto& relays = host.state->relays.runs;
        auto const found = relays.find({id.owner, id.incarnation, id.epoch, id.unique, attempt});
        if (found != relays.end() && !found->second->is_dispatched)
            relays.erase(found);
    }

    /// @returns the cancellation whose record the injected defect drops, or nothing.
    [[nodiscard]] std::optional<messages::relay_cancel>
    find_cancel_to_drop(events::forward_event const& event) const
    {
        auto const* const message = std::get_if<events::peer_request_message>(&event);
        if (m_defect != defect::relay_cancel_records_dropped || message == nullptr)
            return std::nullopt;
        auto const* const cancel = std::get_if<messages::relay_cancel>(&message->content);
        return cancel == nullptr ? std::nullopt : std::optional(*cancel);
    }

    /// Alters an event according to the injected defect.
    void apply_defect(simulated_daemon const& host, events::forward_event& event) const
    {
        auto* const result = std::get_if<events::attempt_result>(&event);
        if (m_defect == defect::break_is_proof && result != nullptr &&
            result->end == events::attempt_end::broken)
            result->end = events::attempt_end::refused;
        auto* const cancel = std::get_if<events::cancel_result>(&event);
        if (m_defect == defect::cancel_is_proof && cancel != nullptr)
            cancel->is_cancelled = true;
        auto* const subject = std::get_if<events::caller_request>(&event);
        if (m_defect == defect::resend_starts_new_request && subject != nullptr &&
            host.state->requests.requests.contains(*subject->id))
            subject->id->unique += new_request_suffix;
    }

    /// @returns a function that delivers an event after `delay` to the current incarnation of a
    /// daemon.
    auto make_event_callback(std::size_t index, kernel::duration delay)
    {
        auto const incarnation = m_daemons[index].world.own_incarnation;
        return [this, index, incarnation, delay](events::forward_event event)
        {
            call_after(delay, &schedule::deliver, index, incarnation, std::move(event));
        };
    }

    void execute(std::size_t index, std::vector<forward::action> const& actions)
    {
        for (auto const& item : actions)
            std::visit(
                [this, index](auto const& content)
                {
                    apply(index, content);
                },
                item);
    }

    void send_to_server(events::backend_command const& command,
                        simulated_servers::event_callback const& on_event)
    {
        if (auto const* run = std::get_if<events::dispatch_attempt>(&command))
            m_servers.dispatch(m_simulation, *run, on_event);
        else
            m_servers.cancel(m_simulation, std::get<events::cancel_attempt>(command), on_event);
    }

    void apply(std::size_t index, events::backend_command const& command)
    {
        simulated_servers::event_callback const on_event =
            make_event_callback(index, m_simulation.random_ms(0, 20));
        call_after(m_simulation.random_ms(0, 20), &schedule::send_to_server, command, on_event);
    }

    void apply(std::size_t index, events::peer_command const& command)
    {
        auto const& sender = m_daemons[index];
        if (command.recipient == sender.name)
            add_violation("message to itself", sender.name);
        auto const* const relay = std::get_if<messages::relay>(&command.content);
        auto const* const submit = std::get_if<messages::submit>(&command.content);
        m_result.counts["relay"] += relay != nullptr ? 1 : 0;
        m_result.counts["submit"] += submit != nullptr ? 1 : 0;
        if (m_injects_faults && m_simulation.chance(5) && relay != nullptr)
            return make_event_callback(index, 0ms)(events::peer_unsent{*relay});
        if (m_injects_faults && m_simulation.chance(5) && submit != nullptr)
            return make_event_callback(index, 0ms)(events::peer_unsent{*submit});
        auto const recipient = find_daemon(command.recipient);
        auto const copies = m_injects_faults && m_simulation.chance(15) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            if (is_partitioned(index, recipient) || (m_injects_faults && m_simulation.chance(10)))
                continue;
            send_copy(recipient, sender, command);
        }
    }

    void send_copy(std::size_t recipient,
                   simulated_daemon const& sender,
                   events::peer_command const& command)
    {
        auto const delay = m_simulation.chance(15) ? m_simulation.random_ms(100, 4000)
                                                   : m_simulation.random_ms(1, 30);
        auto event = std::visit(
            [&sender](auto const& content)
            {
                events::peer_request_message made{sender.name, sender.world.own_incarnation, {}};
                if constexpr (requires { made.content = content; })
                    made.content = content;
                return made;
            },
            command.content);
        call_after(delay,
                   &schedule::deliver_to_incarnation,
                   recipient,
                   command.recipient_incarnation,
                   event);
    }

    /// Delivers a message, or drops it if it is addressed to another incarnation, as the peer duty
    /// does. A `recipient_incarnation` of 0 stands for any incarnation.
    void deliver_to_incarnation(std::size_t recipient,
                                std::uint64_t recipient_incarnation,
                                events::forward_event const& event)
    {
        auto const current = m_daemons[recipient].world.own_incarnation;
        if (recipient_incarnation == 0 || recipient_incarnation == current)
            deliver(recipient, current, event);
    }

    [[nodiscard]] std::size_t find_daemon(std::string_view name) const
    {
        std::size_t index = 0;
        while (m_daemons.at(index).name != name)
            ++index;
        return index;
    }

    simulated_journal& journal_of(identity::request_id const& id)
    {
        return m_journals[id.owner + "/" + std::to_string(id.incarnation)];
    }

    void apply(std::size_t index, events::store_command const& command)
    {
        simulated_servers::event_callback const on_event =
            make_event_callback(index, m_simulation.random_ms(0, 20));
        if (auto const* settled = std::get_if<events::settle_request>(&command))
        {
            m_ledger[original_id(to_string(settled->id))].settlements.push_back(*settled);
            m_result.counts["settled_late"] += settled->was_unresolved ? 1 : 0;
        }
        call_after(m_simulation.random_ms(5, 80), &schedule::write, command, on_event);
    }

    void write(events::store_command const& command,
               simulated_servers::event_callback const& on_event)
    {
        if (auto const* intent = std::get_if<events::append_intent>(&command))
        {
            auto& journal = journal_of(intent->id);
            if (journal.is_closed || m_simulation.chance(5))
                return on_event(events::intent_refused{intent->id});
            journal.entries[to_string(intent->id)] = std::nullopt;
            return on_event(events::intent_durable{intent->id});
        }
        if (auto const* settled = std::get_if<events::settle_request>(&command))
        {
            auto& journal = journal_of(settled->id);
            if (settled->is_journaled && !journal.is_closed)
                journal.entries[to_string(settled->id)] = settled->result;
        }
        if (auto const* fence = std::get_if<events::fence_owner>(&command))
        {
            ++m_result.counts["fence"];
            auto& journal = journal_of(fence->id);
            journal.is_closed = true;
            auto const found = journal.entries.find(to_string(fence->id));
            auto const result = found == journal.entries.end()
                                    ? outcome::not_run
                                    : found->second.value_or(outcome::unresolved);
            on_event(events::fence_result{fence->id, result, reason::fenced});
        }
    }

    void apply(std::size_t index, events::control_event const& event)
    {
        auto const& report = std::get<events::usage_report>(event);
        for (std::size_t other = 0; other < daemon_count; ++other)
        {
            if (other == index || is_partitioned(index, other) || !is_running(other))
                continue;
            auto& world = m_daemons[other].world;
            auto& credits = world.entry_hosts[index].credits;
            credits.clear();
            for (auto const& offer : report.credits)
                credits.push_back(
                    {view::find_service(world, offer.service), offer.slots, m_simulation.now + 1s});
        }
    }

    void apply(std::size_t, forward::counter_increment const& count)
    {
        m_result.counts["retry"] += count.which == forward::metric::retries ? 1 : 0;
    }

    void apply(std::size_t, forward::log_entry const&) {}

    void begin_request(std::size_t number)
    {
        auto const owner = m_simulation.random_below(daemon_count);
        auto const& world = m_daemons[owner].world;
        identity::request_id const id{world.own_name,
                                      world.own_incarnation,
                                      world.own_epoch,
                                      "request-" + std::to_string(number)};
        constexpr std::array<std::string_view, 3> services{"look", "lock", "order"};
        auto const service = std::string(services.at(m_simulation.random_below(services.size())));
        m_ledger[to_string(id)].is_idempotent = service == "look";
        transmit(id,
                 service,
                 m_simulation.chance(90) ? owner : m_simulation.random_below(daemon_count),
                 1);
        auto delay = kernel::duration{};
        for (std::uint32_t transmission = 2; transmission < 7; ++transmission)
        {
            delay += m_simulation.chance(20) ? 0ms : m_simulation.random_ms(50, 5000);
            auto const target = m_simulation.random_below(daemon_count);
            call_after(delay, &schedule::transmit, id, service, target, transmission);
        }
    }

    void transmit(identity::request_id const& id,
                  std::string const& service,
                  std::size_t target,
                  std::uint32_t transmission)
    {
        auto& entry = m_ledger[to_string(id)];
        if (entry.has_ended && !(entry.is_resent && m_simulation.chance(30)))
            return;
        auto const exchange = ++m_exchange;
        auto const is_first = transmission == 1;
        // Sometimes a copy has a different body. The body that reaches the owner first counts.
        auto const has_other_body = !is_first && m_simulation.chance(5);
        auto const body = (has_other_body ? "other " : "body of ") + id.unique;
        entry.is_resent |= !is_first;
        m_calls[exchange] = {to_string(id), is_first, body};
        auto const deadline = m_simulation.now + m_simulation.random_ms(300, 5000);
        deliver(target,
                m_daemons[target].world.own_incarnation,
                events::caller_request{exchange, id, transmission, service, deadline, body});
    }

    void apply(std::size_t, events::front_reply const& reply)
    {
        auto const found = m_calls.find(reply.exchange);
        if (found == m_calls.end())
            return add_violation("second answer on an exchange", to_string(reply.id));
        auto const call = found->second;
        m_calls.erase(found);
        auto& entry = m_ledger[call.id];
        // A caller that re-sends a request ignores the answer to its first transmission.
        if (call.is_first && entry.is_resent)
            return;
        entry.has_ended = entry.has_ended || reply.result != outcome::unresolved;
        ++m_result.counts[std::string(to_string(reply.result))];
        if (reply.result == outcome::not_run)
            entry.was_told_not_run = true;
        auto const is_fenced = reply.cause == reason::fenced;
        if (reply.result == outcome::ran && !is_fenced &&
            original_id(reply.answer) != expected_answer(call.id, call.body))
            add_violation("wrong answer", call.id);
    }

    void inject_fault()
    {
        auto const target = m_simulation.random_below(daemon_count);
        auto& host = m_daemons[target];
        switch (m_simulation.random_below(3))
        {
        case 0:
            host.is_up = false;
            call_after(m_simulation.random_ms(300, 5000), &schedule::start, target);
            break;
        case 1:
            host.frozen_until = m_simulation.now + m_simulation.random_ms(300, 6000);
            break;
        default:
            m_partitioned_daemon = target;
            m_partition_until = m_simulation.now + m_simulation.random_ms(500, 5000);
        }
    }

    void add_violation(std::string const& what, std::string const& id)
    {
        m_result.violations.push_back(what + ": " + id);
    }

    void check()
    {
        std::map<std::string, std::size_t> runs;
        for (auto const& [id, count] : m_servers.runs)
            runs[original_id(id)] += count;
        for (auto const& [id, entry] : m_ledger)
        {
            auto const count = runs[id];
            if (!entry.is_idempotent && count > 1)
                add_violation("at-most-once id ran " + std::to_string(count) + " times", id);
            if (entry.was_told_not_run && count > 0)
                add_violation("told not_run but ran", id);
            check_settlements(id, entry, count);
        }
        for (auto const& host : m_daemons)
            check_idle(host);
    }

    void check_settlements(std::string const& id, ledger_entry const& entry, std::size_t runs)
    {
        auto const& settlements = entry.settlements;
        for (std::size_t number = 0; number < settlements.size(); ++number)
        {
            auto const is_second = number == 1;
            auto const is_valid = number < 2 && settlements[number].was_unresolved == is_second &&
                                  (!is_second || settlements[0].result == outcome::unresolved);
            if (!is_valid)
                add_violation("settled more than once", id);
        }
        if (settlements.empty())
            return;
        auto const result = settlements.back().result;
        if (result == outcome::not_run && runs > 0)
            add_violation("settled as not_run but ran", id);
        if (result == outcome::ran && runs == 0)
            add_violation("settled as ran but did not run", id);
    }

    /// Checks that no request, run, slot, credit, timer or waiting caller is left at the end; one
    /// that is never released would be a leak.
    void check_idle(simulated_daemon const& host)
    {
        auto const& state = *host.state;
        auto in_use = state.requests.open_requests + state.relays.open_runs + state.queue.size +
                      state.forwards.pending.size() + state.credits.size() +
                      state.requests.timers.size();
        for (auto const& usage : state.servers.usage)
            in_use += usage.second.in_flight;
        if (in_use != 0)
            add_violation("not idle at the end", host.name);
    }

    simulation m_simulation;
    defect m_defect;
    schedule_result m_result;
    simulated_servers m_servers;
    std::array<simulated_daemon, daemon_count> m_daemons;
    std::map<std::string, simulated_journal> m_journals;
    std::map<std::string, ledger_entry> m_ledger;
    std::map<std::uint64_t, call> m_calls;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_exchange = 0;
    std::size_t m_partitioned_daemon = 0;
    kernel::monotonic_time m_partition_until;
    bool m_injects_faults = true;
};

} // namespace

schedule_result run_schedule(std::uint64_t seed, defect injected_defect)
{
    return schedule(seed, injected_defect).run();
}

} // namespace pistachiohub::forward_test
