#pragma once

/// @file
/// Fences other incarnations' journals in the store.

#include "libraries/events/forward_event.hpp"
#include "libraries/ledger/journal_document.hpp"
#include "libraries/object_store/object_store.hpp"

#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace pistachiohub::store
{

/// Closes epochs of journals and reads them. A closed epoch gains no ids, so the last few journals
/// are kept; they answer only for epochs that are closed in them.
class journal_fencer
{
public:
    explicit journal_fencer(object_store::client& client);

    /// Closes the journal of the owner of `id` through the epoch of `id` and says what it holds
    /// about `id`.
    [[nodiscard]] events::fence_result fence(identity::request_id const& id);

private:
    [[nodiscard]] std::optional<ledger::journal_document> close(identity::request_id const& id);

    object_store::client& m_client;
    std::deque<std::pair<std::string, ledger::journal_document>> m_closed;
};

} // namespace pistachiohub::store
