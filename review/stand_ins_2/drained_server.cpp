/// @file
/// @brief A server that has said that it drains is cut off from the registries while it finishes its work.
#include "small_system.hpp"

#include <condition_variable>

using namespace review;

namespace {

constexpr int slots = 6;
constexpr int queuePlaces = 24;
constexpr ms work { 300 };
constexpr int requestsPerSecond = 45; ///< three servers do 60, two do 40
constexpr long drainMs = 2000;
constexpr ms cutAfterAck { 200 };
constexpr ms cutFor { 5000 };
constexpr ms servesOn { 8000 }; ///< after the ack

/// The places of a server: some work, a few more wait, and others are turned away.
struct places {
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
};

} // namespace

int main(int, char** arguments)
{
    const std::string program = arguments[1];
    const bool hasTrouble = std::string(arguments[3]) != "0";
    recorder record(arguments[2]);
    return runCase([&] {
        small_system system(record, program, 2);
        std::atomic<bool> isCut { false };
        std::atomic<long> ackedAt { -1 };
        std::mutex sentMutex;
        std::map<std::string, long> sentAt; // by request
        std::atomic<int> broken { 0 };
        std::vector<std::unique_ptr<places>> room;
        std::vector<std::unique_ptr<server>> servers;
        std::vector<beat> beats;
        for (int i = 0; i < 3; ++i) {
            room.push_back(std::make_unique<places>());
            servers.push_back(std::make_unique<server>(
                system.serverIp(i), system.serverPort(), [&, i](channel& from, const message& request) {
                    const auto soon = steady::now() + ms(1000);
                    if (request.target() == "/report" || request.target() == "/healthz") {
                        // Only registries ask a server of a plain service for its report.
                        while (i == 0 && isCut)
                            std::this_thread::sleep_for(ms(10));
                        return from.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                          "2\r\n\r\n{}",
                            soon);
                    }
                    const auto id = request.field("x-buckthornrail-attempt-id");
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
                    auto& here = *room[static_cast<std::size_t>(i)];
                    std::unique_lock lock(here.mutex);
                    if (here.running >= slots && here.waiting >= queuePlaces) {
                        lock.unlock();
                        return from.write("HTTP/1.1 503 Full\r\nX-Buckthornrail-Attempt-Id: " + id
                                + "\r\nX-Buckthornrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                            soon);
                    }
                    ++here.waiting;
                    here.freed.wait(lock, [&here] { return here.running < slots; });
                    --here.waiting;
                    ++here.running;
                    lock.unlock();
                    std::this_thread::sleep_for(work);
                    lock.lock();
                    --here.running;
                    here.freed.notify_one();
                    lock.unlock();
                    return from.write("HTTP/1.1 200 OK\r\nX-Buckthornrail-Attempt-Id: " + id
                            + "\r\nX-Buckthornrail-Server-Stamp: 3e1b.07\r\nContent-Length: 4\r\n\r\ndone",
                        soon);
                }));
            beats.push_back({ "i-00" + std::to_string(i), "wuno96b", servers.back()->address(), system.zone(i), slots,
                "ready", unixMs() });
        }
        system.publish(plainConfiguration("wuno96b", "unsafe", 4000, 3000, 1));
        std::atomic<bool> ends { false };
        std::mutex beatMutex;
        std::vector<std::thread> platform;
        for (int i = 0; i < 3; ++i) {
            platform.emplace_back([&, i] {
                while (!ends) {
                    if (i != 0 || !isCut) {
                        beat said;
                        {
                            const std::lock_guard lock(beatMutex);
                            said = beats[static_cast<std::size_t>(i)];
                        }
                        system.sendBeat(said);
                    }
                    for (int slept = 0; slept < small_system::heartbeatMs && !ends; slept += 20)
                        std::this_thread::sleep_for(ms(20));
                }
            });
        }
        system.awaitReady();
        std::this_thread::sleep_for(ms(4500)); // past the stable window

        std::atomic<int> sent { 0 };
        std::map<int, int> statuses;
        std::mutex statusMutex;
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
                    int status = 0;
                    if (to.connect(system.frontIp(number % 2), system.frontPort(), ms(1000))) {
                        to.write("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Buckthornrail-Attempt-Id: "
                                + std::string(id)
                                + "\r\nX-Buckthornrail-Deadline-Ms: 4000\r\nAuthorization: Bearer "
                                  "n2ctnfzs989anu6wsjnb\r\nContent-Length: 5\r\n\r\nhello",
                            steady::now() + ms(1000));
                        status = readMessage(to, steady::now() + ms(5000)).status();
                    }
                    const std::lock_guard lock(statusMutex);
                    ++statuses[status];
                });
                std::this_thread::sleep_until(start + ms(1000L * (number + 1) / requestsPerSecond));
            }
        });
        std::this_thread::sleep_for(ms(3000));
        {
            const std::lock_guard lock(beatMutex);
            beats[0].state = "draining";
        }
        record.line("server 0: says that it is draining");
        while (!system.sendBeat(beats[0]))
            std::this_thread::sleep_for(ms(50));
        ackedAt = record.now();
        record.line("platform: a registry has acknowledged that server 0 is draining");
        std::this_thread::sleep_for(cutAfterAck);
        if (hasTrouble) {
            isCut = true;
            record.line("network: server 0 is cut off from the registries, not from the gateways");
        }
        std::this_thread::sleep_for(cutFor);
        if (isCut.exchange(false))
            record.line("network: the cut has healed");
        std::this_thread::sleep_for(servesOn - cutFor - cutAfterAck);
        ends = true;
        traffic.join();
        for (auto& each : clients)
            each.join();
        for (auto& each : platform)
            each.join();
        for (const auto& [status, count] : statuses)
            record.line("clients: %d requests got status %d", count, status);
        if (statuses[200] < sent / 2)
            throw could_not_run { "fewer than half of the requests were served" };
        record.line("verdict: %d requests reached the draining server too late", broken.load());
        return broken > 0 ? brokenCode : heldCode;
    });
}
