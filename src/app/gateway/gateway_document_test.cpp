/// @file
/// @brief Transfer of the document from registries to a gateway, by this release and by the previous one.
#include "app/gateway/gateway_document.hpp"

#include "buckthornrail/compression/text_patch.hpp"
#include "platform/dialects.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::app;
using nlohmann::json;

namespace {

const gateway::control_dialect& dialect() { return platform::controlDialect(); }

json routeOf(const std::string& name, const std::string& service)
{
    return { { "name", name }, { "host", "h" }, { "path-prefix", "/" + name + "/" }, { "kind", "safe" },
        { "timeout-ms", 1000 }, { "service", service } };
}

json documentOf(std::uint64_t version, const std::vector<json>& routes)
{
    return { { "version", version }, { "routes", routes }, { "services", json::array({ { { "name", "s" } } }) },
        { "tenants", json::array({ { { "name", "w" }, { "api-keys", { "k" } } } }) } };
}

versioned_text documentWithRoutes(std::uint64_t version, int routes)
{
    std::vector<json> all;
    all.reserve(static_cast<std::size_t>(routes));
    for (int i = 0; i < routes; ++i)
        all.push_back(routeOf("r" + std::to_string(i), "s"));
    return { version, documentOf(version, all).dump() };
}

/// A registry that publishes documents and delivers them to gateways.
class fake_registry {
public:
    explicit fake_registry(const versioned_text& first)
        : m_newest(first)
    {
        m_feed.update(m_newest);
    }

    void publish(versioned_text next)
    {
        m_newest = std::move(next);
        m_feed.update(m_newest);
    }

    /// @brief Sends a gateway its missing slices and activates them. @return the number of slices sent
    std::size_t deliverTo(gateway_document& gateway)
    {
        const auto messages = m_feed.messagesFrom(gateway.reportedVersion(), m_newest);
        for (const auto* bytes : messages) {
            const auto decoded = link::decode(*bytes);
            REQUIRE(decoded);
            REQUIRE(gateway.add(std::get<link::document_slice>(*decoded)));
        }
        REQUIRE(gateway.activate());
        return messages.size();
    }

    document_feed& feed() { return m_feed; }
    [[nodiscard]] const versioned_text& newest() const { return m_newest; }

private:
    versioned_text m_newest;
    document_feed m_feed { dialect() };
};

/// A full text, as the previous release sends it.
link::text_update fullText(const versioned_text& text)
{
    return { 0, text.version, compression::makePatch({}, text.text) };
}

} // namespace

TEST_CASE("gateway document: slices reproduce the published document", "[gateway_document]")
{
    fake_registry registry(documentWithRoutes(3, 500));
    gateway_document document(dialect());
    CHECK(registry.deliverTo(document) > 1);
    CHECK(document.version() == 3);
    CHECK(document.index()->routeCount() == 500);
    CHECK(document.index()->find("h", "/r499/x")->name == "r499");
    CHECK(document.index()->findWorkspace("k")->workspace == "w");
    CHECK(document.index()->rest()->needsKeys);
    CHECK(document.index()->rest()->services.at(0).name == "s");

    registry.publish(documentWithRoutes(4, 501));
    registry.publish(documentWithRoutes(8, 499));
    CHECK(registry.deliverTo(document) == 2); // one for each version
    CHECK(document.version() == 8);
    CHECK(document.index()->find("h", "/r499/x") == nullptr);
    CHECK(document.index()->find("h", "/r498/x")->name == "r498");
    CHECK(registry.deliverTo(document) == 0);
}

TEST_CASE("gateway document: a gateway that is many versions behind, or unknown to a restarted registry, gets the full "
          "document",
    "[gateway_document]")
{
    fake_registry registry(documentWithRoutes(1, 10));
    gateway_document document(dialect());
    registry.deliverTo(document);
    SECTION("many versions")
    {
        for (std::uint64_t version = 2; version < 40; ++version)
            registry.publish(documentWithRoutes(version, 10 + static_cast<int>(version)));
        registry.deliverTo(document);
        CHECK(document.version() == 39);
        CHECK(document.index()->routeCount() == 49);
    }
    SECTION("a registry that has just started")
    {
        fake_registry other(documentWithRoutes(2, 12));
        other.deliverTo(document);
        CHECK(document.version() == 2);
        CHECK(document.index()->routeCount() == 12);
    }
}

TEST_CASE("gateway document: incomplete slices are discarded when the link closes", "[gateway_document]")
{
    fake_registry registry(documentWithRoutes(1, 1000));
    gateway_document document(dialect());
    const auto messages = registry.feed().messagesFrom(0, registry.newest());
    REQUIRE(messages.size() > 2);
    const auto sliceAt
        = [&messages](std::size_t index) { return std::get<link::document_slice>(*link::decode(*messages[index])); };
    REQUIRE(document.add(sliceAt(0)));
    REQUIRE(document.add(sliceAt(1)));
    CHECK(*document.activate() == false);
    CHECK(document.index() == nullptr);
    document.discardPartial();
    CHECK_FALSE(document.add(sliceAt(2))); // its first slices were discarded
    registry.deliverTo(document);
    CHECK(document.index()->routeCount() == 1000);
}

