#include "kernel/clock.hpp"
#include "kernel/daemon.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/events/store_command.hpp"
#include "libraries/ledger/journal_document.hpp"
#include "plugins/store/journal_fence.hpp"
#include "tests/store/fake_store.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace pistachiohub
{

namespace
{

using namespace std::chrono_literals;

constexpr auto document = R"({"version": 1, "patch_id": "initial",
    "regions": {"r": {"failure_domains": {"fd-1": {}}}}, "services": {}})";

class duty_fixture
{
protected:
    ~duty_fixture()
    {
        stop();
    }

    tests::fake_store m_store;
    kernel::daemon_context m_context{make_settings(), 5};
    std::unique_ptr<kernel::duty> m_duty;
    std::thread m_thread;

    [[nodiscard]] kernel::settings make_settings() const
    {
        kernel::settings result;
        result.name = "host-1";
        result.failure_domain = "fd-1";
        result.store = m_store.endpoint();
        return result;
    }

    void start(std::string_view name)
    {
        for (auto const& known : kernel::registered_plugins())
        {
            if (known.name == name)
                m_duty = known.create(m_context);
        }
        REQUIRE(m_duty);
        m_thread = std::thread(
            [this]()
            {
                m_duty->run();
            });
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_duty->request_stop();
        m_thread.join();
    }

    void command(events::store_command wanted)
    {
        auto& commands = m_context.shared<kernel::mailbox<events::store_command>>();
        bool const is_queued = commands.try_push(std::move(wanted));
        REQUIRE(is_queued);
    }

    template<class Event, class Message = events::forward_event>
    [[nodiscard]] std::optional<Event> receive()
    {
        std::optional<Event> found;
        auto& box = m_context.shared<kernel::mailbox<Message>>();
        static_cast<void>(tests::eventually(
            [&]()
            {
                box.drain(
                    [&found](Message&& message)
                    {
                        if (auto* const event = std::get_if<Event>(&message))
                            found = std::move(*event);
                    });
                return found.has_value();
            }));
        return found;
    }

    void flush()
    {
        std::atomic<bool> is_flushed{false};
        command(events::flush_settlement{[&is_flushed]()
                                         {
                                             is_flushed = true;
                                         }});
        REQUIRE(tests::eventually(
            [&]()
            {
                return is_flushed.load();
            }));
    }

    [[nodiscard]] std::uint64_t settled_runs() const
    {
        auto const text = m_store.get("settlement", "host-1.5").value;
        return ledger::parse_settlement(text).windows.at(0).services.at("redeem").ran;
    }
};

identity::request_id own_id(std::string unique)
{
    return {"host-1", 5, 0, std::move(unique)};
}

} // namespace

TEST_CASE_METHOD(duty_fixture,
                 "configuration_watch_delivers_first_document_and_change",
                 "[store][concurrent]")
{
    m_store.put("configuration", "current", document);
    start("configuration watch");
    auto const first = receive<events::configuration_received, events::control_event>();
    REQUIRE(first);
    CHECK(first->document->version == 1);
    std::string changed = document;
    changed.replace(changed.find('1'), 1, "2");
    m_store.put("configuration", "current", changed);
    auto const second = receive<events::configuration_received, events::control_event>();
    REQUIRE(second);
    CHECK(second->document->version == 2);
}

// A stop that waited for the long poll would hold up the shutdown by up to 20 s.
TEST_CASE_METHOD(duty_fixture,
                 "host_watch_stops_within_200_ms_during_long_poll",
                 "[store][concurrent]")
{
    m_store.put("hosts",
                "fd-1",
                R"({"entry_hosts": [{"name": "host-1", "address": "127.0.0.1", "caller_port": 1,
        "peer_port": 2, "admin_port": 3, "state": "leaving"}, {"name": 7}],
        "backend_servers": [{"name": "b", "address": "127.0.0.1", "port": 9, "service": "redeem", "state": "live"}]})");
    start("host watch");
    auto const received = receive<events::host_list_received, events::control_event>();
    REQUIRE(received);
    REQUIRE(received->entry_hosts.size() == 1);
    CHECK(received->entry_hosts[0].is_leaving);
    CHECK(received->backend_servers.size() == 1);
    CHECK(received->revision > 0);
    std::this_thread::sleep_for(50ms);
    auto const start_of_stop = std::chrono::steady_clock::now();
    stop();
    CHECK(std::chrono::steady_clock::now() - start_of_stop < 200ms);
}

