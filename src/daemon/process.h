#pragma once

#include "daemon/role_thread.h"
#include "daemon/settings.h"
#include "ends/event_loop.h"
#include "tasks/agent_task.h"
#include "tasks/control_task.h"
#include "tasks/entry_task.h"
#include "tasks/gateway_task.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>

namespace carawayloft {

/** Runs the configured roles of this process, each on a thread of its own. */
class process
{
public:
    /** @p frontEnd is the installation's own interface; null if it has none. */
    explicit process(settings loaded, const front_end *frontEnd)
        : m_settings(std::move(loaded))
        , m_frontEnd(frontEnd)
    {
    }

    status start()
    {
        status started;
        if (m_settings.replica) {
            started = startRole(m_control, m_frontEnd, [this](bool clean) { roleEnded(m_control.context, clean); });
        }
        if (m_settings.agent && !failed(started)) {
            started = startRole(m_agent, [this] { roleEnded(m_agent.context, true); });
        }
        if (m_settings.entry && !failed(started)) {
            started = startRole(m_entry, [this] { roleEnded(m_entry.context, true); });
        }
        if (m_settings.gateway && m_frontEnd != nullptr && !failed(started)) {
            started = startRole(m_gateway, *m_frontEnd, [this] { roleEnded(m_gateway.context, true); });
        }
        return started;
    }

    /** Calls @p reload every @p period and on each SIGHUP while the process runs, on its main thread. */
    void onReload(std::chrono::milliseconds period, std::function<void()> reload)
    {
        m_reload = std::move(reload);
        m_reloadPeriod = period;
    }

    /** Passes further control replicas to the roles that connect to them. */
    void addReplicas(const std::vector<control_peer> &replicas)
    {
        if (m_control.task) {
            m_control.task->addReplicas(replicas);
        }
        if (m_gateway.task) {
            m_gateway.task->addReplicas(replicas);
        }
    }

    void run()
    {
        m_runningRoles = (m_control.task ? 1 : 0) + (m_agent.task ? 1 : 0) + (m_entry.task ? 1 : 0) + (m_gateway.task ? 1 : 0);
        std::apply([](auto &...each) { ((each.task ? each.start() : void()), ...); }, roles());
        asio::signal_set signals(m_main, SIGTERM, SIGINT);
        awaitSignal(signals);
        asio::signal_set hangUps(m_main, SIGHUP);
        if (m_reload) {
            awaitHangUp(hangUps);
            awaitReload();
        }
        runHandlers(m_main);
        std::apply([](auto &...each) { (each.finish(), ...); }, roles());
    }

    /** Returns false if a role failed after the start. */
    bool exitedCleanly() const
    {
        return m_exitedCleanly;
    }

private:
    std::tuple<role_thread<control_task> &, role_thread<agent_task> &, role_thread<entry_task> &, role_thread<gateway_task> &> roles()
    {
        return std::tie(m_control, m_agent, m_entry, m_gateway);
    }

    template<class Task, class... Arguments>
    status startRole(role_thread<Task> &role, Arguments &&...arguments)
    {
        auto task = Task::create(role.context, m_settings, std::forward<Arguments>(arguments)...);
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

    void awaitHangUp(asio::signal_set &signals)
    {
        signals.async_wait([this, &signals](const std::error_code &failure, int) {
            if (!failure) {
                m_reload();
                awaitHangUp(signals);
            }
        });
    }

    void awaitReload()
    {
        m_reloadTimer.expires_after(m_reloadPeriod);
        m_reloadTimer.async_wait([this](const std::error_code &failure) {
            if (!failure) {
                m_reload();
                awaitReload();
            }
        });
    }

    void stopRoles()
    {
        std::apply([](auto &...each) { ((each.task ? each.task->stop() : void()), ...); }, roles());
    }

    void roleEnded(asio::io_context &context, bool clean)
    {
        context.stop();
        asio::post(m_main, [this, clean] {
            m_exitedCleanly = m_exitedCleanly && clean;
            if (!clean) {
                stopRoles();
            }
            if (--m_runningRoles == 0) {
                m_main.stop();
            }
        });
    }

    settings m_settings;
    const front_end *m_frontEnd = nullptr;
    asio::io_context m_main{1};
    std::function<void()> m_reload;
    std::chrono::milliseconds m_reloadPeriod{0};
    asio::steady_timer m_reloadTimer{m_main};
    role_thread<control_task> m_control;
    role_thread<agent_task> m_agent;
    role_thread<entry_task> m_entry;
    role_thread<gateway_task> m_gateway;
    int m_runningRoles = 0;
    bool m_exitedCleanly = true;
};

} // namespace carawayloft
