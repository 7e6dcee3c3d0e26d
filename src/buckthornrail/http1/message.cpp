/// @file
/// @brief Lookup and removal of header fields, and formatting of messages.
#include "buckthornrail/http1/message.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace buckthornrail::http1 {
namespace {

constexpr std::array<std::string_view, 9> hopByHopFields { "Connection", "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

char toLower(char symbol) { return symbol >= 'A' && symbol <= 'Z' ? static_cast<char>(symbol + ('a' - 'A')) : symbol; }

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

void appendFields(std::string& out, const std::vector<field>& fields)
{
    for (const auto& entry : fields) {
        out += entry.name;
        out += ": ";
        out += entry.value;
        out += "\r\n";
    }
}

/// @return whether a response of this status has a body, and states its length
bool mayHaveBody(int status)
{
    constexpr int firstFinal = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status >= firstFinal && status != noContent && status != notModified;
}

void appendStatusLine(std::string& out, const response_head& head)
{
    out += "HTTP/1.1 " + std::to_string(head.status) + " ";
    out += head.reason.empty() ? "Status" : head.reason;
    out += "\r\n";
}

} // namespace

response_terms termsFor(const request_head& request)
{
    response_terms terms;
    terms.acceptsChunks = request.version == http_version::Http11;
    terms.keepAlive = request.keepAlive && terms.acceptsChunks;
    terms.hasBody = request.method != "HEAD";
    return terms;
}

bool areFieldNamesEqual(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLower(x) == toLower(y); });
}

std::optional<std::string_view> valueOf(const std::vector<field>& fields, std::string_view name)
{
    for (const auto& entry : fields) {
        if (areFieldNamesEqual(entry.name, name))
            return entry.value;
    }
    return std::nullopt;
}

void removeFields(std::vector<field>& fields, std::string_view name)
{
    std::erase_if(fields, [name](const field& entry) { return areFieldNamesEqual(entry.name, name); });
}

void removeHopByHopFields(std::vector<field>& fields)
{
    std::vector<std::string> listedFields;
    for (const auto& entry : fields) {
        if (!areFieldNamesEqual(entry.name, "Connection"))
            continue;
        std::string_view rest = entry.value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            listedFields.emplace_back(trim(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    for (const auto& name : listedFields)
        removeFields(fields, name);
    for (const auto name : hopByHopFields)
        removeFields(fields, name);
}

std::string formatRequest(const request_head& head, std::string_view body)
{
    std::string out;
    out.reserve(512 + body.size());
    out += head.method;
    out += ' ';
    out += head.target;
    out += " HTTP/1.1\r\n";
    appendFields(out, head.fields);
    const bool methodUsuallyHasBody = head.method != "GET" && head.method != "HEAD" && head.method != "DELETE";
    if (!body.empty() || methodUsuallyHasBody)
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n";
    out += body;
    return out;
}

std::string formatResponse(const response_head& head, std::string_view body, bool keepAlive)
{
    return formatResponse(head, body, response_terms { keepAlive });
}

std::string formatResponse(const response_head& head, std::string_view body, const response_terms& terms)
{
    std::string out;
    out.reserve(256 + body.size());
    appendStatusLine(out, head);
    appendFields(out, head.fields);
    const bool hasBody = terms.hasBody && mayHaveBody(head.status);
    if (hasBody)
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!terms.keepAlive)
        out += "Connection: close\r\n";
    out += "\r\n";
    if (hasBody)
        out += body;
    return out;
}

std::string formatChunkedHead(const response_head& head, bool keepAlive)
{
    std::string out;
    appendStatusLine(out, head);
    appendFields(out, head.fields);
    out += "Transfer-Encoding: chunked\r\n";
    if (!keepAlive)
        out += "Connection: close\r\n";
    out += "\r\n";
    return out;
}

std::string formatStreamHead(const response_head& head, const response_terms& terms)
{
    if (terms.acceptsChunks)
        return formatChunkedHead(head, terms.keepAlive);
    std::string out;
    appendStatusLine(out, head);
    appendFields(out, head.fields);
    out += "Connection: close\r\n\r\n";
    return out;
}

std::string formatStreamPart(std::string_view bytes, const response_terms& terms)
{
    return terms.acceptsChunks ? formatChunk(bytes) : std::string(bytes);
}

std::string_view streamEnd(const response_terms& terms)
{
    return terms.acceptsChunks && terms.hasBody ? lastChunk : std::string_view();
}

std::string formatChunk(std::string_view bytes)
{
    std::array<char, 20> size {};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out(size.data(), static_cast<std::size_t>(length));
    out += bytes;
    out += "\r\n";
    return out;
}

} // namespace buckthornrail::http1
