#include "tasks/task_identity.h"

namespace carawayloft {

hello makeHello(const settings &loaded, process_role role)
{
    hello message;
    message.role = role;
    message.process = loaded.process;
    message.zone = loaded.zone;
    if (role == process_role::Agent) {
        message.host = loaded.agent->host;
    }
    return message;
}

std::vector<endpoint> controlEndpoints(const settings &loaded)
{
    std::vector<endpoint> replicas;
    replicas.reserve(loaded.control.size());
    for (const control_peer &each : loaded.control) {
        replicas.push_back(each.frames);
    }
    return replicas;
}

wall_time wallNow()
{
    return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

} // namespace carawayloft
