#include "standins/load/process_usage.hpp"

#include "kernel/error.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace pistachiohub::standins::load
{

double processor_seconds(int process_id)
{
    if (process_id == 0)
        return 0;
    std::ifstream file("/proc/" + std::to_string(process_id) + "/stat");
    std::string line;
    if (!std::getline(file, line))
        throw kernel::error("process " + std::to_string(process_id) + " does not exist");
    // The second field, the command in parentheses, may contain spaces.
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    constexpr int fields_before_user_time = 11;
    for (int field = 0; field < fields_before_user_time; ++field)
        fields >> skipped;
    double user_ticks = 0;
    double system_ticks = 0;
    fields >> user_ticks >> system_ticks;
    return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace pistachiohub::standins::load
