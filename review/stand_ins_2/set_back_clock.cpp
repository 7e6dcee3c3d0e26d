/// @file
/// @brief A server starts while its clock is ahead, crashes, is back under its id with a clock that is right again, and
/// says that it drains.
#include "small_system.hpp"

using namespace review;

namespace {

constexpr ms work { 30 };
constexpr int requestsPerSecond = 15;
constexpr long drainMs = 2000;
constexpr long clockStep = 2400; ///< in ms, ahead and back
constexpr ms runsFor { 300 }; ///< from the first start to the crash
constexpr ms downFor { 60 };
constexpr ms servesOn { 6000 }; ///< after the ack

} // namespace

int main(int, char** arguments)
{
    const std::string program = arguments[1];
    const std::string trouble = arguments[3];
    const bool hasClockStep = trouble != "0" && trouble != "crash";
    const bool hasCrash = trouble != "0" && trouble != "clock";
    recorder record(arguments[2]);
    return runCase([&] {
        small_system system(record, program, 2);
        std::atomic<long> ackedAt { -1 };
        std::mutex sentMutex;
        std::map<std::string, long> sentAt; // by request
        std::atomic<int> broken { 0 };
        std::atomic<int> served { 0 };
        std::vector<std::unique_ptr<server>> servers;
        std::vector<beat> beats(3);
        std::mutex beatMutex;
        const auto beatOf = [&](int i) {
            const std::lock_guard lock(beatMutex);
            return beats[static_cast<std::size_t>(i)];
        };
        for (int i = 0; i < 3; ++i) {
            servers.push_back(std::make_unique<server>(
                system.serverIp(i), system.serverPort(), [&, i](channel& from, const message& request) {
                    const auto soon = steady::now() + ms(1000);
                    const auto self = beatOf(i);
                    const auto id = request.field("x-buckthornrail-attempt-id");
                    const auto expected = request.field("x-buckthornrail-expect-instance");
                    if (!expected.empty() && expected != self.id)
                        return from.write("HTTP/1.1 421 Other\r\nX-Buckthornrail-Attempt-Id: " + id
                                + "\r\nX-Buckthornrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                            soon);
                    if (request.target() == "/report" || request.target() == "/healthz") {
                        const std::string body = "{\"busy\":false,\"seq\":0,\"born\":" + std::to_string(self.born)
                            + ",\"state\":\"" + self.state + "\"}";
                        return from.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + std::to_string(body.size()) + "\r\n\r\n" + body,
                            soon);
                    }
                    if (i == 0 && ackedAt >= 0) {
                        long sent = 0;
                        {
                            const std::lock_guard lock(sentMutex);
                            sent = sentAt[id];
                        }
                        const long afterAck = record.now() - ackedAt;
                        const bool isLate = afterAck > drainMs && sent - ackedAt > drainMs;
                        broken += isLate ? 1 : 0;
                        record.line("server 0 (draining): gets request %s %ld ms after the ack, sent by its client %ld "
                                    "ms after it%s",
                            id.c_str(), afterAck, sent - ackedAt, isLate ? " - too late" : "");
                    }
                    std::this_thread::sleep_for(work);
                    return from.write("HTTP/1.1 200 OK\r\nX-Buckthornrail-Attempt-Id: " + id
                            + "\r\nX-Buckthornrail-Server-Stamp: 3e1b.07\r\nContent-Length: 4\r\n\r\ndone",
                        soon);
                }));
            beats[static_cast<std::size_t>(i)] = { "i-00" + std::to_string(i), "wuno96b", servers.back()->address(),
                system.zone(i), 6, "ready", unixMs() };
        }
        servers[0]->stop(); // it starts later
        system.publish(plainConfiguration("wuno96b", "unsafe", 4000, 3000, 1));
        std::atomic<bool> ends { false };
        std::atomic<bool> isFirstUp { false };
        std::vector<std::thread> platform;
        for (int i = 0; i < 3; ++i) {
            platform.emplace_back([&, i] {
                while (!ends) {
                    if (i != 0 || isFirstUp)
                        system.sendBeat(beatOf(i));
                    for (int slept = 0; slept < small_system::heartbeatMs && !ends; slept += 20)
                        std::this_thread::sleep_for(ms(20));
                }
            });
        }
        system.awaitReady();
        std::this_thread::sleep_for(ms(4500)); // past the stable window

        std::atomic<int> sent { 0 };
        std::vector<std::thread> clients;
        std::thread traffic([&] {
            const auto start = steady::now();
            while (!ends) {
                const int number = sent++;
                clients.emplace_back([&, number] {
                    char id[32];
                    std::snprintf(id, sizeof id, "9c41d07be2a3%04x", number);
                    {
                        const std::lock_guard lock(sentMutex);
                        sentAt[id] = record.now();
                    }
                    channel to;
                    if (!to.connect(system.frontIp(number % 2), system.frontPort(), ms(1000)))
                        return;
                    to.write("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Buckthornrail-Attempt-Id: "
                            + std::string(id)
                            + "\r\nX-Buckthornrail-Deadline-Ms: 4000\r\nAuthorization: Bearer "
                              "n2ctnfzs989anu6wsjnb\r\nContent-Length: 5\r\n\r\nhello",
                        steady::now() + ms(1000));
                    served += readMessage(to, steady::now() + ms(5000)).status() == 200 ? 1 : 0;
                });
                std::this_thread::sleep_until(start + ms(1000L * (number + 1) / requestsPerSecond));
            }
        });
        std::this_thread::sleep_for(ms(2000));
        const auto setBeat = [&](long born, const std::string& state) {
            const std::lock_guard lock(beatMutex);
            beats[0].born = born;
            beats[0].state = state;
        };
        setBeat(unixMs() + (hasClockStep ? clockStep : 0), "ready");
        servers[0]->start();
        record.line("server 0: starts, born %ld%s", beatOf(0).born, hasClockStep ? " (its clock is ahead)" : "");
        while (!system.sendBeat(beatOf(0)))
            std::this_thread::sleep_for(ms(50));
        std::this_thread::sleep_for(runsFor);
        if (hasCrash) {
            servers[0]->stop();
            record.line("server 0: crashes");
            std::this_thread::sleep_for(downFor);
            setBeat(unixMs(), "draining");
            servers[0]->start();
            record.line("server 0: is back under its id, born %ld (its clock is right)", beatOf(0).born);
        }
        setBeat(beatOf(0).born, "draining");
        record.line("server 0: says that it is draining");
        while (!system.sendBeat(beatOf(0)))
            std::this_thread::sleep_for(ms(50));
        ackedAt = record.now();
        record.line("platform: a registry has acknowledged that server 0 is draining");
        isFirstUp = true;
        std::this_thread::sleep_for(servesOn);
        ends = true;
        traffic.join();
        for (auto& each : clients)
            each.join();
        for (auto& each : platform)
            each.join();
        if (served < sent / 2)
            throw could_not_run { "fewer than half of the requests were served" };
        record.line("verdict: %d requests reached the draining server too late; %d of %d were served", broken.load(),
            served.load(), sent.load());
        return broken > 0 ? brokenCode : heldCode;
    });
}