// Without the revision of an empty poll, a list without changes is asked for again and again.
// Without the failure, a reader that is cut off from the store does not ask its peers.
TEST_CASE_METHOD(duty_fixture,
                 "host_watch_reports_polls_without_lists_and_failures",
                 "[store][concurrent]")
{
    m_store.put("configuration", "current", document);
    start("host watch");
    auto const polled = receive<events::host_list_polled, events::control_event>();
    REQUIRE(polled);
    CHECK(polled->is_successful);
    CHECK(polled->revision > 0);
    m_store.is_down = true;
    m_store.put("hosts", "fd-1", "{}");
    auto const failed = receive<events::host_list_polled, events::control_event>();
    REQUIRE(failed);
    CHECK_FALSE(failed->is_successful);
}

TEST_CASE_METHOD(duty_fixture,
                 "configuration_watch_of_non_reader_makes_no_call",
                 "[store][concurrent]")
{
    m_store.put("configuration", "current", document);
    auto& role = m_context.shared<kernel::snapshot<events::reader_role>>();
    role.publish(std::make_shared<events::reader_role const>(events::reader_role{false}));
    start("configuration watch");
    std::this_thread::sleep_for(100ms);
    CHECK(m_context.shared<kernel::mailbox<events::control_event>>().size() == 0);
    role.publish(std::make_shared<events::reader_role const>());
    CHECK(receive<events::configuration_received, events::control_event>());
}

TEST_CASE_METHOD(duty_fixture, "configuration_watch_recovers_after_outage", "[store][concurrent]")
{
    m_store.put("configuration", "current", document);
    m_store.is_down = true;
    start("configuration watch");
    std::this_thread::sleep_for(100ms);
    m_store.is_down = false;
    CHECK(receive<events::configuration_received, events::control_event>());
}

TEST_CASE_METHOD(duty_fixture,
                 "store_writer_lost_answers_count_each_outcome_once",
                 "[store][concurrent]")
{
    m_store.fail_writes("settlement", tests::write_fault::lost_after_effect, 1);
    start("store writer");
    command(events::settle_request{own_id("a"), "redeem", outcome::ran});
    flush();
    command(events::settle_request{own_id("b"), "redeem", outcome::ran});
    m_store.fail_writes("settlement", tests::write_fault::lost_before_effect, 1);
    flush();
    flush();
    CHECK(settled_runs() == 2);
}

TEST_CASE_METHOD(duty_fixture,
                 "store_writer_intent_is_durable_before_it_is_confirmed",
                 "[store][concurrent]")
{
    m_store.fail_writes("journal", tests::write_fault::lost_after_effect, 1);
    start("store writer");
    command(events::append_intent{own_id("a")});
    REQUIRE(receive<events::intent_durable>());
    auto const journal = ledger::parse_journal(m_store.get("journal", "host-1.5").value);
    CHECK(ledger::find_entry(journal, own_id("a")) == ledger::journal_entry::pending);
    CHECK(m_store.writes("journal") == 1);
}

TEST_CASE_METHOD(duty_fixture,
                 "store_writer_journal_closed_while_answer_lost_never_confirms",
                 "[store][concurrent]")
{
    m_store.fail_writes("journal", tests::write_fault::lost_after_effect, 1);
    m_store.after_write = [this](std::string const& kind)
    {
        if (kind != "journal")
            return;
        auto journal = ledger::parse_journal(m_store.get("journal", "host-1.5").value);
        ledger::close_through(journal, 0);
        m_store.put("journal", "host-1.5", ledger::to_text(journal));
    };
    start("store writer");
    command(events::append_intent{own_id("a")});
    CHECK(receive<events::intent_refused>());
    command(events::append_intent{own_id("b")});
    CHECK(receive<events::intent_refused>());
    CHECK(m_store.writes("journal") == 2);
}

// The fence wins its conditional update, so the owner's first append must fail.
TEST_CASE_METHOD(duty_fixture,
                 "store_writer_fence_proves_not_run_and_stops_the_owner",
                 "[store][concurrent]")
{
    start("store writer");
    command(events::fence_owner{{"host-2", 7, 0, "x"}});
    auto const fenced = receive<events::fence_result>();
    REQUIRE(fenced);
    CHECK(fenced->result == outcome::not_run);
    auto const closed = ledger::parse_journal(m_store.get("journal", "host-2.7").value);
    CHECK(closed.closed_through_epoch == 0);
    m_store.put("journal", "host-1.5", ledger::to_text(closed));
    command(events::append_intent{own_id("a")});
    CHECK(receive<events::intent_refused>());
}

