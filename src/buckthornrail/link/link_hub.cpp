/// @file
/// @brief WebSocket links and the event loop. Compiled as C++17, as the only file that includes websocketpp.
#include "buckthornrail/link/link_hub.hpp"

#include "loop_implementation.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <string_view>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace buckthornrail::link {

event_loop::event_loop()
    : m_implementation(std::make_unique<loop_implementation>())
{
}

event_loop::~event_loop() = default;

void event_loop::post(std::function<void()> task) { asio::post(m_implementation->io, std::move(task)); }

void event_loop::runAt(steady_time when, std::function<void()> task)
{
    auto timer = std::make_shared<boot_timer>(m_implementation->io, when);
    timer->async_wait([timer, task = std::move(task)](const std::error_code& error) {
        if (!error)
            task();
    });
}

void event_loop::run() { m_implementation->io.run(); }

void event_loop::reportSlowTasks(loop_watch::handler onSlowTask, milliseconds threshold)
{
    m_watch = std::make_unique<loop_watch>(std::move(onSlowTask), threshold);
}

void event_loop::stop() { m_implementation->io.stop(); }

namespace {

using server_endpoint = websocketpp::server<websocketpp::config::asio>;
using client_endpoint = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

/// Limit for opening and closing handshakes; a dialled link must also be open within hub_options::openTimeout.
constexpr long handshakeTimeoutMs = 2000;
constexpr int maxMissedKeepAlives = 3; ///< periods without activity after which a link is closed

/// First byte of each WebSocket message.
enum chunk_kind : char {
    FinalChunk = 'L', ///< the last chunk of a message, or a whole one
    PartialChunk = 'E', ///< more chunks follow; the receiver responds with ChunkAck
    ChunkAck = 'T', ///< acknowledges a PartialChunk
};

/// Messages of a link that haven't been sent completely.
struct outgoing_queue {
    std::deque<std::string> messages;
    std::size_t sentOfFront = 0; ///< bytes of the first message that have been sent
    std::size_t bytes = 0; ///< unsent, of all messages
    std::size_t chunksInFlight = 0; ///< sent and not yet acknowledged
};

struct link_state {
    connection_hdl handle;
    bool inbound = false;
    bool open = false;
    steady_time keepAliveDeadline {};
    steady_time lastActivity {};
    link_end_cause endCause = link_end_cause::ClosedByPeer; ///< set by drop()
    outgoing_queue outgoing;
    std::string partialMessage; ///< received chunks of an incomplete message
};

/// Names of link_end_cause in logs, in the order of its values; they differ from the enumerators.
constexpr const char* endCauseNames[] { "peer_ended", "silent", "not_opened", "read_too_slowly", "ill_formed",
    "own_wish" };

std::pair<std::string, std::string> splitAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return { address, "0" };
    return { address.substr(0, colon), address.substr(colon + 1) };
}

} // namespace

const char* nameOf(link_end_cause cause) { return endCauseNames[static_cast<std::size_t>(cause)]; }

struct link_hub::implementation {
    implementation(event_loop& owner, hub_handlers callbacks, hub_options limits)
        : loop(owner)
        , handlers(std::move(callbacks))
        , options(limits)
    {
        prepare(server, true);
        prepare(client, false);
        server.set_reuse_addr(true);
        scheduleKeepAlive();
    }

