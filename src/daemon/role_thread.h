#pragma once

#include "ends/event_loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <memory>
#include <thread>

namespace carawayloft {

/** A thread that runs one role: its task, and the event loop of all of the task's connections. */
template<class Task>
struct role_thread {
    asio::io_context context{1};
    std::unique_ptr<Task> task;
    std::thread thread;

    void start()
    {
        thread = std::thread([this] {
            const auto guard = asio::make_work_guard(context);
            runHandlers(context);
        });
    }

    void finish()
    {
        if (thread.joinable()) {
            thread.join();
        }
        task.reset();
    }
};

} // namespace carawayloft
