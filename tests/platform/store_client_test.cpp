#include "libraries/object_store/object_store.hpp"
#include "platform/metadata_store.hpp"
#include "tests/support/raw_connection.hpp"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <optional>
#include <set>

namespace pistachiohub
{

namespace
{

using object_store::status;

// Longer than a test waits for the client to close its connection.
constexpr auto max_wait = std::chrono::milliseconds(5000);

/// The store client in the platform's dialect, and a scripted store.
class store_client_fixture
{
protected:
    support::raw_listener m_store;
    std::unique_ptr<object_store::client> m_client =
        std::make_unique<object_store::client>(kernel::endpoint{"127.0.0.1", m_store.port()},
                                               http::client_limits{},
                                               platform::make_metadata_store_dialect());

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

/// A store that serves pages of five names in their order. It reads queries as forms are read, and
/// refuses a target that is none.
class paged_store
{
public:
    paged_store(support::raw_listener const& listener, std::set<std::string> names)
        : m_names(std::move(names))
        , m_running(std::async(std::launch::async,
                               [this, &listener]()
                               {
                                   serve(listener);
                               }))
    {
    }

    /// Waits until the client has closed its connection.
    /// @returns the number of requests.
    [[nodiscard]] int finish()
    {
        m_running.get();
        return m_requests;
    }

private:
    static constexpr std::size_t page_size = 5;
    static constexpr int max_requests = 100;

    void serve(support::raw_listener const& listener)
    {
        auto connection = listener.accept();
        while (m_requests < max_requests)
        {
            auto const message = connection.receive_message();
            if (message.empty())
                return;
            ++m_requests;
            auto const begin = message.find(' ') + 1;
            auto const target = message.substr(begin, message.find(" HTTP/1.1\r\n") - begin);
            auto const body = answer_to(target);
            connection.send((body ? "HTTP/1.1 200 OK" : "HTTP/1.1 400 Bad Request") +
                            std::string("\r\nContent-Length: ") +
                            std::to_string(body.value_or("").size()) + "\r\n\r\n" +
                            body.value_or(""));
        }
    }

    [[nodiscard]] std::optional<std::string> answer_to(std::string const& target) const
    {
        auto const parsed = boost::urls::parse_origin_form(target);
        if (!parsed || target.find('#') != std::string::npos)
            return std::nullopt;
        std::string after;
        for (auto const& parameter : parsed->params())
        {
            if (parameter.key != "after")
                return std::nullopt;
            after = parameter.value;
        }
        return make_page_after(after);
    }

    [[nodiscard]] std::string make_page_after(std::string const& after) const
    {
        boost::json::array items;
        auto next = after.empty() ? m_names.begin() : m_names.upper_bound(after);
        for (; next != m_names.end() && items.size() < page_size; ++next)
            items.push_back({{"metadata", {{"name", *next}, {"revision", 1}}}, {"spec", nullptr}});
        return boost::json::serialize(boost::json::object{
            {"items", std::move(items)}, {"has_more", next != m_names.end()}, {"at", 7}});
    }

