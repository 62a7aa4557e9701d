#pragma once

#include "tasks/front_end.h"

namespace carawayloft {

/** The document of a record as the operator sent it. Fails if it is damaged. */
result<std::string> storedDocument(const configuration_record &record);

/** Reads the configuration of a record. Fails if it cannot be read here. */
result<service_configuration> readStoredConfiguration(const front_end &frontEnd, const configuration_record &record);

} // namespace carawayloft
