/// @file
/// @brief Takes changes of a process's settings file up while it runs.
#pragma once

#include "app/shared/process.hpp"

namespace buckthornrail::app {

/// @brief Reads the settings file again on request and every few seconds. Lives on the loop thread.
class settings_watch {
public:
    /// @param onChange is given settings that are valid and differ from those before
    settings_watch(link::event_loop& loop, const settings::settings& initial, settings::process_role role,
        std::function<void(const settings::settings&)> onChange);

    /// @brief Reads now. @param isRequested a signal asked for it, so that the outcome is logged in any case
    void read(bool isRequested);

private:
    std::string m_file;
    settings::process_role m_role;
    std::string m_text; ///< as read last
    std::function<void(const settings::settings&)> m_onChange;
    periodic_task m_poll;
};

} // namespace buckthornrail::app
