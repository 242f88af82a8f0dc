#pragma once

/// @file
/// Acceptance of a configuration patch by the store's conditional update.

#include "kernel/error.hpp"
#include "libraries/object_store/object_store.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiohub::admin
{

/// The body of a patch request is not of the documented form.
class bad_patch_request : public kernel::error
{
public:
    using error::error;
};

/// A patch as an operator sends it.
struct patch_request
{
    /// Version that the operator has seen; 0 creates the first document.
    std::uint64_t against_version = 0;
    std::string patch_id;
    /// JSON merge patch.
    std::string patch;
};

/// How a patch ended.
enum class patch_end
{
    accepted,
    /// The store holds another version; nothing was changed.
    stale,
    /// The patch or the resulting document is not valid; nothing was changed.
    invalid,
    /// The store cannot be reached; nothing was changed.
    unavailable,
    /// An answer was lost and later versions hide whether the patch was accepted.
    unknown
};

/// Result of a patch.
struct patch_result
{
    patch_end end = patch_end::unavailable;
    /// Version of the accepted document, or the current one when known.
    std::uint64_t version = 0;
    /// Text of the accepted document.
    std::string text;
    /// What is not valid.
    std::string message;
};

/// @throws bad_patch_request naming the offending member.
[[nodiscard]] patch_request parse_patch_request(std::string_view body);

/// Applies a patch to `configuration/current`. A lost answer is resolved by reading back and
/// comparing the patch id.
[[nodiscard]] patch_result apply_to_store(object_store::client& store, patch_request const& wanted);

} // namespace pistachiohub::admin
