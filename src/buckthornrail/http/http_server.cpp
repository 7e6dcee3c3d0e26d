/// @file
/// @brief HTTP server on CivetWeb.
#include "buckthornrail/http/http_server.hpp"

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/result_code.hpp"
#include "buckthornrail/http/error_response.hpp"

#include <algorithm>
#include <array>
#include <civetweb.h>
#include <cstring>
#include <strings.h>

namespace buckthornrail::http {
namespace {

constexpr const char* headerTimeoutMs = "5000";
constexpr const char* keepAliveTimeoutMs = "2000";
constexpr std::size_t readChunkBytes = 512; ///< small, so that the body deadline is checked often during a slow upload
constexpr milliseconds lingerPeriod { 2000 };
constexpr std::size_t discardChunkBytes = 65536;
constexpr std::size_t maxDiscardedBytes = 64U << 20U;

const char* reasonPhrase(int status) { return status < 400 ? "OK" : "Error"; }

class civet_exchange : public http_exchange {
public:
    explicit civet_exchange(mg_connection* connection)
        : m_connection(connection)
        , m_acceptsChunks(std::strcmp(mg_get_request_info(connection)->http_version, "1.0") != 0)
        , m_isHead(std::strcmp(mg_get_request_info(connection)->request_method, "HEAD") == 0)
    {
    }

    void respond(int status, const std::vector<header_field>& headers, const std::string& body) override
    {
        writeHead(status, headers, "Content-Length: " + std::to_string(body.size()));
        if (!m_isHead)
            mg_write(m_connection, body.data(), body.size());
    }

    void beginStream(int status, const std::vector<header_field>& headers) override
    {
        if (m_acceptsChunks) {
            writeHead(status, headers, "Transfer-Encoding: chunked");
            return;
        }
        mg_disable_connection_keep_alive(m_connection);
        writeHead(status, headers, "Connection: close");
    }

    bool writeChunk(const std::string& bytes) override
    {
        if (bytes.empty())
            return true;
        if (!m_acceptsChunks)
            return mg_write(m_connection, bytes.data(), bytes.size()) > 0;
        return mg_send_chunk(m_connection, bytes.data(), static_cast<unsigned>(bytes.size())) > 0;
    }

    void endStream() override
    {
        if (m_acceptsChunks)
            mg_send_chunk(m_connection, "", 0);
    }

    void abortStream() override { mg_disable_connection_keep_alive(m_connection); }

    [[nodiscard]] int status() const { return m_status; }

private:
    void writeHead(int status, const std::vector<header_field>& headers, const std::string& framing)
    {
        m_status = status;
        std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
        for (const auto& header : headers)
            head += header.name + ": " + header.value + "\r\n";
        head += framing + "\r\n\r\n";
        mg_write(m_connection, head.data(), head.size());
    }

    mg_connection* m_connection;
    bool m_acceptsChunks;
    bool m_isHead;
    int m_status = 200;
};

/// Reads the request body within the size limit and the deadline.
/// @return the body, or the error code to respond with
tl::expected<std::string, result_code> readBody(mg_connection* connection, const server_options& options)
{
    const auto* info = mg_get_request_info(connection);
    if (info->content_length < 0 && mg_get_header(connection, "Transfer-Encoding") == nullptr) {
        // Neither a length nor chunks: there is no body. CivetWeb would wait for one.
        mg_disable_connection_keep_alive(connection);
        return std::string();
    }
    if (info->content_length > 0 && static_cast<std::size_t>(info->content_length) > options.maxBodyBytes)
        return tl::make_unexpected(result_code::BodyTooLarge);
    const steady_time deadline = boot_clock::now() + milliseconds(options.bodyTimeoutMs);
    std::string body;
    std::array<char, readChunkBytes> chunk {};
    while (true) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count > 0)
            body.append(chunk.data(), static_cast<std::size_t>(count));
        if (body.size() > options.maxBodyBytes)
            return tl::make_unexpected(result_code::BodyTooLarge);
        if (count < 0)
            return tl::make_unexpected(result_code::MalformedRequest); // the body isn't whole
        if (count == 0)
            break;
        if (boot_clock::now() >= deadline)
            return tl::make_unexpected(result_code::SlowSender);
    }
    if (info->content_length > 0 && body.size() < static_cast<std::size_t>(info->content_length))
        return tl::make_unexpected(result_code::SlowSender);
    return body;
}

