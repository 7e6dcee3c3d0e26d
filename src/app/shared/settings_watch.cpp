/// @file
/// @brief Reloading settings.
#include "app/shared/settings_watch.hpp"

namespace buckthornrail::app {
namespace {

/// The file may change without a signal; addresses of controllers in it are good for about as long.
constexpr milliseconds readPeriod { 2000 };

} // namespace

settings_watch::settings_watch(link::event_loop& loop, const settings::settings& first, settings::process_role role,
    std::function<void(const settings::settings&)> changed)
    : m_file(first.sourceFile)
    , m_role(role)
    , m_text(settings::readFile(m_file).value_or(""))
    , m_changed(std::move(changed))
    , m_reads(loop, readPeriod, [this] { read(false); })
{
}

void settings_watch::read(bool asked)
{
    auto text = settings::readFile(m_file);
    const bool isNew = text && *text != m_text;
    if (!isNew && !asked)
        return;
    if (!isNew) {
        telemetry::logEvent(event_code::SettingsReloaded,
            { { "file", m_file }, { "outcome", text ? "unchanged" : "unreadable, kept" } });
        return;
    }
    m_text = std::move(*text);
    const auto parsed = settings::parseSettings(m_text, m_file, m_role);
    if (!parsed) {
        for (const auto& fault : parsed.error())
            telemetry::logEvent(
                event_code::SettingsRejected, { { "reason", settings::toString(fault) } }, telemetry::severity::Error);
        return;
    }
    telemetry::logEvent(event_code::SettingsReloaded, { { "file", m_file }, { "outcome", "taken" } });
    m_changed(*parsed);
}

} // namespace buckthornrail::app
