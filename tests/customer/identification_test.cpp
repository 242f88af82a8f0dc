#include "plugins/customer/contact.hpp"
#include "plugins/customer/credentials.hpp"
#include "plugins/customer/identification.hpp"
#include "plugins/customer/readable_versions.hpp"

#include <catch2/catch.hpp>

#include <array>

namespace pistachiohub
{

namespace
{

using customer::refusal_cause;
using std::chrono::milliseconds;

routing::customer make_customer(std::string const& name, std::vector<std::string> keys)
{
    routing::customer made;
    made.name = name;
    made.keys = std::move(keys);
    return made;
}

/// The customers a (keys a-1 and a-2) and b (key b-1).
class customers_fixture
{
protected:
    routing::routing_document m_document;
    customer::trust m_trust;

    customers_fixture()
    {
        m_document.customers = {make_customer("a", {"a-1", "a-2"}), make_customer("b", {"b-1"})};
    }

    struct result
    {
        std::string name;
        refusal_cause cause = refusal_cause::none;

        bool operator==(result const&) const = default;
    };

    [[nodiscard]] result identify(std::optional<std::string_view> key, bool is_exempt = false) const
    {
        auto const table = routing::make_routing_table(m_document);
        auto const found = customer::identify(*table, is_exempt, key, m_trust);
        return {found.holder ? found.holder->name : "", found.cause};
    }

