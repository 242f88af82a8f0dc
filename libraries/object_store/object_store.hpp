#pragma once

/// @file
/// Synchronous client of the platform's object API.

#include "kernel/clock.hpp"
#include "kernel/settings.hpp"
#include "libraries/http/client.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiohub::object_store
{

/// Largest value that the store holds, in bytes.
inline constexpr std::size_t largest_value = 1'000'000;

/// How a call ended.
enum class status
{
    ok,
    /// A read: the object does not exist.
    missing,
    /// A write: the object has another version, so nothing was written.
    conflict,
    /// The store refused the call because of its rate; nothing was written.
    over_rate,
    /// The store cannot be reached or refused the call; nothing was written.
    outage,
    /// A write: no answer came, so the write may have taken effect, now or later.
    lost_answer,
    /// cancel() ended the call; a write may have taken effect.
    cancelled
};

/// @returns the name used in logs and metric labels.
[[nodiscard]] std::string_view to_string(status value);

/// An object of the store.
struct object
{
    std::string name;
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;
};

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
};

/// Result of a conditional update.
struct write_result
{
    status end = status::outage;
    /// The new version when written, the version found when in conflict, otherwise 0.
    std::uint64_t version = 0;
};

/// Client of one store. Calls are made by one thread at a time; cancel() may come from any thread.
class client
{
public:
    explicit client(kernel::endpoint const& store, http::client_limits limits = {});

    /// Reads one object.
    [[nodiscard]] read_result read(std::string_view kind, std::string_view name);

    /// Reads all objects of a kind.
    [[nodiscard]] list_result list(std::string_view kind);

    /// Waits up to `wait` for objects that changed after `revision`.
    [[nodiscard]] list_result
    watch(std::string_view kind, std::uint64_t revision, std::chrono::milliseconds wait);

    /// Writes an object if it has `expected_version`; 0: if it does not exist.
    [[nodiscard]] write_result write(std::string_view kind,
                                     std::string_view name,
                                     std::uint64_t expected_version,
                                     std::string value);

    /// Ends the current call and makes all later ones fail with `status::cancelled`.
    void cancel();

private:
    [[nodiscard]] list_result read_list(std::string target, kernel::duration read_timeout);

    http::client_limits m_limits;
    http::client m_http;
};

} // namespace pistachiohub::object_store
