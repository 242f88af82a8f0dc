#pragma once

/// @file
/// Splits JSON text into its parts without reading their values, so that a part which cannot be
/// read does not make the others unreadable.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiohub::object_store
{

/// The name and the text of one member.
using json_member = std::pair<std::string_view, std::string_view>;

/// Splits the text of an object. Only quotes and brackets are looked at, to any depth.
/// @returns the members in their order, with names as written.
/// @throws std::invalid_argument if the text is no object, or is not closed.
[[nodiscard]] std::vector<json_member> split_json_object(std::string_view text);

/// Splits the text of an array in the same way.
/// @returns the texts of the elements in their order.
/// @throws std::invalid_argument if the text is no array, or is not closed.
[[nodiscard]] std::vector<std::string_view> split_json_array(std::string_view text);

/// @returns the text of the first member of this name; empty if there is none.
[[nodiscard]] std::string_view find_json_member(std::vector<json_member> const& members,
                                                std::string_view name);

/// Reads one value. Other writers may leave values that cannot be read, and only their own objects
/// may be lost by that.
/// @returns the value as JSON text; empty if it cannot be read, or is null.
[[nodiscard]] std::string readable_json(std::string_view text);

} // namespace pistachiohub::object_store
