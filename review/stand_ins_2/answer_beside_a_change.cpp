/// @file
/// @brief The operator lowers the idle timeout of clients. Then clients that are receiving an answer are cut off.
#include "small_system.hpp"

using namespace review;

namespace {

constexpr std::size_t answerBytes = 12'000'000;
/// 14 Mbit/s, the link of a `front` machine in the smallest sheet that the pages give.
constexpr std::size_t clientBytesPerSecond = 1'750'000;
constexpr int windowBytes = 64 * 1024; ///< "small windows"
constexpr int clientCount = 4;
constexpr ms startGap { 100 }; ///< between the clients
constexpr ms sentAfterAck { 200 };
constexpr long configApplyMs = 2000; ///< bound of the site
constexpr int idleBeforeMs = 15000; ///< as in the pages' example
constexpr int idleChangedMs = 1000;

std::string configuration(int version, int idleMs)
{
    std::string document = plainConfiguration("wuno96b", "unsafe", 20000, 10000, 1);
    const auto replace = [&document](const std::string& from, const std::string& to) {
        document.replace(document.find(from), from.size(), to);
    };
    replace("\"version\":7", "\"version\":" + std::to_string(version));
    replace("\"idle-timeout-ms\":15000", "\"idle-timeout-ms\":" + std::to_string(idleMs));
    return document;
}

struct outcome {
    int status = 0;
    bool whole = false;
    long endedAt = 0; ///< by the record's clock
};

/// Each client sends one request on a channel of its own, and reads the answer as fast as its link allows.
std::vector<outcome> sendAll(recorder& record, small_system& system, const std::string& name, std::atomic<int>& serial)
{
    std::vector<outcome> outcomes(clientCount);
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            std::this_thread::sleep_for(startGap * i);
            channel client;
            if (!client.connect(system.frontIp(i % 2), system.frontPort(), ms(1000), windowBytes))
                return;
            char id[32];
            std::snprintf(id, sizeof id, "9c41d07be2a3%04x", static_cast<unsigned>(++serial));
            client.write(
                std::string("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Buckthornrail-Attempt-Id: ") + id
                    + "\r\nX-Buckthornrail-Deadline-Ms: 20000\r\nAuthorization: Bearer "
                      "n2ctnfzs989anu6wsjnb\r\nContent-Length: 5\r\n\r\nhello",
                steady::now() + ms(1000));
            record.line("client %d (%s): sent request %s to front-%d", i, name.c_str(), id, i % 2);
            const auto response = readMessage(client, steady::now() + ms(20000), clientBytesPerSecond);
            outcomes[static_cast<std::size_t>(i)] = { response.status(), response.whole, record.now() };
            record.line("client %d (%s): got status %d with %zu of %zu body bytes; the channel was %s", i, name.c_str(),
                response.status(), response.body.size(), response.bodyLength,
                client.end() == channel_end::Closed      ? "closed"
                    : client.end() == channel_end::Reset ? "reset"
                                                         : "open");
        });
    }
    for (auto& client : clients)
        client.join();
    return outcomes;
}

int cutCount(const std::vector<outcome>& outcomes, long until)
{
    return static_cast<int>(std::count_if(outcomes.begin(), outcomes.end(),
        [until](const auto& each) { return each.status == 200 && !each.whole && each.endedAt <= until; }));
}

} // namespace

int main(int, char** arguments)
{
    const std::string program = arguments[1];
    const bool hasTrouble = std::string(arguments[3]) != "0";
    recorder record(arguments[2]);
    return runCase([&] {
        small_system system(record, program, 2);
        const std::string answer(answerBytes, 'a');
        std::atomic<int> runs { 0 };
        std::vector<std::unique_ptr<server>> servers;
        std::vector<beat> beats;
        for (int i = 0; i < 3; ++i) {
            servers.push_back(std::make_unique<server>(
                system.serverIp(i), system.serverPort(), [&, i](channel& from, const message& request) {
                    if (request.target() == "/report" || request.target() == "/healthz")
                        return from.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", steady::now() + ms(1000));
                    ++runs;
                    const auto id = request.field("x-buckthornrail-attempt-id");
                    record.line("server %d: runs request %s", i, id.c_str());
                    const bool sent = from.write("HTTP/1.1 200 OK\r\nX-Buckthornrail-Attempt-Id: " + id
                            + "\r\nX-Buckthornrail-Server-Stamp: 3e1b.07\r\nContent-Length: "
                            + std::to_string(answer.size()) + "\r\n\r\n" + answer,
                        steady::now() + ms(20000));
                    record.line("server %d: has sent %s its answer of %zu bytes%s", i, id.c_str(), answer.size(),
                        sent ? "" : " in part");
                    return true;
                }));
            beats.push_back({ "i-00" + std::to_string(i), "wuno96b", servers.back()->address(), system.zone(i), 6,
                "ready", unixMs() });
        }
        system.publish(configuration(7, idleBeforeMs));
        std::atomic<bool> ends { false };
        std::thread platform([&] {
            while (!ends) {
                for (const auto& each : beats)
                    system.sendBeat(each);
                std::this_thread::sleep_for(ms(small_system::heartbeatMs));
            }
        });
        system.awaitReady();
        std::this_thread::sleep_for(ms(4500)); // past the stable window

        std::atomic<int> serial { 0 };
        const auto before = sendAll(record, system, "before the change", serial);
        if (hasTrouble) {
            record.line("operator: sends version 9 with idle-timeout-ms %d instead of %d", idleChangedMs, idleBeforeMs);
            system.publish(configuration(9, idleChangedMs));
        }
        const long ackAt = record.now();
        std::this_thread::sleep_for(sentAfterAck);
        const auto beside = sendAll(record, system, hasTrouble ? "beside the change" : "no change", serial);
        if (hasTrouble) {
            record.line("operator: sends version 11 with idle-timeout-ms %d again", idleBeforeMs);
            system.publish(configuration(11, idleBeforeMs));
            std::this_thread::sleep_for(ms(configApplyMs + 1000));
        }
        const auto after = sendAll(record, system, "later", serial);
        ends = true;
        platform.join();
        if (runs != 3 * clientCount)
            throw could_not_run { "not every request has run" };
        const int cutBeside = cutCount(beside, ackAt + configApplyMs + 1000);
        const int cutOtherwise = cutCount(before, record.now()) + cutCount(after, record.now());
        record.line("verdict: cut off: %d of %d until %ld ms after the ack, %d of %d at other times", cutBeside,
            clientCount, configApplyMs + 1000, cutOtherwise, 2 * clientCount);
        return cutBeside > 0 && cutOtherwise == 0 ? brokenCode : heldCode;
    });
}