    /// @returns the names of the customers that stay in their version of `m_document`.
    std::vector<std::string> apply(routing::routing_document next)
    {
        auto kept = customer::keep_readable(next, m_document);
        m_document = std::move(next);
        return kept;
    }
};

std::optional<std::string> read(std::vector<std::string_view> const& values)
{
    return customer::read_key(values, "Bearer");
}

} // namespace

TEST_CASE("customer_key_is_read_from_its_header", "[customer]")
{
    CHECK(read({"Bearer 2rry"}) == "2rry");
    CHECK(read({"bEARER   2rry "}) == "2rry");
    CHECK(read({"Bearer a=b.c~/+"}) == "a=b.c~/+");
}

// Of two headers the backend server or a proxy could believe the other one.
TEST_CASE("customer_key_missing_malformed_or_repeated_is_none", "[customer]")
{
    CHECK_FALSE(read({}));
    CHECK_FALSE(read({""}));
    CHECK_FALSE(read({"Bearer"}));
    CHECK_FALSE(read({"Bearer "}));
    CHECK_FALSE(read({"2rry"}));
    CHECK_FALSE(read({"Basic 2rry"}));
    CHECK_FALSE(read({"Bearerx 2rry"}));
    CHECK_FALSE(read({"Bearer 2rry", "Bearer 2rry"}));
    CHECK(read({"Bearer 2rry, Bearer 2rry"}) == "2rry, Bearer 2rry");
}

TEST_CASE_METHOD(customers_fixture, "customer_known_key_names_its_customer", "[customer]")
{
    CHECK(identify("a-2") == result{"a", refusal_cause::none});
    CHECK(identify("b-1") == result{"b", refusal_cause::none});
    CHECK(identify("b-1", true) == result{"b", refusal_cause::none});
}

TEST_CASE_METHOD(customers_fixture, "customer_unknown_or_missing_key_is_refused", "[customer]")
{
    CHECK(identify("c-1") == result{"", refusal_cause::unknown_key});
    CHECK(identify("a-1 ") == result{"", refusal_cause::unknown_key});
    CHECK(identify("A-1") == result{"", refusal_cause::unknown_key});
    CHECK(identify("") == result{"", refusal_cause::unknown_key});
    CHECK(identify(std::nullopt) == result{"", refusal_cause::no_key});
    m_document.customers.emplace();
    CHECK(identify("a-1") == result{"", refusal_cause::unknown_key});
}

TEST_CASE_METHOD(customers_fixture, "customer_without_any_configured_needs_no_key", "[customer]")
{
    m_document.customers.reset();
    m_trust = {false, false};
    CHECK(identify("c-1") == result{});
    CHECK(identify(std::nullopt) == result{});
}

// An exempt route must be served whatever happens to keys, and never under a name in doubt.
TEST_CASE_METHOD(customers_fixture, "customer_exempt_route_is_never_refused", "[customer]")
{
    m_document.customers->push_back(make_customer("c", {"b-1", "c-1"}));
    m_document.customers->back().is_readable = false;
    for (bool const is_trusted : {true, false})
    {
        m_trust = {is_trusted, is_trusted};
        CHECK(identify(std::nullopt, true) == result{});
        CHECK(identify("unknown", true) == result{});
        CHECK(identify("b-1", true) == result{});
        CHECK(identify("c-1", true) == result{});
        CHECK(identify("a-1", true) == result{is_trusted ? "a" : "", refusal_cause::none});
    }
}

TEST_CASE_METHOD(customers_fixture, "customer_key_claimed_twice_names_neither", "[customer]")
{
    m_document.customers->at(1).keys.emplace_back("a-1");
    CHECK(identify("a-1") == result{"", refusal_cause::shared_key});
    CHECK(identify("a-2") == result{"a", refusal_cause::none});
    CHECK(identify("b-1") == result{"b", refusal_cause::none});
    CHECK(customer::names_with_shared_keys(*routing::make_routing_table(m_document)) ==
          std::vector<std::string>{"a", "b"});
    // Listed twice by one customer.
    m_document.customers = {make_customer("a", {"a-1", "a-1"})};
    CHECK(identify("a-1") == result{"a", refusal_cause::none});
    CHECK(customer::names_with_shared_keys(*routing::make_routing_table(m_document)).empty());
}

TEST_CASE_METHOD(customers_fixture, "customer_unreadable_refuses_only_its_own_keys", "[customer]")
{
    m_document.customers->at(0).is_readable = false;
    CHECK(identify("a-1") == result{"a", refusal_cause::unreadable_customer});
    CHECK(identify("b-1") == result{"b", refusal_cause::none});
    CHECK(identify("c-1") == result{"", refusal_cause::unknown_key});
    m_document.customers.emplace();
    m_document.are_customers_unreadable = true;
    CHECK(identify("a-1") == result{"", refusal_cause::unreadable_customers});
    CHECK(identify(std::nullopt) == result{"", refusal_cause::no_key});
}

// A key may have been removed since the last contact, and one that is not known may have been
// added. Neither may run, and the latter must not be told that it is invalid.
TEST_CASE_METHOD(customers_fixture, "customer_old_contact_judges_no_key", "[customer]")
{
    m_trust = {true, false};
    CHECK(identify("a-1") == result{"a", refusal_cause::none});
    CHECK(identify("c-1") == result{"", refusal_cause::old_contact});
    m_trust = {false, false};
    CHECK(identify("a-1") == result{"a", refusal_cause::old_contact});
    CHECK(identify(std::nullopt) == result{"", refusal_cause::no_key});
}

TEST_CASE("customer_trust_ends_with_the_age_of_the_contact", "[customer]")
{
    kernel::gateway_bounds bounds;
    bounds.revocation = milliseconds(5000);
    bounds.configuration_apply = milliseconds(2500);
    kernel::boot_time const start{std::chrono::hours(5)};
    auto lax = customer::make_contact(bounds);
    CHECK(customer::trust_at(lax, start).in_known_keys);
    bounds.has_strict_revocation = true;
    auto strict = customer::make_contact(bounds);
    // Never confirmed.
    CHECK_FALSE(customer::trust_at(strict, start).in_known_keys);
    CHECK_FALSE(customer::trust_at(strict, start).in_unknown_keys);
    customer::note_confirmation(strict, start);
    CHECK(customer::trust_at(strict, start + milliseconds(2500)).in_unknown_keys);
    CHECK_FALSE(customer::trust_at(strict, start + milliseconds(2501)).in_unknown_keys);
    CHECK(customer::trust_at(strict, start + milliseconds(4000)).in_known_keys);
    CHECK_FALSE(customer::trust_at(strict, start + milliseconds(4001)).in_known_keys);
    // What another daemon told may be older than what this one knew.
    customer::note_confirmation(strict, start - milliseconds(500));
    CHECK(customer::trust_at(strict, start + milliseconds(4000)).in_known_keys);
    customer::note_confirmation(strict, start + milliseconds(1000));
    CHECK(customer::trust_at(strict, start + milliseconds(5000)).in_known_keys);
}

TEST_CASE_METHOD(customers_fixture,
                 "customer_unreadable_version_keeps_the_earlier_terms_with_new_keys",
                 "[customer]")
{
    m_document.customers->at(0).priority = 3;
    auto next = m_document;
    next.customers->at(0) = make_customer("a", {"a-2", "a-3"});
    next.customers->at(0).is_readable = false;
    CHECK(apply(next) == std::vector<std::string>{"a"});
    CHECK(m_document.customers->at(0).priority == 3);
    CHECK(identify("a-3") == result{"a", refusal_cause::none});
    // It was removed, which must not be undone by another field that cannot be read.
    CHECK(identify("a-1") == result{"", refusal_cause::unknown_key});
    // The same again in the next version, on top of the merged one.
    CHECK(apply(next) == std::vector<std::string>{"a"});
    CHECK(identify("a-3") == result{"a", refusal_cause::none});
    CHECK(identify("b-1") == result{"b", refusal_cause::none});
}

TEST_CASE_METHOD(customers_fixture,
                 "customer_with_unreadable_keys_keeps_those_that_nobody_else_lists",
                 "[customer]")
{
    auto next = m_document;
    next.customers->at(0) = make_customer("a", {"a-3"});
    next.customers->at(0).is_readable = false;
    next.customers->at(0).has_all_keys = false;
    next.customers->at(1).keys.emplace_back("a-2");
    CHECK(apply(next) == std::vector<std::string>{"a"});
    CHECK(identify("a-1") == result{"a", refusal_cause::none});
    CHECK(identify("a-3") == result{"a", refusal_cause::none});
    CHECK(identify("a-2") == result{"b", refusal_cause::none});
}

TEST_CASE_METHOD(customers_fixture,
                 "customer_table_that_is_unreadable_keeps_the_earlier_one",
                 "[customer]")
{
    routing::routing_document next;
    next.customers.emplace();
    next.are_customers_unreadable = true;
    for (int version = 0; version < 2; ++version)
    {
        CHECK(apply(next) == std::vector<std::string>{"a", "b"});
        CHECK(identify("a-1") == result{"a", refusal_cause::none});
        // It may have been added.
        CHECK(identify("c-1") == result{"", refusal_cause::unreadable_customers});
    }
}

TEST_CASE_METHOD(customers_fixture, "customer_removed_or_never_readable_is_not_kept", "[customer]")
{
    auto next = m_document;
    next.customers->erase(next.customers->begin());
    next.customers->push_back(make_customer("c", {"c-1"}));
    next.customers->back().is_readable = false;
    CHECK(apply(next).empty());
    CHECK(identify("a-1") == result{"", refusal_cause::unknown_key});
    CHECK(identify("c-1") == result{"c", refusal_cause::unreadable_customer});
    next.customers.reset();
    CHECK(apply(next).empty());
    CHECK_FALSE(m_document.customers);
}

} // namespace pistachiohub
