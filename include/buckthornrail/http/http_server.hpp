/// @file
/// @brief HTTP server with a thread pool. The interface hides the CivetWeb library.
#pragma once

#include "buckthornrail/dispatch/messages.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace buckthornrail::http {

using dispatch::header_field;

struct server_options {
    std::string address; ///< "IP:port"
    std::uint32_t threads = 16;
    std::uint32_t bodyTimeoutMs = 10000;
    std::size_t maxBodyBytes = 4U << 20U;
};

struct http_request {
    std::string method;
    std::string path; ///< excluding the query
    std::string query;
    std::vector<header_field> headers;
    std::string body;
    bool fromLoopback = false;

    /// @return the value of the first header with that name, which is compared case-insensitively
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

/// Response to one request, written by the handler.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;
    /// @brief Sends a complete response.
    virtual void respond(int status, const std::vector<header_field>& headers, const std::string& body) = 0;
    /// @brief Starts a response with chunked transfer encoding. A client that speaks HTTP/1.0 gets the bytes without
    /// it, and the response ends with the connection: its content has to show whether it is whole.
    virtual void beginStream(int status, const std::vector<header_field>& headers) = 0;
    /// @brief Sends one chunk; an empty one is skipped.
    /// @return false when the connection is closed
    virtual bool writeChunk(const std::string& bytes) = 0;
    /// @brief Sends the last chunk.
    virtual void endStream() = 0;
    /// @brief Ends a stream that isn't whole: the connection is closed without the last chunk.
    virtual void abortStream() = 0;
};

/// Handles a request on one of the server's threads; may block.
using http_handler = std::function<void(const http_request&, http_exchange&)>;

struct http_route {
    std::string pathPrefix;
    http_handler handler;
};

/// @brief HTTP server that dispatches requests to handlers by path prefix.
/// @ingroup http
class http_server {
public:
    /// @brief Starts serving.
    /// @param routes the route with the longest matching prefix handles a request
    /// @return the server, or an error message when the address can't be used
    static tl::expected<std::unique_ptr<http_server>, std::string> start(
        const server_options& options, std::vector<http_route> routes);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace buckthornrail::http
