#include "plugins/discovery/feed_history.hpp"
#include "plugins/discovery/relay_dialect.hpp"
#include "plugins/discovery/relay_followers.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

namespace pistachiohub
{

namespace
{

using discovery::history_state;
using std::chrono::milliseconds;
using state_map = std::map<std::string, std::uint64_t>;

kernel::boot_time const start{std::chrono::hours(1)};

object_store::list_result make_changes(std::uint64_t revision,
                                       std::vector<object_store::object> objects)
{
    return {object_store::status::ok, revision, std::move(objects)};
}

object_store::object make_object(std::string const& name, std::uint64_t version, bool is_removed)
{
    object_store::object made;
    made.name = name;
    made.version = version;
    made.value = "{}";
    made.is_removed = is_removed;
    return made;
}

void apply_changes(state_map& state, object_store::list_result const& changes)
{
    for (auto const& changed : changes.objects)
    {
        if (changed.is_removed)
            state.erase(changed.name);
        else
            state[changed.name] = changed.version;
    }
}

/// A store with few names, so that objects are removed and written again often.
struct random_store
{
    std::vector<object_store::object> log;
    state_map state;

    void change()
    {
        auto const name = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        auto const version = static_cast<std::uint64_t>(log.size()) + 1;
        bool const is_removed = state.contains(name) && *rc::gen::arbitrary<bool>();
        log.push_back(make_object(name, version, is_removed));
        apply_changes(state, make_changes(version, {log.back()}));
    }

    [[nodiscard]] object_store::list_result since(std::uint64_t revision) const
    {
        return make_changes(log.size(),
                            {log.begin() + static_cast<std::ptrdiff_t>(revision), log.end()});
    }
};

} // namespace

// A daemon may read from the store and from a relay by turns, and be ahead of the relay or behind
// it: it must end where the store is.
TEST_CASE("feed_history_any_turns_of_store_and_relay_end_alike", "[discovery]")
{
    rc::prop("the follower's state is the store's",
             []()
             {
                 random_store store;
                 discovery::kind_history history;
                 discovery::record(history, true, make_changes(0, {}));
                 history.is_direct = true;
                 history.confirmed_at = start;
                 state_map follower;
                 std::uint64_t revision = 0;
                 auto const steps = *rc::gen::inRange(0, 60);
                 for (int step = 0; step < steps; ++step)
                 {
                     switch (*rc::gen::inRange(0, 4))
                     {
                     case 0:
                     case 1:
                         store.change();
                         break;
                     case 2:
                         discovery::record(history, false, store.since(history.revision));
                         break;
                     default:
                         if (*rc::gen::arbitrary<bool>())
                         {
                             apply_changes(follower, store.since(revision));
                             revision = store.log.size();
                             break;
                         }
                         if (discovery::state_since(history, {0, revision}, start) !=
                             history_state::has_changes)
                             break;
                         auto const told = discovery::changes_since(history, revision);
                         apply_changes(follower, told);
                         revision = told.revision;
                     }
                 }
                 apply_changes(follower, store.since(revision));
                 RC_ASSERT(follower == store.state);
             });
}

TEST_CASE("feed_history_forgotten_changes_are_gone", "[discovery]")
{
    discovery::kind_history history;
    history.is_direct = true;
    history.confirmed_at = start;
    discovery::record(history, true, make_changes(10, {make_object("a", 4, false)}));
    CHECK(discovery::state_since(history, {0, 9}, start) == history_state::is_gone);
    CHECK(discovery::state_since(history, {0, 10}, start) == history_state::is_current);
    for (std::uint64_t batch = 0; batch <= discovery::most_batches; ++batch)
        discovery::record(
            history, false, make_changes(11 + batch, {make_object("a", 11 + batch, false)}));
    CHECK(discovery::state_since(history, {0, 10}, start) == history_state::is_gone);
    CHECK(discovery::state_since(history, {0, 11}, start) == history_state::has_changes);
}

// A daemon that is cut off from the store, or that reads from another one, must not pass its old
// knowledge off as the newest.
TEST_CASE("feed_history_old_or_indirect_knowledge_is_stale", "[discovery]")
{
    discovery::feed_histories histories;
    CHECK(histories.answer("servers", {0, 0}, start).state == history_state::is_stale);
    histories.update("servers", true, true, make_changes(5, {}), start);
    CHECK(histories.answer("servers", {0, 5}, start).state == history_state::is_current);
    CHECK(histories.answer("servers", {0, 5}, start + milliseconds(1)).state ==
          history_state::is_stale);
    histories.update("servers", false, false, make_changes(6, {}), start + milliseconds(1));
    CHECK(histories.answer("servers", {0, 5}, start + milliseconds(1)).state ==
          history_state::is_stale);
}

// Guards against a revision that is taken for one of another generation when daemons learn at
// different times that the store was restored from an older copy.
TEST_CASE("feed_history_another_generation_is_gone_or_still_unknown", "[discovery]")
{
    discovery::kind_history history;
    history.is_direct = true;
    history.confirmed_at = start;
    auto listed = make_changes(10, {});
    listed.generation = 2;
    discovery::record(history, true, listed);
    CHECK(discovery::state_since(history, {2, 10}, start) == history_state::is_current);
    CHECK(discovery::state_since(history, {1, 12}, start) == history_state::is_gone);
    CHECK(discovery::state_since(history, {3, 12}, start) == history_state::is_stale);
    // A store that names no generation.
    CHECK(discovery::state_since(history, {0, 10}, start) == history_state::is_current);
    // What was read of the earlier generation is not told to those that know the later one.
    discovery::record(history, false, make_changes(11, {make_object("a", 11, false)}));
    listed.revision = 8;
    listed.generation = 3;
    discovery::record(history, true, listed);
    CHECK(discovery::changes_since(history, 8).objects.empty());
    CHECK(discovery::state_since(history, {3, 7}, start) == history_state::is_gone);
}

TEST_CASE("relay_dialect_question_and_changes_survive_the_wire", "[discovery]")
{
    auto const& spoken = discovery::relay_dialect();
    auto const wanted = spoken.make_watch(
        discovery::asked_kind("servers", {"host-1", 77}), {3, 12}, milliseconds(300));
    auto const separator = wanted.target.find('?');
    auto const query = discovery::parse_change_query(wanted.target.substr(0, separator),
                                                     wanted.target.substr(separator + 1));
    REQUIRE(query);
    CHECK(query->kind == "servers");
    CHECK(query->asker == fleet::host_incarnation{"host-1", 77});
    CHECK(query->since == object_store::position{3, 12});
    CHECK(query->wait == milliseconds(300));
    auto changed = make_object("i-1", 13, true);
    changed.value = R"({"quoted": "\"text\""})";
    changed.observed = R"({"state": "ready"})";
    auto const page = spoken.decode_changes(
        discovery::encode_changes(make_changes(14, {changed}), milliseconds(250)));
    CHECK(page.revision == 14);
    CHECK(page.age == milliseconds(250));
    REQUIRE(page.objects.size() == 1);
    CHECK(page.objects[0].name == changed.name);
    CHECK(page.objects[0].version == changed.version);
    CHECK(page.objects[0].value == changed.value);
    CHECK(page.objects[0].observed == changed.observed);
    CHECK(page.objects[0].is_removed);
}