    template <typename Endpoint> void prepare(Endpoint& endpoint, bool inbound)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&loop.implementation().io);
        endpoint.set_max_message_size(options.maxChunkBytes + 1);
        endpoint.set_open_handshake_timeout(handshakeTimeoutMs);
        endpoint.set_close_handshake_timeout(handshakeTimeoutMs);
        endpoint.set_tcp_post_init_handler([&endpoint](connection_hdl handle) {
            std::error_code ignored;
            endpoint.get_con_from_hdl(std::move(handle))
                ->get_raw_socket()
                .set_option(asio::ip::tcp::no_delay(true), ignored);
        });
        endpoint.set_open_handler([this, inbound](const connection_hdl& handle) { onOpen(handle, inbound); });
        endpoint.set_close_handler([this](const connection_hdl& handle) { onClosed(handle); });
        endpoint.set_fail_handler([this](const connection_hdl& handle) { onClosed(handle); });
        endpoint.set_pong_handler([this](const connection_hdl& handle, const std::string&) { recordActivity(handle); });
        endpoint.set_message_handler([this](const connection_hdl& handle, const auto& message) {
            const link_number number = recordActivity(handle);
            bytesReceived += message->get_payload().size();
            if (number != 0)
                onChunk(number, message->get_raw_payload());
        });
    }

    void onChunk(link_number number, std::string& chunk)
    {
        auto& link = links[number];
        const char kind = chunk.empty() ? '\0' : chunk.front();
        const bool isData = kind == FinalChunk || kind == PartialChunk;
        if ((!isData && kind != ChunkAck) || link.partialMessage.size() + chunk.size() > options.maxMessageBytes) {
            drop(number, link_end_cause::ProtocolError);
            return;
        }
        if (kind == FinalChunk && link.partialMessage.empty()) {
            chunk.erase(0, 1);
            handlers.received(number, std::move(chunk));
            return;
        }
        if (isData)
            link.partialMessage.append(chunk, 1);
        if (kind == FinalChunk) {
            handlers.received(number, std::exchange(link.partialMessage, {}));
            return;
        }
        if (kind == PartialChunk) {
            sendChunk(link, ChunkAck, {});
        } else {
            link.outgoing.chunksInFlight -= std::min<std::size_t>(link.outgoing.chunksInFlight, 1);
            sendQueued(link);
        }
        if (handlers.progressed)
            handlers.progressed(number);
    }

    void onOpen(const connection_hdl& handle, bool inbound)
    {
        auto known = numbers.find(handle);
        if (known == numbers.end()) {
            known = numbers.emplace(handle, ++lastNumber).first;
            links[known->second] = newLink(handle, inbound);
        }
        links[known->second].open = true;
        const link_number number = recordActivity(handle);
        handlers.opened(number, inbound);
    }

    static link_state newLink(const connection_hdl& handle, bool inbound)
    {
        link_state state;
        state.handle = handle;
        state.inbound = inbound;
        state.lastActivity = boot_clock::now();
        return state;
    }

    void onClosed(const connection_hdl& handle)
    {
        const auto known = numbers.find(handle);
        if (known == numbers.end())
            return;
        const link_number number = known->second;
        const link_state& state = links[number];
        const link_end end { state.endCause,
            std::chrono::duration_cast<milliseconds>(boot_clock::now() - state.lastActivity), waitingBytesOf(state) };
        numbers.erase(known);
        links.erase(number);
        if (stopped)
            return;
        if (handlers.ending)
            handlers.ending(number, end);
        handlers.closed(number);
    }

    std::size_t waitingBytesOf(const link_state& state)
    {
        std::error_code error;
        const auto inbound = state.inbound ? server.get_con_from_hdl(state.handle, error) : nullptr;
        const auto outbound = state.inbound ? nullptr : client.get_con_from_hdl(state.handle, error);
        const std::size_t buffered = inbound ? inbound->get_buffered_amount()
            : outbound                       ? outbound->get_buffered_amount()
                                             : 0;
        return state.outgoing.bytes + buffered;
    }

    /// Extends a link's keep-alive deadline. @return 0: the link is unknown
    link_number recordActivity(const connection_hdl& handle)
    {
        const auto known = numbers.find(handle);
        if (known == numbers.end())
            return 0;
        auto& link = links[known->second];
        link.lastActivity = boot_clock::now();
        link.keepAliveDeadline = link.lastActivity + maxMissedKeepAlives * options.keepAlivePeriod;
        return known->second;
    }

    void scheduleKeepAlive()
    {
        const std::weak_ptr<int> alive = lifetime;
        loop.runAt(boot_clock::now() + options.keepAlivePeriod, [this, alive] {
            if (alive.expired() || stopped)
                return;
            keepAlive();
            scheduleKeepAlive();
        });
    }

    void keepAlive()
    {
        const auto now = boot_clock::now();
        std::vector<link_number> silent;
        for (const auto& [number, state] : links) {
            if (!state.open)
                continue;
            if (now >= state.keepAliveDeadline) {
                silent.push_back(number);
                continue;
            }
            std::error_code ignored;
            if (state.inbound)
                server.ping(state.handle, "", ignored);
            else
                client.ping(state.handle, "", ignored);
        }
        for (const link_number number : silent)
            drop(number, link_end_cause::KeepAliveTimeout);
    }

    /// Closes a dialled link that isn't open within openTimeout.
    void scheduleOpenTimeout(link_number number)
    {
        const std::weak_ptr<int> alive = lifetime;
        loop.runAt(boot_clock::now() + options.openTimeout, [this, alive, number] {
            if (alive.expired() || stopped)
                return;
            const auto found = links.find(number);
            if (found != links.end() && !found->second.open)
                drop(number, link_end_cause::OpenTimeout);
        });
    }

    /// Closes a link without a closing handshake, which would wait for a peer that may be gone.
    void drop(link_number number, link_end_cause cause)
    {
        const auto found = links.find(number);
        if (found == links.end())
            return;
        found->second.endCause = cause;
        const connection_hdl handle = found->second.handle;
        const bool inbound = found->second.inbound;
        std::error_code ignored;
        if (!found->second.open) {
            // websocketpp would wait for at least five seconds, and calls no handler for a socket closed meanwhile.
            client.get_con_from_hdl(handle, ignored)->get_raw_socket().close(ignored);
            onClosed(handle);
            return;
        }
        if (inbound)
            server.get_con_from_hdl(handle, ignored)->terminate(std::error_code());
        else
            client.get_con_from_hdl(handle, ignored)->terminate(std::error_code());
    }

    /// Sends as many chunks of a message as may be in flight; the rest follows as the peer acknowledges them.
    bool send(link_number number, const std::string& message)
    {
        auto& link = links[number];
        if (waitingBytesOf(link) > options.maxBufferedBytes) {
            drop(number, link_end_cause::SendBufferFull);
            return false;
        }
        if (link.outgoing.messages.empty() && message.size() <= options.maxChunkBytes)
            return sendChunk(link, FinalChunk, message);
        link.outgoing.messages.push_back(message);
        link.outgoing.bytes += message.size();
        sendQueued(link);
        return true;
    }

    /// Sends queued chunks up to the limit in flight.
    void sendQueued(link_state& link)
    {
        auto& out = link.outgoing;
        while (!out.messages.empty() && out.chunksInFlight < options.maxChunksInFlight) {
            const std::string& message = out.messages.front();
            const std::string_view rest = std::string_view(message).substr(out.sentOfFront);
            const std::string_view chunk = rest.substr(0, options.maxChunkBytes);
            const bool isLast = chunk.size() == rest.size();
            sendChunk(link, isLast ? FinalChunk : PartialChunk, chunk);
            out.bytes -= chunk.size();
            out.sentOfFront += chunk.size();
            if (!isLast) {
                ++out.chunksInFlight;
                continue;
            }
            out.messages.pop_front();
            out.sentOfFront = 0;
        }
    }

    bool sendChunk(const link_state& link, chunk_kind kind, std::string_view chunk)
    {
        return link.inbound ? sendOver(server, link.handle, kind, chunk) : sendOver(client, link.handle, kind, chunk);
    }

    template <typename Endpoint>
    bool sendOver(Endpoint& endpoint, const connection_hdl& handle, chunk_kind kind, std::string_view chunk)
    {
        std::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error)
            return false;
        const auto message = connection->get_message(websocketpp::frame::opcode::binary, chunk.size() + 1);
        const char first = kind;
        message->append_payload(&first, 1);
        message->append_payload(chunk.data(), chunk.size());
        bytesSent += chunk.size() + 1;
        return !connection->send(message);
    }

    event_loop& loop;
    hub_handlers handlers;
    hub_options options;
    server_endpoint server;
    client_endpoint client;
    std::map<connection_hdl, link_number, std::owner_less<connection_hdl>> numbers;
    std::map<link_number, link_state> links;
    link_number lastNumber = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    bool stopped = false;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

