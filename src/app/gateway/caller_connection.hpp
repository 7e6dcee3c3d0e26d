/// @file
/// @brief One caller's connection at a gateway: processes its requests in sequence.
#pragma once

#include "app/gateway/gateway.hpp"

namespace buckthornrail::app {

/// @brief Parses requests and starts a call for each. To be used only on the event loop's thread.
class caller_connection : public response_sink, public std::enable_shared_from_this<caller_connection> {
public:
    /// @param gateway must outlive the connection
    caller_connection(gateway_role& gateway, net::connection_pointer connection);

    /// @brief Starts reading. Not in the constructor, as the handlers need a weak pointer to this object.
    void begin();
    /// @brief Closes the connection if no request is in progress; otherwise it closes after the response.
    void closeIfIdle();
    /// @brief Closes the connection at once, when the process exits.
    void abort();

    [[nodiscard]] http1::response_terms terms() const override;
    [[nodiscard]] steady_time openedAt() const override { return m_openedAt; }
    void streamBegins() override;
    void write(std::string_view bytes) override;
    [[nodiscard]] std::size_t pendingBytes() const override { return m_connection->pendingBytes(); }
    void finished(bool aborted) override;

private:
    void onBytes(std::string_view bytes);
    void onEnded();
    /// @brief All written bytes are sent.
    void onDrained();
    /// @brief Closes the connection at once, so that what was sent doesn't pass for whole.
    void reset();
    /// @brief States how many bytes the connection holds: of the request, and of responses that aren't sent.
    void updateHeldBytes();
    /// @brief All open messages together are too large, and this connection holds most.
    void onEvicted();
    void advance();
    void startCall();
    /// @brief Responds with an error to a request that can't be parsed or is too slow, and closes the connection.
    void refuse(result_code code);
    /// @brief Closes the connection when the idle timeout passes without a request.
    void startIdleTimer();
    /// @brief Closes the connection once all pending bytes are written, or when its caller takes none for the idle
    /// timeout.
    void close();

    gateway_role& m_gateway;
    net::connection_pointer m_connection;
    http1::request_parser m_parser;
    steady_time m_openedAt = steadyNow();
    std::shared_ptr<gateway_call> m_call;
    steady_time m_firstByteAt {}; ///< when the current request began to arrive
    bool m_hasRequestStarted = false;
    bool m_hasSentContinue = false;
    http1::response_terms m_terms; ///< of the current request
    bool m_isClosed = false;
    std::size_t m_requestBytes = 0; ///< of the body that the current call holds
    bool m_isClosing = false; ///< it closes when all is sent
    bool m_isCutOff = false; ///< what it held was dropped for want of memory
    memory_lease m_held;
    net::loop_timer m_timeoutTimer; ///< header timeout while a request arrives, otherwise idle timeout
};

} // namespace buckthornrail::app
