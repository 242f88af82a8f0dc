#include "libraries/configuration/document.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace pistachiohub
{

namespace
{

class document_fixture
{
protected:
    std::string m_text = R"({"version": 7, "patch_id": "initial",
        "regions": {"svealand": {"failure_domains": {"svealand-1": {"entry_hosts": 2}, "svealand-2": {}}},
                    "gotaland": {"failure_domains": {"gotaland-1": {}}}},
        "links": {"svealand": {"gotaland": {"megabits_per_second": 300}}},
        "services": {"balance": {"kind": "idempotent", "slots": 4, "connections": 360,
            "policy": {"regions": ["svealand"], "shift_cap": 0.2, "steering": "round_robin"}}},
        "client_blocks": {"10.1.0.0/16": "svealand-1"}})";

    void replace(std::string const& old_part, std::string const& new_part)
    {
        m_text.replace(m_text.find(old_part), old_part.size(), new_part);
    }

    [[nodiscard]] std::string failure() const
    {
        try
        {
            static_cast<void>(configuration::parse_configuration(m_text));
        }
        catch (configuration::configuration_error const& refused)
        {
            return refused.what();
        }
        return "";
    }
};

} // namespace

TEST_CASE_METHOD(document_fixture, "document_valid_text_is_parsed_with_defaults", "[configuration]")
{
    auto const parsed = configuration::parse_configuration(m_text);
    CHECK(parsed.version == 7);
    REQUIRE(parsed.failure_domains.size() == 3);
    CHECK(parsed.failure_domains[0].entry_hosts == 2);
    CHECK(parsed.failure_domains[1].entry_hosts == 1);
    REQUIRE(parsed.links.size() == 2);
    CHECK(parsed.links[1].from_region == "gotaland");
    CHECK(parsed.links[1].megabits_per_second == 300);
    REQUIRE(parsed.services.size() == 1);
    CHECK(parsed.services[0].ttl_ms == 2000);
    CHECK(parsed.services[0].steering_policy.steering == configuration::steering_mode::round_robin);
    REQUIRE(parsed.client_blocks.size() == 1);
    CHECK(parsed.client_blocks[0].network == 0x0a010000U);
}

// An error that does not name key, value and range leaves the operator guessing on prize day.
TEST_CASE_METHOD(document_fixture,
                 "document_bad_value_names_path_value_and_range",
                 "[configuration]")
{
    replace("\"slots\": 4", "\"slots\": 0");
    CHECK(failure() ==
          "configuration key services.balance.slots is 0; permitted: an integer from 1 to 10000");
}

TEST_CASE_METHOD(document_fixture,
                 "document_each_bad_reference_or_range_is_refused",
                 "[configuration]")
{
    struct bad_part
    {
        std::string old_part;
        std::string new_part;
        std::string key;
    };
    auto const bad = GENERATE(values<bad_part>({
        {"\"shift_cap\"", "\"shiftcap\"", "services.balance.policy.shiftcap"},
        {"0.2", "1.5", "services.balance.policy.shift_cap"},
        {"[\"svealand\"]", "[\"skane\"]", "services.balance.policy.regions[0]"},
        {"\"gotaland\": {\"mega", "\"skane\": {\"mega", "links.svealand.skane"},
        {"300", "0", "links.svealand.gotaland.megabits_per_second"},
        {"gotaland-1", "svealand-1", "regions.gotaland.failure_domains.svealand-1"},
        {"10.1.0.0/16", "10.1.0.1/16", "client_blocks.10.1.0.1/16"},
        {"10.1.0.0/16", "10.1.0.0/33", "client_blocks.10.1.0.0/33"},
        {"\"svealand-1\"}}", "\"skane-1\"}}", "client_blocks.10.1.0.0/16"},
        {"\"kind\": \"idempotent\"",
         "\"kind\": \"idempotent\", \"journal\": \"write_ahead\"",
         "services.balance.journal"},
        {"\"kind\": \"idempotent\", ", "", "services.balance.kind"},
        {"\"version\": 7", "\"version\": 0", "version"},
        {"\"initial\"", "\"\"", "patch_id"},
        {"\"balance\"", "\"Balance\"", "services.Balance"},
    }));
    replace(bad.old_part, bad.new_part);
    INFO(failure());
    CHECK(failure().find("configuration key " + bad.key + " is ") == 0);
}

// The store refuses values above one megabyte, so such a document could never be written.
TEST_CASE_METHOD(document_fixture, "document_over_one_megabyte_is_refused", "[configuration]")
{
    m_text.append(1'000'000, ' ');
    CHECK(failure().find("permitted: at most 1000000 bytes") != std::string::npos);
}

TEST_CASE_METHOD(document_fixture, "patch_changes_one_entry_and_removes_another", "[configuration]")
{
    auto const text = configuration::apply_patch(
        m_text,
        R"({"services": {"balance": {"slots": 9, "policy": {"shift_cap": null}}}, "client_blocks": null})",
        8,
        "p-8");
    auto const parsed = configuration::parse_configuration(text);
    CHECK(parsed.version == 8);
    CHECK(parsed.patch_id == "p-8");
    CHECK(parsed.services[0].slots == 9);
    CHECK(parsed.services[0].connections == 360);
    CHECK(parsed.client_blocks.empty());
}

// A patch that names the version could make a stale document look new.
TEST_CASE_METHOD(document_fixture,
                 "patch_that_names_version_or_breaks_document_is_refused",
                 "[configuration]")
{
    auto const patch = GENERATE(as<std::string>{},
                                R"({"version": 9})",
                                R"({"patch_id": "x"})",
                                R"([1])",
                                "{",
                                R"({"regions": {"svealand": null}})");
    CHECK_THROWS_AS(configuration::apply_patch(m_text, patch, 8, "p"),
                    configuration::configuration_error);
}

// A fence would report requests from before the change as not run although they ran (I4).
TEST_CASE_METHOD(document_fixture, "patch_that_changes_a_journal_is_refused", "[configuration]")
{
    replace(R"("services": {)",
            R"("services": {"lock": {"kind": "at_most_once", "slots": 3, "connections": 9},)");
    auto const to_journal = R"({"services": {"lock": {"journal": "write_ahead"}}})";
    CHECK_THROWS_AS(configuration::apply_patch(m_text, to_journal, 8, "p"),
                    configuration::configuration_error);
    replace(R"("slots": 3)", R"("slots": 3, "journal": "write_ahead")");
    CHECK_NOTHROW(configuration::apply_patch(m_text, to_journal, 8, "p"));
    auto const to_none = R"({"services": {"lock": {"journal": "none"}}})";
    CHECK_THROWS_AS(configuration::apply_patch(m_text, to_none, 8, "p"),
                    configuration::configuration_error);
}

TEST_CASE_METHOD(document_fixture, "patch_of_empty_document_creates_the_first", "[configuration]")
{
    replace(R"("version": 7, "patch_id": "initial",)", "");
    auto const first =
        configuration::parse_configuration(configuration::apply_patch("{}", m_text, 1, "p"));
    CHECK(first.version == 1);
    CHECK(first.services.size() == 1);
}

} // namespace pistachiohub
