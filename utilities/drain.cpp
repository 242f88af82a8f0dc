#include "utilities/tool_options.hpp"

#include <iostream>
#include <thread>

namespace pistachiohub::utilities
{

namespace
{

constexpr unsigned http_accepted = 202;
constexpr auto poll_interval = std::chrono::milliseconds(200);

/// Waits until the admin port no longer accepts connections.
bool wait_until_gone(admin_client& daemon, std::chrono::seconds longest)
{
    auto const end = std::chrono::steady_clock::now() + longest;
    while (std::chrono::steady_clock::now() < end)
    {
        try
        {
            static_cast<void>(daemon.get("/healthz"));
        }
        catch (http::never_sent const&)
        {
            return true;
        }
        // The daemon may exit during the exchange; the next one tells.
        catch (http::lost_answer const&)
        {
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

exit_code drain(command_line const& options)
{
    admin_client daemon(options);
    auto const answer = daemon.post("/v1/drain", "");
    if (answer.status != http_accepted)
        return report_refusal(answer);
    bool const is_waiting = options.has("wait");
    if (is_waiting && !wait_until_gone(daemon, std::chrono::seconds(options.number_or("wait", 0))))
    {
        std::cerr << "pistachiohub: the daemon still runs\n";
        return exit_code::failure;
    }
    auto const* const state = is_waiting ? "drained" : "draining";
    if (options.is_json())
        std::cout << "{\"state\":\"" << state << "\"}\n";
    else
        std::cout << state << '\n';
    return exit_code::success;
}

exit_code run_drain(std::span<std::string const> arguments)
{
    command_line options("drain [options]",
                         "Has a daemon refuse new requests, finish those in flight and exit.");
    options.admin_options().option("wait", "seconds to wait until the daemon has exited");
    if (!options.parse(arguments))
        return exit_code::success;
    return run_tool(
        [&options]()
        {
            return drain(options);
        });
}

subcommand_registration const
    drain_registration({"drain", "shut a daemon down gracefully", run_drain});

} // namespace

} // namespace pistachiohub::utilities
