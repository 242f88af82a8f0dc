#pragma once

/// @file
/// A well-behaved caller: cached lookups, request ids, and re-sends that never run a request twice.

#include "kernel/clock.hpp"
#include "libraries/caller/connection.hpp"
#include "libraries/caller/lookup_answer.hpp"
#include "libraries/identity/request_id.hpp"
#include "libraries/outcome/outcome.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pistachiohub::caller
{

/// An address at which lookups may be asked for.
struct lookup_source
{
    std::string address;
    std::uint16_t port = 0;
};

/// Options of a caller.
struct caller_options
{
    /// Entry hosts known beforehand, asked in order.
    std::vector<lookup_source> sources;
    /// The client's IPv4 address; empty leaves the choice of failure domain to the entry host.
    std::string client;
    /// Ids that one call may use; a refused id is closed, so a new try needs a new one.
    unsigned most_ids = 3;
    /// Seed of the unique parts; callers with equal seeds make equal ids.
    std::uint64_t seed = 0;
};

/// No entry host answered a lookup.
class lookup_error : public kernel::error
{
public:
    using error::error;
};

/// One transmission of an id and what came back.
struct transmission
{
    /// Entry host that it went to.
    std::string host;
    /// Number stated in `Pistachiohub-Transmission`.
    std::uint32_t number = 0;
    exchange_end end = exchange_end::never_sent;
    std::optional<outcome> told;
    std::optional<reason> cause;
};

/// What became of one id.
struct used_id
{
    identity::request_id id;
    /// True when no byte of it was sent to any entry host; `told` is then `not_run`.
    bool is_never_sent = false;
    outcome told = outcome::unresolved;
    reason cause = reason::deadline;
    std::vector<transmission> transmissions;
};

/// The end of a call.
struct call_result
{
    outcome result = outcome::not_run;
    reason cause = reason::not_ready;
    /// The backend server's answer when `result` is `ran`.
    std::string answer;
    /// In the order of use; the last one gave the result.
    std::vector<used_id> ids;
};

/// Blocking caller; not thread-safe.
class caller
{
public:
    explicit caller(caller_options options);

    /// @returns the entry hosts for a service, from the cache while the answer's TTL lasts.
    /// @throws lookup_error when no entry host answers.
    lookup_answer const& lookup(std::string const& service);

    /// Makes a new request and follows it to its outcome. No id is used when no host is live.
    /// @param deadline from now; at most 60 s.
    /// @throws lookup_error when no entry host answers the first lookup.
    call_result
    call(std::string const& service, std::string const& body, kernel::duration deadline);

    /// Re-sends an id of an earlier call.
    call_result resend(identity::request_id const& id,
                       std::string const& service,
                       std::string const& body,
                       kernel::duration deadline);

private:
    struct cached_lookup
    {
        lookup_answer answer;
        kernel::monotonic_time valid_until;
    };

    /// One id on its way.
    struct attempt
    {
        std::string const& service;
        std::string const& body;
        kernel::monotonic_time deadline;
        used_id used;
        std::string answer;
        std::uint32_t next_number = 1;
        /// True when some transmission may have reached an entry host.
        bool is_sent = false;
    };

    /// @returns false when `text` is not a lookup answer.
    bool store_lookup(std::string const& service, std::string const& text);
    /// @throws lookup_error when the lookup fails and is required.
    bool refresh_lookup(std::string const& service, bool is_required);
    [[nodiscard]] entry_host const* find_owner(std::string const& service,
                                               std::vector<std::string> const& refused) const;
    [[nodiscard]] std::string make_unique_part();
    /// @returns true when the id has a final outcome.
    bool send(attempt& current, entry_host const& host);
    bool read_answer(attempt& current, transmission& sent, exchange_result const& received);
    bool send_to_others(attempt& current);
    void follow(attempt& current, std::optional<entry_host> const& owner);
    [[nodiscard]] std::optional<entry_host> find_host(identity::request_id const& id,
                                                      std::string const& service) const;

    caller_options m_options;
    connection_pool m_connections;
    std::map<std::string, cached_lookup> m_lookups;
    std::mt19937_64 m_random;
};

} // namespace pistachiohub::caller
