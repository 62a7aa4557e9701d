#pragma once

#include "daemon/settings.h"

#include <carawayloft/messages/hello.h>

namespace carawayloft {

/** The hello message that a task of this process sends in @p role. */
hello makeHello(const settings &loaded, process_role role);

/** Endpoints of the control replicas for the frame protocol. */
std::vector<endpoint> controlEndpoints(const settings &loaded);

/** Reads the wall clock. Only tasks do so; pipes and filters get the time as an input. */
wall_time wallNow();

} // namespace carawayloft
