#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>

#include <tuple>

namespace carawayloft {

/** A trait of requests to one service. */
struct service_trait {
    service_id service;
    request_trait trait;

    static constexpr auto fields()
    {
        return std::tuple(field{"service", &service_trait::service}, field{"trait", &service_trait::trait});
    }

    friend auto operator<=>(const service_trait &, const service_trait &) = default;
};

} // namespace carawayloft