/// Reads and discards the rest of the request after an early response, for a limited time. Closing immediately would
/// reset the connection, and the client could lose the response.
void discardBody(mg_connection* connection)
{
    const steady_time deadline = boot_clock::now() + lingerPeriod;
    std::vector<char> chunk(discardChunkBytes); // on the heap, because CivetWeb's threads have small stacks
    std::size_t discarded = 0;
    while (discarded < maxDiscardedBytes && boot_clock::now() < deadline) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count <= 0)
            return;
        discarded += static_cast<std::size_t>(count);
    }
}

} // namespace

std::optional<std::string> http_request::header(std::string_view name) const
{
    for (const auto& field : headers) {
        if (field.name.size() == name.size() && strncasecmp(field.name.data(), name.data(), name.size()) == 0)
            return field.value;
    }
    return std::nullopt;
}

struct http_server::implementation {
    ~implementation()
    {
        if (context != nullptr)
            mg_stop(context);
    }

    static int serve(mg_connection* connection, void* user)
    {
        auto& self = *static_cast<implementation*>(user);
        const auto* info = mg_get_request_info(connection);
        http_request request;
        request.method = info->request_method;
        request.path = info->local_uri;
        request.query = info->query_string == nullptr ? "" : info->query_string;
        request.fromLoopback = std::strncmp(info->remote_addr, "127.", 4) == 0;
        for (int i = 0; i < info->num_headers; ++i)
            request.headers.push_back({ info->http_headers[i].name, info->http_headers[i].value });
        civet_exchange exchange(connection);
        auto body = readBody(connection, self.options);
        if (!body) {
            respondError(exchange, { body.error(), "" }, ran_state::No);
            mg_disable_connection_keep_alive(connection);
            if (body.error() == result_code::BodyTooLarge)
                discardBody(connection);
            return exchange.status();
        }
        request.body = std::move(*body);
        const http_route* bestRoute = nullptr;
        for (const auto& route : self.routes) {
            const bool isMatch = request.path.starts_with(route.pathPrefix);
            if (isMatch && (bestRoute == nullptr || route.pathPrefix.size() > bestRoute->pathPrefix.size()))
                bestRoute = &route;
        }
        if (bestRoute == nullptr)
            respondError(exchange, { result_code::NotFound, request.path }, ran_state::No);
        else
            bestRoute->handler(request, exchange);
        return exchange.status();
    }

    server_options options;
    std::vector<http_route> routes;
    mg_context* context = nullptr;
};

http_server::http_server(std::unique_ptr<implementation> impl)
    : m_implementation(std::move(impl))
{
}

http_server::~http_server() = default;

tl::expected<std::unique_ptr<http_server>, std::string> http_server::start(
    const server_options& options, std::vector<http_route> routes)
{
    auto impl = std::make_unique<implementation>();
    impl->options = options;
    impl->routes = std::move(routes);
    const std::string threads = std::to_string(options.threads);
    const std::array<const char*, 15> settings { "listening_ports", options.address.c_str(), "num_threads",
        threads.c_str(), "request_timeout_ms", headerTimeoutMs, "enable_keep_alive", "yes", "keep_alive_timeout_ms",
        keepAliveTimeoutMs, "tcp_nodelay", "1", "connection_queue", "256", nullptr };
    mg_init_library(0);
    const mg_callbacks callbacks {};
    impl->context = mg_start(&callbacks, nullptr, const_cast<const char**>(settings.data()));
    if (impl->context == nullptr)
        return tl::make_unexpected("the HTTP server can't listen on " + options.address);
    mg_set_request_handler(impl->context, "/", implementation::serve, impl.get());
    return std::unique_ptr<http_server>(new http_server(std::move(impl)));
}

} // namespace buckthornrail::http
