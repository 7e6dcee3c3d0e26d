/// @file
/// @brief Numbered log events. Catalogue: docs/EVENTS.md.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace buckthornrail {

/// Numbers are permanent: they are never changed, nor reused after an event is removed.
enum class event_code : std::uint16_t {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    SettingsRejected = 103,
    SettingsReloaded = 104,
    LogLinesDropped = 105,
    ProcessStoodStill = 106,
    LoopHeld = 107,
    RouteChosen = 200,
    RouteRefused = 201,
    AttemptRefused = 202,
    AttemptLost = 203,
    RequestFinished = 204,
    ChainBuilt = 205,
    GenerationFenced = 206,
    ClaimHeld = 207,
    TargetAvoided = 208,
    CallRefused = 209,
    ReportReceived = 210,
    TargetUnreachable = 211,
    CrashBlamed = 212,
    TrialDecided = 213,
    RequestCleared = 214,
    AttemptKept = 215,
    TargetPushback = 216,
    RequestQueued = 217,
    QueueLeft = 218,
    ConnectionsClosedUnread = 219,
    MessageCutOff = 220,
    WorkStarted = 300,
    WorkFinished = 301,
    WorkCancelled = 302,
    OfferRefused = 303,
    TargetStateChanged = 304,
    TargetDraining = 305,
    OrderBegun = 306,
    OrderEnded = 307,
    LeaderElected = 400,
    LeaderLost = 401,
    MemberChanged = 402,
    SnapshotSaved = 403,
    StorageFault = 404,
    StorageRegained = 405,
    CommandForwardedAgain = 406,
    LogOpened = 407,
    SnapshotInstalled = 408,
    QuorumMissing = 409,
    MemberChangeProposed = 410,
    MemberLeft = 411,
    ToleranceLow = 412,
    ToleranceRegained = 413,
    ConfigurationAccepted = 500,
    ConfigurationRejected = 501,
    ConfigurationApplied = 502,
    LeaseExpired = 503,
    InstanceJoined = 600,
    InstanceLost = 601,
    InstanceDraining = 602,
    TargetChanged = 603,
    OperatorCall = 604,
    LayersOrdered = 605,
    LayersSettled = 606,
    SessionOpened = 607,
    SessionLost = 608,
    DocumentSent = 609,
    GatewaysCounted = 610,
    RecordRefused = 611,
    SessionMoved = 612,
    QuarantineChanged = 613,
    QuarantineTermEnded = 614,
    LinkOpened = 700,
    LinkClosed = 701,
    MessageRejected = 702,
};

/// Row of the catalogue.
struct event_info {
    event_code code;
    std::string_view name; ///< as written in log lines
    std::string_view description; ///< what happened, and the fields of the log line
};

/// @brief The whole catalogue, sorted by number.
std::span<const event_info> eventTable();

/// @brief Looks up the row of an event; an unknown code yields the first row.
const event_info& describe(event_code code);

} // namespace buckthornrail
