#pragma once

/// @file
/// Synchronous client of the platform's object API.

#include "kernel/clock.hpp"
#include "kernel/settings.hpp"
#include "libraries/http/client.hpp"
#include "libraries/object_store/dialect.hpp"
#include "libraries/object_store/object.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::object_store
{

/// Largest value that the store holds, in bytes.
inline constexpr std::size_t largest_value = 1'000'000;

/// Result of reading one object.
struct read_result
{
    status end = status::outage;
    object found;
};

/// Result of reading all objects of a kind, or those changed after a revision.
struct list_result
{
    status end = status::outage;
    std::uint64_t revision = 0;
    std::vector<object> objects;
    /// Generation of the store that answered; 0 if it is unknown.
    std::uint64_t generation = 0;
    /// See page::age.
    std::optional<std::chrono::milliseconds> age = std::nullopt;
    /// Whether the answer exceeded dialect::largest_answer.
    bool is_too_large = false;
};

/// Result of a conditional update.
struct write_result
{
    status end = status::outage;
    /// The new version when written, the version found when in conflict, otherwise 0.
    std::uint64_t version = 0;
    /// Generation of the store that answered; 0 if it is unknown.
    std::uint64_t generation = 0;
};

/// Client of one store. Calls are made by one thread at a time; cancel() may come from any thread.
class client
{
public:
    explicit client(kernel::endpoint const& store,
                    http::client_limits limits = {},
                    dialect const& spoken = native_dialect());

    /// Reads one object.
    [[nodiscard]] read_result read(std::string_view kind, std::string_view name);

    /// Reads all objects of a kind, page by page. The revision is that of the first page, so that a
    /// watch from there misses nothing. Pages of two generations end with `status::history_gone`,
    /// pages that repeat with `status::outage`.
    [[nodiscard]] list_result list(std::string_view kind);

    /// Waits up to `wait` for objects that changed after `since`. Ends with `status::history_gone`
    /// if the store answers in another generation, or with more changes than an answer may hold.
    [[nodiscard]] list_result
    watch(std::string_view kind, position const& since, std::chrono::milliseconds wait);

    /// Writes an object if it has `expected_version`; 0: if it does not exist.
    [[nodiscard]] write_result write(std::string_view kind,
                                     std::string_view name,
                                     std::uint64_t expected_version,
                                     std::string_view value);

    /// Removes an object if it has `expected_version`. The result holds no version.
    [[nodiscard]] write_result
    remove(std::string_view kind, std::string_view name, std::uint64_t expected_version);

    /// Closes the connection, so that the next call opens a new one.
    void disconnect();

    /// Ends the current call and makes all later ones fail with `status::cancelled`.
    void cancel();

private:
    /// @returns the generation that an answer names; 0 if it names none that can be read.
    [[nodiscard]] std::uint64_t generation_of(http::response const& answer) const;
    [[nodiscard]] list_result read_page(http::request const& wanted,
                                        kernel::duration read_timeout,
                                        page (*decode)(std::string_view body),
                                        bool& has_more);
    /// @param decode reads the version from the answer; null if there is none to read.
    [[nodiscard]] write_result change(http::request const& wanted,
                                      std::uint64_t (*decode)(std::string_view body));

    http::client_limits m_limits;
    dialect m_dialect;
    http::client m_http;
};

} // namespace pistachiohub::object_store
