#pragma once

#include "daemon/settings.h"

#include <carawayloft/messages/hello.h>

namespace carawayloft {

/** The hello that a task of this process sends in @p role. */
hello makeHello(const settings &loaded, process_role role);

/** Where the control replicas are reached by frames. */
std::vector<endpoint> controlEndpoints(const settings &loaded);

/** The wall clock; only tasks read it, and pass it on as an input. */
wall_time wallNow();

} // namespace carawayloft
