#pragma once

#include <string>
#include <thread>

namespace carawayloft::test_support {

/** What a stand-in for a backend server says of itself. */
struct backend_announcement {
    std::string name;
    std::string service;
    std::string address;
    int sequence = 0; /**< Grows with each announcement. */
};

/** Announces a ready backend server to the control replica at the address @p control. */
void announce(const std::string &control, const backend_announcement &what);

/** Announces a backend server again and again, with growing numbers, until it is destroyed. */
class repeated_announcement
{
public:
    repeated_announcement(const std::string &control, const backend_announcement &what);

private:
    std::jthread m_thread;
};

} // namespace carawayloft::test_support
