#pragma once

/// @file
/// How the calls of one object API and their answers look on the wire.

#include "libraries/http/client.hpp"
#include "libraries/object_store/object.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiohub::object_store
{

/// One page of a list, or the changes that a watch returned.
struct page
{
    std::uint64_t revision = 0;
    std::vector<object> objects;
    /// Whether further pages follow the last object of this one.
    bool has_more = false;
    /// How long ago the store had told this, if the answer is not its own and names the age.
    std::optional<std::chrono::milliseconds> age = std::nullopt;
};

/// The functions of one object API. The decoders throw an exception of the standard library for an
/// answer of another form.
struct dialect
{
    http::request (*make_read)(std::string_view kind, std::string_view name);
    /// @param after name after which the page begins; empty for the first page.
    http::request (*make_list)(std::string_view kind, std::string_view after);
    http::request (*make_watch)(std::string_view kind,
                                position const& since,
                                std::chrono::milliseconds wait);
    /// @param expected_version 0 creates the object.
    /// @param value JSON text.
    http::request (*make_write)(std::string_view kind,
                                std::string_view name,
                                std::uint64_t expected_version,
                                std::string_view value);
    http::request (*make_remove)(std::string_view kind,
                                 std::string_view name,
                                 std::uint64_t expected_version);
    status (*read_status)(unsigned code);
    status (*write_status)(unsigned code);
    object (*decode_object)(std::string_view body);
    page (*decode_list)(std::string_view body);
    page (*decode_changes)(std::string_view body);
    /// @returns the version in the answer to a write, for status::ok and status::conflict.
    std::uint64_t (*decode_written)(std::string_view body);
    /// Header of all answers with the store's generation; empty if the object API has none.
    std::string_view generation_header{};
    /// Bytes of the largest answer. An answer that goes on beyond it is not read further.
    std::size_t largest_answer = std::size_t{64} << 20;
};

/// @returns what the status of an answer to a read means in each of these object APIs.
[[nodiscard]] status read_status_of(unsigned code);

/// @param conflict_code status of a write whose condition does not hold.
/// @returns what the status of an answer to a write means.
[[nodiscard]] status write_status_of(unsigned code, unsigned conflict_code);

/// @returns the object API that docs/design.md describes.
[[nodiscard]] dialect const& native_dialect();

} // namespace pistachiohub::object_store
