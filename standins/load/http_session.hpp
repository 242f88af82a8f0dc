#pragma once

/// @file
/// One keep-alive HTTP connection of the load program.

#include <memory>
#include <string>
#include <vector>

namespace pistachiohub::standins::load
{

/// A header line.
struct header
{
    std::string name;
    std::string value;
};

/// Status and body of an answer.
struct http_answer
{
    unsigned status = 0;
    std::string body;
};

/// A blocking connection; not thread-safe.
class http_session
{
public:
    /// @param endpoint `address:port`.
    /// @throws kernel::error or a system error when it cannot connect.
    explicit http_session(std::string const& endpoint);
    ~http_session();
    http_session(http_session const&) = delete;
    http_session& operator=(http_session const&) = delete;

    /// @returns the answer to a GET request.
    http_answer get(std::string const& target);

    /// @returns the answer to a POST request.
    http_answer
    post(std::string const& target, std::vector<header> const& headers, std::string const& body);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::standins::load
