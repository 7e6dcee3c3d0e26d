/// @file
/// @brief Reloads the settings file of a running process.
#pragma once

#include "app/shared/process.hpp"

namespace buckthornrail::app {

/// @brief Reads the settings file on request and every few seconds. Used on the loop thread only.
class settings_watch {
public:
    /// @param initial settings as loaded at the start
    /// @param onChange called with the new settings when the text of the file has changed and is valid
    settings_watch(link::event_loop& loop, const settings::settings& initial, settings::process_role role,
        std::function<void(const settings::settings&)> onChange);

    /// @brief Reads the file now.
    /// @param isRequested by a signal: logs the outcome even if nothing has changed
    void read(bool isRequested);

private:
    std::string m_file;
    settings::process_role m_role;
    std::string m_text; ///< of the file when it was last read
    std::function<void(const settings::settings&)> m_onChange;
    periodic_task m_poll;
};

} // namespace buckthornrail::app
