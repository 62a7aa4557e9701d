#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <memory>
#include <thread>

namespace carawayloft {

/** A role with its own thread, on which its task and all of its connections live. */
template<class Task>
struct role_thread {
    asio::io_context context{1};
    std::unique_ptr<Task> task;
    std::thread thread;

    void start()
    {
        thread = std::thread([this] {
            const auto guard = asio::make_work_guard(context);
            context.run();
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