TEST_CASE("gateway document: damaged slices are rejected and change nothing", "[gateway_document]")
{
    fake_registry registry(documentWithRoutes(1, 10));
    gateway_document document(dialect());
    registry.deliverTo(document);
    registry.publish(documentWithRoutes(2, 11));
    const auto messages = registry.feed().messagesFrom(1, registry.newest());
    REQUIRE(messages.size() == 1);
    auto slice = std::get<link::document_slice>(*link::decode(*messages.front()));
    SECTION("its bytes")
    {
        slice.patch[slice.patch.size() / 2] ^= 0x55;
        CHECK_FALSE(document.add(slice));
    }
    SECTION("its number")
    {
        slice.number = 1;
        CHECK_FALSE(document.add(slice));
    }
    SECTION("its digest")
    {
        ++slice.digest;
        CHECK(document.add(slice));
        CHECK_FALSE(document.activate());
        CHECK(document.reportedVersion() == 0);
    }
    SECTION("its start")
    {
        slice.from = 7;
        CHECK(document.add(slice));
        CHECK_FALSE(document.activate());
    }
    CHECK(document.version() == 1);
    CHECK(document.index()->routeCount() == 10);
    document.discardPartial();
    registry.deliverTo(document);
    CHECK(document.version() == 2);
}

TEST_CASE("gateway document: an unreadable entry leaves the previous version active", "[gateway_document]")
{
    fake_registry registry(documentWithRoutes(1, 10));
    gateway_document document(dialect());
    registry.deliverTo(document);
    json unreadable = documentOf(2, { routeOf("a", "s") });
    unreadable["routes"][0]["timeout-ms"] = "soon";
    registry.publish({ 2, unreadable.dump() });
    registry.deliverTo(document);
    CHECK(document.version() == 1);
    CHECK(document.index()->routeCount() == 10);
    CHECK(document.reportedVersion() == 0); // the next change would be based on a version that it doesn't have
    registry.publish(documentWithRoutes(3, 11));
    registry.deliverTo(document);
    CHECK(document.version() == 3);
    CHECK(document.reportedVersion() == 3);
    CHECK(document.index()->routeCount() == 11);
}

TEST_CASE("gateway document: rolling upgrades are supported", "[gateway_document]")
{
    fake_registry registry(documentWithRoutes(5, 20));
    gateway_document document(dialect());
    registry.deliverTo(document);
    CHECK(document.textVersion() == 0); // so a controller of the previous release sends the full text
    SECTION("to a controller of the previous release that is ahead, and back")
    {
        const auto ahead = documentWithRoutes(6, 30);
        REQUIRE(document.add(fullText(ahead)));
        CHECK(*document.activate());
        CHECK(document.version() == 6);
        CHECK(document.textVersion() == 6);
        CHECK(document.index()->routeCount() == 30);
        const auto next = documentWithRoutes(7, 31);
        REQUIRE(document.add(link::text_update { 6, 7, compression::makePatch(ahead.text, next.text) }));
        CHECK(*document.activate());
        CHECK(document.index()->routeCount() == 31);
        registry.publish(documentWithRoutes(8, 32));
        registry.deliverTo(document);
        CHECK(document.version() == 8);
        CHECK(document.index()->routeCount() == 32);
        CHECK(document.textVersion() == 0);
    }
    SECTION("a controller that is behind never sets an older version")
    {
        REQUIRE(document.add(fullText(documentWithRoutes(4, 3))));
        CHECK(*document.activate() == false);
        CHECK(document.version() == 5);
        CHECK(document.index()->routeCount() == 20);
    }
    SECTION("a heartbeat reports the version for controllers of both releases")
    {
        link::gateway_heartbeat heartbeat;
        heartbeat.documentVersion = document.textVersion();
        heartbeat.sliceVersion = document.version();
        const auto decoded = link::decode(link::encode(link::message(heartbeat)));
        REQUIRE(decoded);
        CHECK(std::get<link::gateway_heartbeat>(*decoded).documentVersion == 0);
        CHECK(std::get<link::gateway_heartbeat>(*decoded).sliceVersion == 5U);
        heartbeat.sliceVersion.reset();
        CHECK_FALSE(
            std::get<link::gateway_heartbeat>(*link::decode(link::encode(link::message(heartbeat)))).sliceVersion);
    }
}

TEST_CASE("gateway document: the assembled document equals the parsed full text", "[gateway_document]")
{
    rc::prop("any versions", [] {
        const auto names = rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 30));
        fake_registry registry(documentWithRoutes(1, 1));
        gateway_document document(dialect());
        gateway_document other(dialect());
        const auto versions = *rc::gen::inRange<std::uint64_t>(2, 6);
        for (std::uint64_t version = 2; version <= versions; ++version) {
            std::vector<json> routes;
            for (const int name : *names)
                routes.push_back(routeOf("r" + std::to_string(name), "s"));
            auto whole = documentOf(version, routes);
            if (*rc::gen::arbitrary<bool>())
                whole.erase("tenants");
            const std::string text = *rc::gen::arbitrary<bool>() ? whole.dump() : whole.dump(2);
            registry.publish({ version, text });
            if (*rc::gen::arbitrary<bool>())
                registry.deliverTo(other); // this one falls behind at times
            registry.deliverTo(document);
            const auto read = dialect().readDocument(text);
            RC_ASSERT(read.has_value());
            const gateway::route_index expected(*read);
            RC_ASSERT(document.index()->routeCount() == expected.routeCount());
            RC_ASSERT(document.index()->rest()->needsKeys == expected.rest()->needsKeys);
            for (int name = 0; name < 30; ++name) {
                const std::string path = "/r" + std::to_string(name) + "/x";
                RC_ASSERT((document.index()->find("h", path) != nullptr) == (expected.find("h", path) != nullptr));
            }
            RC_ASSERT((document.index()->findWorkspace("k") != nullptr) == (expected.findWorkspace("k") != nullptr));
        }
        registry.deliverTo(other);
        RC_ASSERT(other.index()->routeCount() == document.index()->routeCount());
    });
}
