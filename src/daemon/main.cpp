#include "daemon/process.h"
#include "ends/event_log.h"
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

using namespace carawayloft;

/** Exit codes; docs/OPERATIONS.md lists the same. */
static constexpr int exitOk = 0;
static constexpr int exitUsage = 2;
static constexpr int exitSettings = 3;
static constexpr int exitStart = 4;
static constexpr int exitReplica = 5;

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
    process self(valueOf(loaded), nullptr);
    if (const status started = self.start(); failed(started)) {
        logEvent(event_number::SettingsRejected, {{"reason", describe(errorOf(started))}});
        return exitStart;
    }
    logEvent(event_number::ProcessStarted, {{"zone", valueOf(loaded).zone}});
    self.run();
    logEvent(event_number::ProcessStopped, {});
    return self.exitedCleanly() ? exitOk : exitReplica;
}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN); // A write past a limit on file sizes fails like one on a full disk.
    try {
        TCLAP::CmdLine line(
            "The carawayloft daemon: an entry for callers, the agent of a backend server or a control replica, depending on its settings.", ' ', "0.1.0");
        TCLAP::SwitchArg check("", "check", "Validate the settings and exit.", line);
        TCLAP::UnlabeledValueArg<std::string> path("settings", "The settings file.", true, "", "SETTINGS.toml", line);
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        return runDaemon(path.getValue(), check.getValue());
    } catch (const TCLAP::ExitException &exitRequest) {
        return exitRequest.getExitStatus();
    } catch (const TCLAP::ArgException &failure) {
        std::cerr << failure.error() << ' ' << failure.argId() << "; see carawayloftd --help\n";
        return exitUsage;
    }
}
