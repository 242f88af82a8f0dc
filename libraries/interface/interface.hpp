#pragma once

/// @file
/// What a deployment speaks: header names, documents and the object API. Each deployment's
/// interface registers itself, and the settings choose one by name.

#include "kernel/endpoint.hpp"
#include "kernel/error.hpp"
#include "libraries/fleet/backend_server.hpp"
#include "libraries/object_store/dialect.hpp"
#include "libraries/routing/route.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pistachiohub::interface
{

/// A document of the deployment lacks a field or holds a value that is not permitted.
class document_error : public kernel::error
{
public:
    using error::error;
};

/// What an answer says of the backend server that made it.
struct server_notice
{
    /// Requests a second that the server takes from all entry hosts together; missing if it names
    /// no limit.
    std::optional<double> max_requests_per_second;
    /// Whether the server says that it leaves and wants no further requests.
    bool is_leaving = false;
    /// Time for which the server, which refuses this request, wants no further one of this host.
    std::optional<std::chrono::milliseconds> wanted_pause;
    /// Whether a part of the notice cannot be read. That part says nothing then.
    bool is_malformed = false;
};

/// Returns the value of the header with the given name, or an empty view.
using header_lookup = std::function<std::string_view(std::string_view name)>;

/// Names of the headers that the gateway reads or sets.
struct message_headers
{
    /// Id of one request of a caller; the backend server repeats it in its answer.
    std::string_view request_id;
    /// Time that the caller still waits, in milliseconds.
    std::string_view remaining_ms;
    /// Cookie with the key of the object that the request concerns.
    std::string_view affinity_cookie;
    /// Id of the backend server for which a request is meant.
    std::string_view wanted_server;
    /// Id of the backend server that answers.
    std::string_view answering_server;
    /// Proves that a backend server made the answer.
    std::string_view signature;
    /// Says that the backend server did not start the request.
    std::string_view not_started;
    /// Running requests, waiting requests and slots of the backend server.
    std::string_view load;
    /// Header of a caller with the key of its customer.
    std::string_view credentials;
    /// Authentication scheme before the key in that header, regardless of case.
    std::string_view credentials_scheme;
    /// Name of the customer, for backend servers.
    std::string_view customer;
    /// Reads what an answer with the given status says of its backend server.
    server_notice (*read_notice)(unsigned status, header_lookup const& headers) = nullptr;
};

/// Kinds of objects in the store.
struct object_kinds
{
    std::string_view configuration;
    /// Name of the one object of kind `configuration`.
    std::string_view current_configuration;
    std::string_view backend_servers;
    /// Objects are named after failure domains.
    std::string_view evacuations;
    std::string_view entry_hosts;
    std::string_view settlements;
};

/// A caller asks where to connect.
struct directory_query
{
    std::string host;
    std::string region;
    std::string failure_domain;
};

/// The interface of one deployment.
struct deployment_interface
{
    std::string_view name;
    message_headers headers;
    object_kinds kinds;
    object_store::dialect store;
    std::string_view readiness_path;
    std::string_view directory_path;
    /// Each decoder throws document_error.
    routing::routing_document (*decode_configuration)(object_store::object const& read);
    fleet::backend_server (*decode_backend_server)(object_store::object const& read);
    directory_query (*decode_directory_query)(std::string_view query);
    std::string (*encode_directory_answer)(std::span<kernel::endpoint const> entry_hosts,
                                           std::chrono::milliseconds time_to_live);
};

/// Registers an interface during static initialisation.
struct registration
{
    explicit registration(deployment_interface const& registered);
};

/// @returns the registered interface.
/// @throws document_error when there is none of this name.
[[nodiscard]] deployment_interface const& find_interface(std::string_view name);

} // namespace pistachiohub::interface
