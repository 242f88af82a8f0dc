#include "platform/metadata_store.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using object_store::status;

class metadata_store_fixture
{
protected:
    object_store::dialect m_dialect = platform::make_metadata_store_dialect();
};

} // namespace

TEST_CASE_METHOD(metadata_store_fixture, "metadata_store_list_follows_pages", "[platform]")
{
    CHECK(m_dialect.make_list("servers", "").target == "/pistachiohub/objects/servers");
    CHECK(m_dialect.make_list("servers", "i-9").target ==
          "/pistachiohub/objects/servers?after=i-9");
    auto const page = m_dialect.decode_list(
        R"({"items": [{"metadata": {"name": "i-1", "revision": 4}, "spec": {"a": 1},
            "status": {"b": 2}}], "has_more": true, "at": 530})");
    CHECK(page.revision == 530);
    CHECK(page.has_more);
    REQUIRE(page.objects.size() == 1);
    CHECK(page.objects[0].name == "i-1");
    CHECK(page.objects[0].version == 4);
    CHECK(page.objects[0].value == R"({"a":1})");
    CHECK(page.objects[0].observed == R"({"b":2})");
}

TEST_CASE_METHOD(metadata_store_fixture, "metadata_store_watch_reports_removals", "[platform]")
{
    CHECK(m_dialect.make_watch("config", 530, std::chrono::milliseconds(1500)).target ==
          "/pistachiohub/objects/config?watch=530&wait_ms=1500");
    auto const page = m_dialect.decode_changes(
        R"({"events": [{"deleted": true, "object": {"metadata": {"name": "i-1", "revision": 4},
            "spec": null, "status": null}}], "at": 533})");
    CHECK(page.revision == 533);
    REQUIRE(page.objects.size() == 1);
    CHECK(page.objects[0].is_removed);
    CHECK(page.objects[0].observed.empty());
}

TEST_CASE_METHOD(metadata_store_fixture, "metadata_store_write_is_conditional", "[platform]")
{
    auto const created = m_dialect.make_write("entry-hosts", "h-1", 0, R"({"a":1})");
    CHECK(created.method == "POST");
    CHECK(created.target == "/pistachiohub/objects/entry-hosts");
    CHECK(created.body == R"({"metadata":{"name":"h-1"},"spec":{"a":1}})");
    auto const replaced = m_dialect.make_write("entry-hosts", "h-1", 9, R"({"a":1})");
    CHECK(replaced.method == "PUT");
    CHECK(replaced.target == "/pistachiohub/objects/entry-hosts/h-1");
    CHECK(replaced.body == R"({"metadata":{"name":"h-1","revision":9},"spec":{"a":1}})");
}

// A write whose answer is an unknown server error may have taken effect; a 503 did nothing.
TEST_CASE_METHOD(metadata_store_fixture, "metadata_store_status_says_what_is_proven", "[platform]")
{
    CHECK(m_dialect.read_status(410) == status::history_gone);
    CHECK(m_dialect.read_status(429) == status::over_rate);
    CHECK(m_dialect.read_status(503) == status::outage);
    CHECK(m_dialect.write_status(409) == status::conflict);
    CHECK(m_dialect.write_status(503) == status::outage);
    CHECK(m_dialect.write_status(500) == status::lost_answer);
}

TEST_CASE_METHOD(metadata_store_fixture, "metadata_store_torn_answer_is_refused", "[platform]")
{
    auto const torn = GENERATE(std::string(""),
                               std::string("{"),
                               std::string(R"({"items": [], "has_more": false})"),
                               std::string(R"({"items": [5], "at": 1})"),
                               std::string(R"({"items": [{"metadata": {}}], "at": 1})"));
    CHECK_THROWS(m_dialect.decode_list(torn));
}

} // namespace pistachiohub
