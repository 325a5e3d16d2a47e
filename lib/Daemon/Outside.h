/// The duty that talks to the platform and the endpoints: one fiber for each order.
#pragma once

#include "Events.h"
#include "heatherchute/Platform.h"

namespace heatherchute {

class Outside {
public:
    Outside(const DaemonSettings& settings, std::function<bool(CoreEvent&)> toCore);
    Outside(const Outside&) = delete;
    Outside& operator=(const Outside&) = delete;

    /// False when the ring is full; the order is then as it was.
    bool order(OutsideOrder& order) { return m_inbox.push(order); }

private:
    void handle(OutsideOrder&& order);
    /// Waits until the core has room: results are never lost.
    void report(CoreEvent event);

    void run(const ReadJournal& order);
    void run(const AppendJournal& order);
    void run(const TrimJournal& order);
    void run(const AllotmentChange& order);
    void run(const PollFleet& order);
    void run(const FetchFleet& order);
    void run(const WriteFleet& order);
    void run(const ReadHistory& order);
    void run(const FetchVmList& order);
    void run(const ReclaimAllotments& order);
    void run(const ListHolders& order);
    void run(const CutPlatform& order);
    void run(const LeaseCall& order);
    void run(const StartCall& order);
    void run(const OrderCall& order);
    void run(const DispatchCall& order);

    Result<void> reachStore() const;
    /// Reads, changes and writes a team's limit until the write is known to have taken effect or not.
    Result<LimitRecord> changeLimit(const std::string& team, const std::function<void(LimitRecord&)>& change, const std::function<bool(const LimitRecord&)>& isDone);
    Result<void> lowerLimits(const WriteFleet& order, std::string& detail);
    Result<FleetDocument> readFleet();
    FleetWritten writeFleet(const WriteFleet& order);

    Duty m_duty;
    HttpClient m_client;
    EtcdStore m_store;
    HttpVmList m_vmList;
    HttpEndpoint m_endpoint;
    std::function<bool(CoreEvent&)> m_toCore;
    bool m_isCut = false;
    Mailbox<OutsideOrder> m_inbox;
};

} // namespace heatherchute
