/// @file
/// @brief A gateway gets SIGTERM while a client still receives the answer that its server has given.
#include "small_system.hpp"

using namespace review;

namespace {

constexpr std::size_t answerBytes = 12'000'000;
/// 14 Mbit/s, the link of a `front` machine in the smallest sheet that the pages give.
constexpr std::size_t clientBytesPerSecond = 1'750'000;
constexpr int windowBytes = 64 * 1024; ///< "small windows"
constexpr ms termAfter { 500 }; ///< from the sending of the request

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
        system.publish(plainConfiguration("wuno96b", "unsafe", 20000, 10000, 1));
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

        channel client;
        message response;
        std::atomic<long> sentAt { 0 };
        std::thread caller([&] {
            if (!client.connect(system.frontIp(0), system.frontPort(), ms(1000), windowBytes))
                return;
            client.write("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Buckthornrail-Attempt-Id: "
                         "9c41d07be2a35f68\r\nX-Buckthornrail-Deadline-Ms: 20000\r\nAuthorization: Bearer "
                         "n2ctnfzs989anu6wsjnb\r\nContent-Length: 5\r\n\r\nhello",
                steady::now() + ms(1000));
            sentAt = record.now();
            record.line(
                "client: sent request 9c41d07be2a35f68 to front-0, reads %zu bytes a second", clientBytesPerSecond);
            response = readMessage(client, steady::now() + ms(20000), clientBytesPerSecond);
            record.line("client: got status %d with %zu of %zu body bytes; the channel was %s", response.status(),
                response.body.size(), response.bodyLength,
                client.end() == channel_end::Closed      ? "closed"
                    : client.end() == channel_end::Reset ? "reset"
                                                         : "open");
        });
        std::this_thread::sleep_for(termAfter);
        long termAt = 0;
        if (hasTrouble) {
            termAt = record.now();
            record.line("platform: SIGTERM to front-0 (grace-s 8)");
            system.front(0).signal(SIGTERM);
            const bool hasExited = system.front(0).waitFor(ms(8000));
            record.line("platform: front-0 %s %ld ms after SIGTERM", hasExited ? "has exited" : "still runs",
                record.now() - termAt);
            if (!hasExited)
                system.front(0).signal(SIGKILL);
        }
        caller.join();
        const long endedAt = record.now();
        ends = true;
        platform.join();
        if (runs == 0 || response.status() == 0)
            throw could_not_run { "the request got no answer at all" };
        const bool isCut = response.status() == 200 && !response.whole;
        const bool isInGrace = !hasTrouble || endedAt - termAt < 8000;
        record.line("verdict: the answer is %s, %ld ms after SIGTERM", isCut ? "cut off" : "whole",
            hasTrouble ? endedAt - termAt : 0);
        return isCut && isInGrace ? brokenCode : heldCode;
    });
}