link_hub::link_hub(event_loop& loop, hub_handlers handlers, hub_options options)
    : m_implementation(std::make_unique<implementation>(loop, std::move(handlers), options))
{
}

link_hub::~link_hub() = default;

std::uint16_t link_hub::listen(const std::string& address)
{
    const auto [host, port] = splitAddress(address);
    std::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error)
        return 0;
    auto& server = m_implementation->server;
    server.listen(asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(std::stoul(port))), error);
    if (error)
        return 0;
    server.start_accept(error);
    if (error)
        return 0;
    return server.get_local_endpoint(error).port();
}

link_number link_hub::dial(const std::string& address)
{
    auto& state = *m_implementation;
    const link_number link = ++state.lastNumber;
    std::error_code error;
    const auto connection = state.client.get_connection("ws://" + address + "/", error);
    if (error) {
        state.loop.post([this, link] { m_implementation->handlers.closed(link); });
        return link;
    }
    state.numbers.emplace(connection->get_handle(), link);
    state.links[link] = link_hub::implementation::newLink(connection->get_handle(), false);
    state.client.connect(connection);
    state.scheduleOpenTimeout(link);
    return link;
}

bool link_hub::send(link_number link, const std::string& message)
{
    auto& state = *m_implementation;
    const auto found = state.links.find(link);
    return found != state.links.end() && found->second.open && state.send(link, message);
}

void link_hub::close(link_number link) { m_implementation->drop(link, link_end_cause::ClosedLocally); }

void link_hub::stop()
{
    auto& state = *m_implementation;
    if (state.stopped)
        return;
    state.stopped = true;
    std::error_code ignored;
    if (state.server.is_listening())
        state.server.stop_listening(ignored);
    std::vector<link_number> all;
    for (const auto& [number, link] : state.links)
        all.push_back(number);
    for (const link_number number : all)
        state.drop(number, link_end_cause::ClosedLocally);
}

std::uint64_t link_hub::bytesSent() const { return m_implementation->bytesSent; }

std::uint64_t link_hub::bytesReceived() const { return m_implementation->bytesReceived; }

std::size_t link_hub::bytesWaiting(link_number link) const
{
    const auto found = m_implementation->links.find(link);
    return found == m_implementation->links.end() ? 0 : m_implementation->waitingBytesOf(found->second);
}

std::size_t link_hub::bytesWaiting() const
{
    std::size_t sum = 0;
    for (const auto& [number, state] : m_implementation->links)
        sum += m_implementation->waitingBytesOf(state);
    return sum;
}

} // namespace buckthornrail::link
