#include "libraries/interface/interface.hpp"

#include <vector>

namespace pistachiohub::interface
{

namespace
{

std::vector<deployment_interface>& registry()
{
    static std::vector<deployment_interface> interfaces;
    return interfaces;
}

} // namespace

registration::registration(deployment_interface const& registered)
{
    registry().push_back(registered);
}

deployment_interface const& find_interface(std::string_view name)
{
    for (auto const& known : registry())
    {
        if (known.name == name)
            return known;
    }
    throw document_error("no interface is called " + std::string(name));
}

} // namespace pistachiohub::interface