    std::set<std::string> m_names;
    int m_requests = 0;
    std::future<void> m_running;
};

std::multiset<std::string> names_of(object_store::list_result const& listed)
{
    std::multiset<std::string> names;
    for (auto const& object : listed.objects)
        names.insert(object.name);
    return names;
}

} // namespace

// Guards against one entry of another writer at the end of a page, after which nothing else of the
// list was read: no daemon that started got ready.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_list_passes_odd_names",
                 "[platform][concurrent]")
{
    auto const odd = GENERATE(std::string("i-4#"),
                              std::string("i-4%"),
                              std::string("i-4%41"),
                              std::string("i-4 x"),
                              std::string("i-4+x"),
                              std::string("i-4\r\nX: y"),
                              std::string("i-4&watch=1"),
                              std::string("i-4&after=i-1"),
                              std::string("i-4\"/?x"),
                              std::string("i-4\xc3\xa9"),
                              "i-4" + std::string(100'000, 'x'));
    std::set<std::string> const names{
        "i-1", "i-2", "i-3", "i-4", odd, "i-5", "i-6", "i-7", "i-8", "i-9"};
    paged_store store(m_store, names);
    auto const listed = m_client->list("servers");
    m_client.reset();
    CHECK(listed.end == status::ok);
    CHECK(names_of(listed) == std::multiset<std::string>(names.begin(), names.end()));
    CHECK(store.finish() == 3);
}

// Guards against a page of odd names only, for which no other cursor is left.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_list_passes_a_page_of_odd_names",
                 "[platform][concurrent]")
{
    std::set<std::string> const names{
        "a#", "a%", "a%41", "a b", "a&after=a", "a&watch=1", "a+b", "a\r\n", "a?", "b", "c"};
    paged_store store(m_store, names);
    auto const listed = m_client->list("servers");
    m_client.reset();
    CHECK(listed.end == status::ok);
    CHECK(names_of(listed) == std::multiset<std::string>(names.begin(), names.end()));
    CHECK(store.finish() == 3);
}

// Guards against a list without end where the store reads a cursor as another name.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_list_that_repeats_is_an_outage",
                 "[platform][concurrent]")
{
    auto listed = std::async(std::launch::async,
                             [this]()
                             {
                                 return m_client->list("servers");
                             });
    auto connection = m_store.accept();
    answer(connection, "200 OK", make_page("a b", "true", 10));
    answer(connection, "200 OK", make_page("c d", "true", 10));
    answer(connection, "200 OK", make_page("a b", "true", 10));
    // Well before the time for another answer is up.
    CHECK(listed.wait_for(std::chrono::milliseconds(2000)) == std::future_status::ready);
    CHECK(listed.get().end == status::outage);
}

// The answer to a removal holds no object. It was taken for a lost answer, so that each daemon
// logged a failure when it ended.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_removal_without_object_is_ok",
                 "[platform][concurrent]")
{
    auto removed = std::async(std::launch::async,
                              [this]()
                              {
                                  return m_client->remove("entry-hosts", "h-1", 4);
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
                                 return m_client->list("servers");
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
    CHECK(m_client->write("settlements", "h-1", 0, "{\"id\": \"k\xf6p\"}").end == status::outage);
    CHECK_FALSE(m_store.has_connection(0));
}

TEST_CASE_METHOD(store_client_fixture,
                 "store_client_torn_answer_is_an_outage",
                 "[platform][concurrent]")
{
    auto listed = std::async(std::launch::async,
                             [this]()
                             {
                                 return m_client->list("servers");
                             });
    auto connection = m_store.accept();
    answer(connection, "200 OK", "{\"items\": [");
    CHECK(listed.get().end == status::outage);
}

// Guards against answers without end, which the client kept until its time for the answer was up.
// The limit of a list of the platform is far below what the sockets hold and the store sends.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_answer_without_end_is_cut_at_a_limit",
                 "[platform][concurrent]")
{
    auto const [framing, repeated] = GENERATE(
        std::pair<std::string, std::string>("Transfer-Encoding: chunked\r\n\r\n0\r\n",
                                            "X-More: more\r\n"),
        std::pair<std::string, std::string>("Transfer-Encoding: chunked\r\n\r\n5;", "more;"),
        std::pair<std::string, std::string>("Transfer-Encoding: chunked\r\n\r\n",
                                            "400\r\n" + std::string(1024, 'x') + "\r\n"),
        std::pair<std::string, std::string>("\r\n", "more"),
        std::pair<std::string, std::string>("", "X-More: more\r\n"),
        std::pair<std::string, std::string>("X-More: ", "more"));
    bool const is_watch = GENERATE(false, true);
    auto listed = std::async(std::launch::async,
                             [this, is_watch]()
                             {
                                 return is_watch ? m_client->watch("servers", {0, 5}, max_wait)
                                                 : m_client->list("servers");
                             });
    auto connection = m_store.accept();
    REQUIRE_FALSE(connection.receive_message().empty());
    connection.send("HTTP/1.1 200 OK\r\n" + framing);
    std::string block;
    while (block.size() < 65536)
        block += repeated;
    constexpr std::size_t max_sent_bytes = std::size_t{24} << 20;
    CAPTURE(framing, is_watch);
    auto const sent = connection.send_until_closed(block, 3000);
    REQUIRE(sent);
    CHECK(*sent <= max_sent_bytes);
    CHECK(listed.get().end != status::ok);
}

// Changes beyond the limit of an answer can be read as a list, page by page. Repeating the watch
// would fail for ever.
TEST_CASE_METHOD(store_client_fixture,
                 "store_client_watch_with_too_many_changes_asks_for_a_list",
                 "[platform][concurrent]")
{
    auto changes = std::async(std::launch::async,
                              [this]()
                              {
                                  return m_client->watch("servers", {0, 5}, max_wait);
                              });
    auto connection = m_store.accept();
    answer(connection, "200 OK", std::string(std::size_t{5} << 20, ' '));
    CHECK(changes.get().end == status::history_gone);
}

} // namespace pistachiohub
