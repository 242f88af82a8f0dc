#include "plugins/peer/pipe_limit.hpp"

namespace pistachiohub::peer
{

bool add_pipe(pipe_limit& limit, int pipe, std::string const& address)
{
    auto& count = limit.count_of_address[address];
    if (count >= max_pipes_of_address)
        return false;
    ++count;
    limit.address_of_pipe[pipe] = address;
    return true;
}

void remove_pipe(pipe_limit& limit, int pipe)
{
    auto const found = limit.address_of_pipe.find(pipe);
    if (found == limit.address_of_pipe.end())
        return;
    auto const counted = limit.count_of_address.find(found->second);
    if (--counted->second == 0)
        limit.count_of_address.erase(counted);
    limit.address_of_pipe.erase(found);
}

} // namespace pistachiohub::peer
