#include "daemon/settings.h"
#include "ends/event_log.h"
#include "tasks/agent_task.h"
#include "tasks/control_task.h"
#include "tasks/entry_task.h"

#include <asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

using namespace carawayloft;

/** Exit codes; docs/OPERATIONS.md lists the same. */
static constexpr int exitOk = 0;
static constexpr int exitUsage = 2;
static constexpr int exitSettings = 3;
static constexpr int exitStart = 4;
static constexpr int exitReplica = 5;

namespace {

/** A role with its own thread, on which its task and all of its connections live. */
template<class Task>
struct running_role {
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

/** All roles of this process. */
class process
{
public:
    explicit process(settings loaded)
        : m_settings(std::move(loaded))
    {
    }

    status start()
    {
        status done;
        if (m_settings.replica) {
            done = startRole(m_control, [this](bool well) { ended(m_control.context, well); });
        }
        if (m_settings.agent && !failed(done)) {
            done = startRole(m_agent, [this] { ended(m_agent.context, true); });
        }
        if (m_settings.entry && !failed(done)) {
            done = startRole(m_entry, [this] { ended(m_entry.context, true); });
        }
        return done;
    }

    void run()
    {
        m_running = (m_control.task ? 1 : 0) + (m_agent.task ? 1 : 0) + (m_entry.task ? 1 : 0);
        std::apply([](auto &...each) { ((each.task ? each.start() : void()), ...); }, roles());
        asio::signal_set signals(m_main, SIGTERM, SIGINT);
        awaitSignal(signals);
        m_main.run();
        std::apply([](auto &...each) { (each.finish(), ...); }, roles());
    }

    bool endedWell() const
    {
        return m_endedWell;
    }

private:
    std::tuple<running_role<control_task> &, running_role<agent_task> &, running_role<entry_task> &> roles()
    {
        return std::tie(m_control, m_agent, m_entry);
    }

    template<class Task, class Ended>
    status startRole(running_role<Task> &role, Ended whenEnded)
    {
        auto task = Task::create(role.context, m_settings, whenEnded);
        if (failed(task)) {
            return errorOf(task);
        }
        role.task = std::move(valueOf(task));
        return {};
    }

    void awaitSignal(asio::signal_set &signals)
    {
        signals.async_wait([this, &signals](const std::error_code &failure, int) {
            if (!failure) {
                stopRoles();
                awaitSignal(signals);
            }
        });
    }

    void stopRoles()
    {
        std::apply([](auto &...each) { ((each.task ? each.task->stop() : void()), ...); }, roles());
    }

    void ended(asio::io_context &context, bool well)
    {
        context.stop();
        asio::post(m_main, [this, well] {
            m_endedWell = m_endedWell && well;
            if (!well) {
                stopRoles();
            }
            if (--m_running == 0) {
                m_main.stop();
            }
        });
    }

    settings m_settings;
    asio::io_context m_main{1};
    running_role<control_task> m_control;
    running_role<agent_task> m_agent;
    running_role<entry_task> m_entry;
    int m_running = 0;
    bool m_endedWell = true;
};

} // namespace

static int runDaemon(const std::string &path, bool checkOnly)
{
    const result<settings> loaded = loadSettings(path);
    if (failed(loaded)) {
        std::cerr << describe(errorOf(loaded)) << '\n';
        return exitSettings;
    }
    if (checkOnly) {
        std::cout << path << ": the settings are valid\n";
        return exitOk;
    }
    configureEventLog(valueOf(loaded).process, valueOf(loaded).format, valueOf(loaded).threshold);
    process self(valueOf(loaded));
    if (const status started = self.start(); failed(started)) {
        logEvent(event_number::SettingsRejected, {{"reason", describe(errorOf(started))}});
        return exitStart;
    }
    logEvent(event_number::ProcessStarted, {{"zone", valueOf(loaded).zone}});
    self.run();
    logEvent(event_number::ProcessStopped, {});
    return self.endedWell() ? exitOk : exitReplica;
}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        TCLAP::CmdLine line(
            "The carawayloft daemon: serves callers, stands beside backend servers or keeps the agreed state, as its settings say.", ' ', "0.1.0");
        TCLAP::SwitchArg check("", "check", "Validate the settings and exit.", line);
        TCLAP::UnlabeledValueArg<std::string> path("settings", "The settings file.", true, "", "SETTINGS.toml", line);
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        return runDaemon(path.getValue(), check.getValue());
    } catch (const TCLAP::ExitException &wanted) {
        return wanted.getExitStatus();
    } catch (const TCLAP::ArgException &failure) {
        std::cerr << failure.error() << ' ' << failure.argId() << "; see carawayloftd --help\n";
        return exitUsage;
    }
}
