/// @file
/// @brief Reloads the settings file when it changes.
#include "app/shared/settings_watch.hpp"

namespace buckthornrail::app {
namespace {

/// The file may change without a signal. An outdated list of controllers is used for about this long at most.
constexpr milliseconds pollInterval { 2000 };

} // namespace

settings_watch::settings_watch(link::event_loop& loop, const settings::settings& initial, settings::process_role role,
    std::function<void(const settings::settings&)> onChange)
    : m_file(initial.sourceFile)
    , m_role(role)
    , m_text(settings::readFile(m_file).value_or(""))
    , m_onChange(std::move(onChange))
    , m_poll(loop, pollInterval, [this] { read(false); })
{
}

void settings_watch::read(bool isRequested)
{
    auto text = settings::readFile(m_file);
    const bool isChanged = text && *text != m_text;
    if (!isChanged && !isRequested)
        return;
    if (!isChanged) {
        telemetry::logEvent(event_code::SettingsReloaded,
            { { "file", m_file }, { "outcome", text ? "unchanged" : "unreadable, kept" } });
        return;
    }
    m_text = std::move(*text);
    const auto parsed = settings::parseSettings(m_text, m_file, m_role);
    if (!parsed) {
        for (const auto& error : parsed.error())
            telemetry::logEvent(
                event_code::SettingsRejected, { { "reason", settings::toString(error) } }, telemetry::severity::Error);
        return;
    }
    telemetry::logEvent(event_code::SettingsReloaded, { { "file", m_file }, { "outcome", "taken" } });
    m_onChange(*parsed);
}

} // namespace buckthornrail::app
