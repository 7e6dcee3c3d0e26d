/// @file
/// @brief One caller's connection at a gateway: requests one after the other.
#pragma once

#include "app/gateway/gateway.hpp"

namespace buckthornrail::app {

/// @brief Lives on the loop thread.
class caller_channel : public response_sink, public std::enable_shared_from_this<caller_channel> {
public:
    caller_channel(gateway_role& gateway, net::channel_pointer channel);

    void begin();
    /// @brief Ends the connection now if no request is on it; else its answer will.
    void closeIfIdle();
    /// @brief Ends the connection at once, with the process.
    void abort();

    [[nodiscard]] bool keepsAlive() const override;
    [[nodiscard]] steady_time openedAt() const override { return m_openedAt; }
    void write(std::string_view bytes) override { m_channel->write(bytes); }
    [[nodiscard]] std::size_t pendingBytes() const override { return m_channel->pendingBytes(); }
    void finished(bool aborted) override;

private:
    void onBytes(std::string_view bytes);
    void onEnded();
    void advance();
    void startCall();
    void refuse(result_code code);
    void startIdleTimer();
    void close();

    gateway_role& m_gateway;
    net::channel_pointer m_channel;
    http1::request_parser m_parser;
    steady_time m_openedAt = steadyNow();
    std::shared_ptr<gateway_call> m_call;
    steady_time m_firstByte {}; ///< of the request that is arriving
    bool m_hasRequestStarted = false;
    bool m_hasSentContinue = false;
    bool m_callerKeepsAlive = true;
    bool m_isClosed = false;
    net::loop_timer m_timeoutTimer;
};

} // namespace buckthornrail::app
