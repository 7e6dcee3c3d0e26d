/// @file
/// @brief Entry point of the binary, which runs the role or tool that the first argument names.
#include "app/controller/controller.hpp"
#include "app/entry/entry.hpp"
#include "app/gateway/gateway.hpp"
#include "app/registry/registry.hpp"
#include "app/shell/control_shell.hpp"
#include "app/sidecar/sidecar.hpp"
#include "platform/dialects.hpp"

#include <csignal>
#include <iostream>
#include <optional>
#include <tclap/CmdLine.h>

namespace {

using namespace buckthornrail; // NOLINT(google-build-using-namespace)

constexpr const char* version = "0.1.0";

/// A sub-command that runs a role as a daemon.
struct daemon_command {
    settings::process_role role;
    int (*run)(const settings::settings&);
};

int runGateway(const settings::settings& settings)
{
    return app::runGateway(settings, platform::trafficDialect(), platform::controlDialect());
}

int runRegistry(const settings::settings& settings) { return app::runRegistry(settings, platform::controlDialect()); }

constexpr std::array daemonCommands {
    daemon_command { settings::process_role::Entry, app::runEntry },
    daemon_command { settings::process_role::Sidecar, app::runSidecar },
    daemon_command { settings::process_role::Controller, app::runController },
    daemon_command { settings::process_role::Gateway, runGateway },
    daemon_command { settings::process_role::Registry, runRegistry },
};

void printUsage(std::ostream& out)
{
    out << "buckthornrail " << version << ": routes language-model pipelines over mixed accelerators\n\n"
        << "  buckthornrail entry|sidecar|controller|gateway|registry --settings FILE [--check]\n"
        << "  buckthornrail registry --settings FILE --tolerated-losses NUMBER\n"
        << "  buckthornrail ctl --help\n"
        << "  buckthornrail --version | --help\n";
}

int runDaemon(const daemon_command& command, const std::vector<std::string>& arguments)
{
    const std::string name(nameIn(settings::processRoleNames, command.role));
    std::string file;
    bool isCheckOnly = false;
    std::optional<std::uint32_t> toleratedLosses;
    try {
        TCLAP::CmdLine line("Runs the role '" + name + "' until SIGTERM.", ' ', version);
        TCLAP::ValueArg<std::string> settingsFile("s", "settings", "Settings file (INI)", true, "", "file", line);
        TCLAP::SwitchArg check("", "check", "Check the settings file and exit", line);
        TCLAP::ValueArg<std::uint32_t> losses(
            "", "tolerated-losses", "Replaces [registry] tolerated_losses", false, 0, "number");
        if (command.role == settings::process_role::Registry)
            line.add(losses);
        std::vector<std::string> remaining = arguments;
        line.parse(remaining);
        file = settingsFile.getValue();
        isCheckOnly = check.getValue();
        if (losses.isSet())
            toleratedLosses = losses.getValue();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "buckthornrail " << name << ": " << error.error() << " " << error.argId() << "\n";
        return app::exitBadSettings;
    }
    auto loaded = settings::loadSettings(file, command.role);
    if (loaded && toleratedLosses > settings::maxToleratedLosses) {
        std::cerr << "buckthornrail " << name << ": --tolerated-losses must not exceed " << settings::maxToleratedLosses
                  << "\n";
        return app::exitBadSettings;
    }
    if (!loaded) {
        for (const auto& error : loaded.error())
            std::cerr << settings::toString(error) << "\n";
        return app::exitBadSettings;
    }
    if (isCheckOnly) {
        std::cout << file << ": valid\n";
        return app::exitOk;
    }
    if (toleratedLosses)
        loaded->toleratedLosses = *toleratedLosses;
    telemetry::startLog(loaded->logLevel);
    return command.run(*loaded);
}

int runCommand(const std::vector<std::string>& arguments)
{
    const std::string command = arguments.size() > 1 ? arguments[1] : "";
    std::vector<std::string> remaining(arguments);
    if (remaining.size() > 1)
        remaining.erase(remaining.begin() + 1);
    if (command == "--version") {
        std::cout << version << "\n";
        return app::exitOk;
    }
    if (command == "--help") {
        printUsage(std::cout);
        return app::exitOk;
    }
    if (command == "ctl")
        return app::runControlShell(remaining);
    for (const auto& daemon : daemonCommands) {
        if (nameIn(settings::processRoleNames, daemon.role) == command)
            return runDaemon(daemon, remaining);
    }
    printUsage(std::cerr);
    return app::exitBadSettings;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runCommand({ argv, argv + argc });
    } catch (const std::exception& error) {
        std::cerr << "buckthornrail: " << error.what() << "\n";
        return app::exitFailure;
    }
}
