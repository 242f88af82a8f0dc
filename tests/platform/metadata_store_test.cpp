#include "platform/documents.hpp"
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

// Guards against a name of another writer that ends or changes the target of a call. After a list
// whose first page ended with such a name, no daemon got ready.
TEST_CASE_METHOD(metadata_store_fixture, "metadata_store_odd_name_is_encoded", "[platform]")
{
    auto const [name, encoded] =
        GENERATE(table<std::string, std::string>({{"i#1", "i%231"},
                                                  {"i%", "i%25"},
                                                  {"i%41", "i%2541"},
                                                  {"i 1", "i%201"},
                                                  {"i\r\n1", "i%0D%0A1"},
                                                  {"i&watch=1", "i%26watch%3D1"},
                                                  {"i+1", "i%2B1"},
                                                  {"i/../1?", "i%2F..%2F1%3F"},
                                                  {"caf\xc3\xa9", "caf%C3%A9"}}));
    CHECK(m_dialect.make_list("servers", name).target ==
          "/pistachiohub/objects/servers?after=" + encoded);
    auto const target = "/pistachiohub/objects/servers/" + encoded;
    CHECK(m_dialect.make_read("servers", name).target == target);
    CHECK(m_dialect.make_write("servers", name, 4, "{}").target == target);
    CHECK(m_dialect.make_remove("servers", name, 4).target == target + "?revision=4");
    auto const& native = object_store::native_dialect();
    auto const native_target = "/objects/hosts/" + encoded;
    CHECK(native.make_read("hosts", name).target == native_target);
    CHECK(native.make_write("hosts", name, 4, "{}").target == native_target);
    CHECK(native.make_remove("hosts", name, 4).target == native_target);
}

TEST_CASE_METHOD(metadata_store_fixture, "metadata_store_watch_reports_removals", "[platform]")
{
    CHECK(m_dialect.make_watch("config", {3, 530}, std::chrono::milliseconds(1500)).target ==
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

// Guards against one odd entry that makes the whole list or watch unreadable, so that no daemon
// follows any server any more, and none gets ready.
TEST_CASE_METHOD(metadata_store_fixture, "metadata_store_odd_entry_costs_only_itself", "[platform]")
{
    constexpr std::size_t levels = 100'000;
    auto const odd = GENERATE(std::string(R"("caf\ud83d")"),
                              std::string(R"({"slots": 1e999})"),
                              std::string(R"({"text": "\x)") + "\xff\"}",
                              std::string("{\"text\": \"\x01\xc3\"}"),
                              std::string("{broken: []}"),
                              "[" + std::string(40, '[') + std::string(40, ']') + "]",
                              std::string(levels, '[') + std::string(levels, ']'));
    auto const entry = [](std::string const& name, std::string const& spec)
    {
        return R"({"metadata": {"name": ")" + name + R"(", "revision": 4}, "spec": )" + spec +
               R"(, "status": {"b": 2}})";
    };
    auto const good = entry("i-1", R"({"a": "]}\"{["})");
    auto const listed = m_dialect.decode_list(R"({"items": [)" + entry("i-0", odd) + "," + good +
                                              R"(], "has_more": false, "at": 530})");
    REQUIRE(listed.objects.size() == 2);
    CHECK(listed.objects[0].name == "i-0");
    CHECK_THROWS_AS(platform::decode_backend_server(listed.objects[0]), interface::document_error);
    CHECK(listed.objects[1].value == R"({"a":"]}\"{["})");
    auto const changed = m_dialect.decode_changes(
        R"({"events": [{"deleted": false, "object": )" + entry("i-0", odd) +
        R"(}, {"deleted": false, "object": )" + good + R"(}], "at": 533})");
    REQUIRE(changed.objects.size() == 2);
    CHECK_THROWS_AS(platform::decode_backend_server(changed.objects[0]), interface::document_error);
    CHECK(changed.objects[1].name == "i-1");
}

TEST_CASE_METHOD(metadata_store_fixture,
                 "metadata_store_odd_name_costs_only_its_entry",
                 "[platform]")
{
    auto const listed = m_dialect.decode_list(
        R"({"items": [{"metadata": {"name": "\ud83d", "revision": 3}, "spec": {}},
            {"metadata": {"name": "i-1", "revision": 4}, "spec": {"a": 1}}], "at": 530})");
    REQUIRE(listed.objects.size() == 2);
    CHECK(listed.objects[0].name.empty());
    CHECK(listed.objects[1].name == "i-1");
}

// Guards against an object without readable metadata that makes the whole list or watch unreadable.
TEST_CASE_METHOD(metadata_store_fixture,
                 "metadata_store_object_without_metadata_costs_only_itself",
                 "[platform]")
{
    auto const odd = GENERATE(std::string("5"),
                              std::string("null"),
                              std::string("{}"),
                              std::string(R"({"metadata": {}})"),
                              std::string(R"({"metadata": "i-0", "spec": {}})"),
                              std::string(R"({"metadata": {"name": 5, "revision": 3}})"),
                              std::string(R"({"metadata": {"name": "i-0", "revision": "x"}})"));
    std::string const good = R"({"metadata": {"name": "i-1", "revision": 4}, "spec": {"a": 1}})";
    auto const listed = m_dialect.decode_list(R"({"items": [)" + odd + "," + good +
                                              R"(], "has_more": false, "at": 530})");
    REQUIRE(listed.objects.size() == 2);
    CHECK(listed.objects[0].name.empty());
    CHECK(listed.objects[1].name == "i-1");
    auto const changed = m_dialect.decode_changes(
        R"({"events": [{"deleted": false, "object": )" + odd + R"(}, )" + odd +
        R"(, {"deleted": true, "object": )" + good + R"(}], "at": 533})");
    REQUIRE(changed.objects.size() == 3);
    CHECK(changed.objects[0].name.empty());
    CHECK(changed.objects[1].name.empty());
    CHECK(changed.objects[2].name == "i-1");
    CHECK(changed.objects[2].is_removed);
    // A read asks for this object alone, so there is no other that holds.
    CHECK_THROWS(m_dialect.decode_object(odd));
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
                               std::string(R"({"items": 5, "at": 1})"),
                               std::string(R"({"items": [{"metadata": {}}, "at": 1})"),
                               std::string(R"({"items": [{"metadata": {}]}, "at": 1})"),
                               std::string(R"({"items": [], "at": "1"})"));
    CHECK_THROWS(m_dialect.decode_list(torn));
}

} // namespace pistachiohub