// An owner that is fenced during a partition must do at-most-once work again without a restart.
TEST_CASE_METHOD(duty_fixture,
                 "store_writer_fenced_owner_confirms_intents_of_next_epoch",
                 "[store][concurrent]")
{
    auto const fenced = store::make_closed_journal({"host-1", 5, 2, "x"});
    m_store.put("journal", "host-1.5", ledger::to_text(fenced));
    start("store writer");
    command(events::append_intent{{"host-1", 5, 2, "a"}});
    CHECK(receive<events::intent_refused>());
    auto const told = receive<events::epoch_fenced, events::control_event>();
    REQUIRE(told);
    CHECK(told->epoch == 2);
    command(events::append_intent{{"host-1", 5, 1, "b"}});
    CHECK(receive<events::intent_refused>());
    command(events::append_intent{{"host-1", 5, 3, "c"}});
    CHECK(receive<events::intent_durable>());
    auto const journal = ledger::parse_journal(m_store.get("journal", "host-1.5").value);
    CHECK(journal.closed_through_epoch == 2);
    CHECK(ledger::find_entry(journal, {"host-1", 5, 3, "c"}));
}

// A kept journal proves nothing about epochs that were open when it was read.
TEST_CASE_METHOD(duty_fixture,
                 "store_writer_fence_of_later_epoch_raises_the_bound",
                 "[store][concurrent]")
{
    start("store writer");
    command(events::fence_owner{{"host-2", 7, 1, "x"}});
    REQUIRE(receive<events::fence_result>());
    auto journal = ledger::parse_journal(m_store.get("journal", "host-2.7").value);
    journal.epochs[2]["y"] = ledger::journal_entry::pending;
    m_store.put("journal", "host-2.7", ledger::to_text(journal));
    command(events::fence_owner{{"host-2", 7, 2, "y"}});
    auto const later = receive<events::fence_result>();
    REQUIRE(later);
    CHECK(later->result == outcome::unresolved);
    command(events::fence_owner{{"host-2", 7, 0, "z"}});
    auto const earlier = receive<events::fence_result>();
    REQUIRE(earlier);
    CHECK(earlier->result == outcome::not_run);
    journal = ledger::parse_journal(m_store.get("journal", "host-2.7").value);
    CHECK(journal.closed_through_epoch == 2);
}

// A wrong id would otherwise end the owner's at-most-once work for years.
TEST_CASE_METHOD(duty_fixture,
                 "store_writer_implausible_epoch_is_not_fenced",
                 "[store][concurrent]")
{
    start("store writer");
    auto const incarnation = kernel::wall_clock_ms() << kernel::incarnation_random_bits;
    // One epoch more than the margin, for a minute that begins during the test.
    command(events::fence_owner{{"host-2", incarnation, store::epoch_margin + 2, "x"}});
    auto const result = receive<events::fence_result>();
    REQUIRE(result);
    CHECK(result->result == outcome::unresolved);
    CHECK(result->cause == reason::owner_unreachable);
    CHECK(m_store.writes("journal") == 0);
}

// A daemon that closed its own journal would refuse at-most-once work until it is restarted.
TEST_CASE_METHOD(duty_fixture,
                 "store_writer_fence_of_own_id_leaves_journal_open",
                 "[store][concurrent]")
{
    start("store writer");
    command(events::fence_owner{own_id("x")});
    auto const result = receive<events::fence_result>();
    REQUIRE(result);
    CHECK(result->result == outcome::unresolved);
    command(events::append_intent{own_id("a")});
    CHECK(receive<events::intent_durable>());
}

TEST_CASE_METHOD(duty_fixture,
                 "store_writer_fence_during_outage_is_unresolved",
                 "[store][concurrent]")
{
    m_store.is_down = true;
    start("store writer");
    command(events::fence_owner{{"host-2", 7, 0, "x"}});
    auto const result = receive<events::fence_result>();
    REQUIRE(result);
    CHECK(result->result == outcome::unresolved);
    CHECK(result->cause == reason::owner_unreachable);
}

} // namespace pistachiohub
