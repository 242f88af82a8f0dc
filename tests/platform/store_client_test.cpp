#include "libraries/object_store/object_store.hpp"
#include "platform/metadata_store.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <future>

namespace pistachiohub
{

namespace
{

using object_store::status;

/// The store client in the platform's dialect, and a scripted store.
class store_client_fixture
{
protected:
    support::raw_listener m_store;
    object_store::client m_client{
        {"127.0.0.1", m_store.port()}, {}, platform::make_metadata_store_dialect()};

    /// Answers one request on a connection.
    static void answer(support::raw_connection& connection,
                       std::string const& status_line,
                       std::string const& body)
    {
        REQUIRE_FALSE(connection.receive_message().empty());
        connection.send("HTTP/1.1 " + status_line +
                        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
};

std::string make_page(std::string const& name, std::string const& more, int revision)
{
    return R"({"items": [{"metadata": {"name": ")" + name +
           R"(", "revision": 1}, "spec": {}, "status": null}], "has_more": )" + more +
           R"(, "at": )" + std::to_string(revision) + '}';
}

} // namespace

// The answer to a removal holds no object. It was taken for a lost answer, so that each daemon
// logged a failure when it ended.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_removal_without_object_is_ok",
                 "[platform][concurrent]")
{
    auto removed = std::async(std::launch::async,
                              [this]()
                              {
                                  return m_client.remove("entry-hosts", "h-1", 4);
                              });
    auto connection = m_store.accept();
    answer(connection, "200 OK", GENERATE(std::string(), std::string("null"), std::string("{}")));
    CHECK(removed.get().end == status::ok);
}

// Changes between two pages must not be missed: the watch begins at the first page's revision.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_list_keeps_the_first_pages_revision",
                 "[platform][concurrent]")
{
    auto listed = std::async(std::launch::async,
                             [this]()
                             {
                                 return m_client.list("servers");
                             });
    auto connection = m_store.accept();
    answer(connection, "200 OK", make_page("i-1", "true", 10));
    answer(connection, "200 OK", make_page("i-2", "false", 12));
    auto const result = listed.get();
    CHECK(result.end == status::ok);
    CHECK(result.revision == 10);
    CHECK(result.objects.size() == 2);
}

// Failure: one id of a caller that was no text ended the process in the thread that writes the
// settlement.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_value_that_is_no_json_is_not_written",
                 "[platform]")
{
    CHECK(m_client.write("settlements", "h-1", 0, "{\"id\": \"k\xf6p\"}").end == status::outage);
    CHECK_FALSE(m_store.has_connection(0));
}

TEST_CASE_METHOD(store_client_fixture,
                 "store_client_torn_answer_is_an_outage",
                 "[platform][concurrent]")
{
    auto listed = std::async(std::launch::async,
                             [this]()
                             {
                                 return m_client.list("servers");
                             });
    auto connection = m_store.accept();
    answer(connection, "200 OK", "{\"items\": [");
    CHECK(listed.get().end == status::outage);
}

} // namespace pistachiohub