TEST_CASE("relay_dialect_malformed_question_is_refused", "[discovery]")
{
    auto const path = GENERATE(std::string("/v1/changes/servers/host-1/7"),
                               std::string("/v1/changes/servers"),
                               std::string("/v1/changes/servers/host-1/x"),
                               std::string("/other"));
    auto const query = GENERATE(std::string("after=1&wait_ms=x&generation=3"),
                                std::string("after=-1&wait_ms=2&generation=3"),
                                std::string("after=1"),
                                std::string("after=1&wait_ms=2"),
                                std::string("after=1&wait_ms=2&generation=x"),
                                std::string("after=1&generation=3&wait_ms=2"),
                                std::string(""));
    CHECK_FALSE(discovery::parse_change_query(path, query));
}

// A killed daemon must leave the reports of its reader within the time after which it is silent.
TEST_CASE("relay_followers_that_stop_asking_are_not_reported", "[discovery]")
{
    discovery::relay_followers followers;
    followers.note_question({"a", 1}, start);
    followers.note_question({"b", 1}, start + milliseconds(500));
    CHECK(followers.living(start + milliseconds(500)).size() == 2);
    auto const living = followers.living(start + discovery::follower_silence);
    REQUIRE(living.size() == 1);
    CHECK(living[0].name == "b");
    CHECK_FALSE(followers.is_known_to_relay(start));
    followers.note_answer(start);
    CHECK(followers.is_known_to_relay(start + milliseconds(500)));
    CHECK_FALSE(followers.is_known_to_relay(start + discovery::follower_silence));
}

} // namespace pistachiohub
