#pragma once

#include <carawayloft/backend/backend_messages.h>
#include <carawayloft/core/result.h>

#include <string>

namespace carawayloft {

/** An announcement with where the backend server listens. */
struct announced_backend {
    std::string url;
    backend_announcement announcement;
};

/** Reads the JSON that a backend server announces itself with; fails with InvalidRequest. */
result<announced_backend> decodeAnnouncement(const std::string &body);

/** Reads a backend server's load report; fails with InvalidRequest. */
result<backend_report> decodeLoadReport(const std::string &body);

/** The body of an order to a backend server. */
std::string encodeOrder(const send_serve_order &order);

} // namespace carawayloft
