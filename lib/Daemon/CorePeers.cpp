/// Messages between daemons: links, heartbeats, and calls passed on.
#include "Core.h"

#include <algorithm>

namespace heatherchute {

static constexpr std::size_t heartbeatsRemembered = 32;
/// A relayed call's answer may come this long after its deadline.
static constexpr Milliseconds relayGrace { 500 };
/// One part in so many of each team's limit is kept at the daemons, divided among them.
static constexpr std::uint32_t reservePart = 8;
static constexpr std::size_t maxToSelf = 100'000;

void Core::on(PeerOpened& event)
{
    sendOnLink(event.link, m_self);
    m_outgoingLinks[event.link] = event.outgoing;
}

void Core::on(PeerClosed& event)
{
    m_outgoingLinks.erase(event.link);
    m_membership.onClosed(event.link);
}

void Core::on(PeerDialled& event)
{
    m_membership.onDialled(event.address, event.link);
}

void Core::on(PeerReceived& event)
{
    if (const auto* const hello = std::get_if<Hello>(&event.message)) {
        receiveHello(event.link, *hello);
        return;
    }
    const auto* const from = m_membership.atLink(event.link);
    // Links that were replaced may still deliver; what they bring is asked or told again.
    if (!from || isCut(from->hello.daemon))
        return;
    m_membership.onHeard(event.link, Clock::now());
    receive(*from, event.link, std::move(event.message));
}

void Core::receiveHello(LinkId link, const Hello& hello)
{
    if (isCut(hello.daemon))
        return;
    if (hello.protocol != protocolVersion)
        logEvent(LogLevel::Warning, "peer_protocol_differs", { { "daemon", hello.daemon }, { "protocol", hello.protocol } });
    const bool outgoing = m_outgoingLinks.contains(link) && m_outgoingLinks[link];
    const auto unwanted = m_membership.onHello(link, outgoing, hello, Clock::now());
    if (unwanted != 0) {
        PeerOrder drop = DropPeer { unwanted };
        m_ports.toPeers(drop);
    }
    if (unwanted == link)
        return;
    auto& boot = m_lastBoot[hello.daemon];
    if (!boot.empty() && boot != hello.boot)
        failRelaysOf(hello.daemon, boot);
    boot = hello.boot;
    sendOnLink(link, m_membership.knownAddresses());
    resendRelays(hello.daemon);
}

void Core::receive(const Member& from, LinkId link, PeerMessage&& message)
{
    std::visit(Overloaded {
                   [&](Heartbeat& heartbeat) { receiveHeartbeat(from, link, heartbeat); },
                   [&](Members& members) { m_membership.learnAddresses(members); },
                   [&](FleetUpdate& update) {
                       if (update.document.version > m_fleet->document.version)
                           adoptFleet(std::move(update.document), m_confirmedAt);
                   },
                   [&](CallAsk& ask) { receiveCall(from, std::move(ask)); },
                   [&](CallReply& reply) { receiveReply(from, std::move(reply)); },
                   [&](auto& other) { receiveOwnerMessage(from.hello.daemon, std::move(other)); },
               },
        message);
}

void Core::receiveHeartbeat(const Member& from, LinkId link, const Heartbeat& heartbeat)
{
    const auto now = Clock::now();
    const auto name = from.hello.daemon;
    m_membership.onHeartbeat(link, heartbeat, now);
    if (heartbeat.fleetVersion < m_fleet->document.version)
        send(name, FleetUpdate { m_fleet->document });
    // The sender spoke after it had our heartbeat `echo`, so what it knew then was confirmed at
    // most its stated age before we sent that heartbeat. No clocks are compared.
    const auto sentAt = m_heartbeatSentAt.find(heartbeat.echo);
    if (heartbeat.fleetVersion <= m_fleet->document.version && sentAt != m_heartbeatSentAt.end()) {
        const auto confirmed = sentAt->second - Milliseconds(heartbeat.confirmedAgeMs);
        if (heartbeat.confirmedAgeMs != unconfirmedAge && confirmed > m_confirmedAt) {
            m_confirmedAt = confirmed;
            m_everConfirmed = m_everConfirmed || m_fleet->document.version > 0;
        }
    }
    const bool sameDomain = from.hello.failureDomain == m_settings.failureDomain;
    if (heartbeat.leaving)
        m_requests.removePeer(name);
    else
        m_requests.setPeer({ name, sameDomain, heartbeat.services });
    RoutingActions actions;
    for (const auto& room : heartbeat.services)
        m_requests.pump(room.service, now, actions);
    run(std::move(actions));
}

void Core::sendHeartbeats(TimePoint now, bool toAll)
{
    const auto sequence = ++m_heartbeatSequence;
    m_heartbeatSentAt[sequence] = now;
    while (m_heartbeatSentAt.size() > heartbeatsRemembered)
        m_heartbeatSentAt.erase(m_heartbeatSentAt.begin());
    Heartbeat heartbeat;
    heartbeat.sequence = sequence;
    heartbeat.fleetVersion = m_fleet->document.version;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - m_confirmedAt).count();
    heartbeat.confirmedAgeMs = m_everConfirmed ? static_cast<std::uint64_t>(age) : unconfirmedAge;
    heartbeat.hearsStore = hearsStore(now);
    heartbeat.leaving = m_stopping;
    heartbeat.homes = m_jobs.homes();
    m_homesAnnounced = heartbeat.homes.size();
    heartbeat.services = m_vms.serviceRoom(now);
    for (auto& room : heartbeat.services)
        room.waiting = m_requests.waiting(room.service);
    heartbeat.free = m_vms.totalFree(now);
    heartbeat.largestFree = m_vms.largestFree(now);
    for (const auto& [name, member] : m_membership.members()) {
        if (member.link == 0 || isCut(name) || !(toAll || m_membership.isHeartbeatDue(member)))
            continue;
        heartbeat.echo = member.lastSequence;
        sendOnLink(member.link, heartbeat);
    }
}

void Core::sendOnLink(LinkId link, PeerMessage message)
{
    PeerOrder order = SendPeer { link, std::move(message) };
    if (!m_ports.toPeers(order))
        m_metrics.count("peer_messages_dropped", "ring_full");
}

void Core::send(const std::string& daemon, PeerMessage message)
{
    if (daemon == m_settings.name) {
        if (m_toSelf.size() < maxToSelf)
            m_toSelf.push_back(std::move(message));
        return;
    }
    const auto* const member = m_membership.find(daemon);
    if (member && member->link != 0 && !isCut(daemon))
        sendOnLink(member->link, std::move(message));
}

void Core::sendToDomain(const PeerMessage& message)
{
    send(m_settings.name, message);
    for (const auto& [name, member] : m_membership.members()) {
        if (member.hello.failureDomain == m_settings.failureDomain)
            send(name, message);
    }
}

void Core::deliverToSelf()
{
    if (m_deliveringToSelf)
        return;
    m_deliveringToSelf = true;
    while (!m_toSelf.empty()) {
        auto message = std::move(m_toSelf.front());
        m_toSelf.pop_front();
        receiveOwnerMessage(m_settings.name, std::move(message));
    }
    m_deliveringToSelf = false;
}

void Core::receiveOwnerMessage(const std::string& from, PeerMessage&& message)
{
    const auto now = Clock::now();
    OwnershipActions vmActions;
    JobActions jobActions;
    std::visit(Overloaded {
                   [&](ReserveAsk& ask) { send(from, m_vms.reserve(ask, now)); },
                   [&](ReserveReply& reply) { m_jobs.onReserveReply(from, reply, now, jobActions); },
                   [&](CommitAsk& ask) { m_vms.commit(ask, now, vmActions); },
                   [&](TaskReports& reports) {
                       auto acks = m_jobs.onReports(from, reports, now, jobActions);
                       if (!acks.tasks.empty())
                           send(from, std::move(acks));
                   },
                   [&](TaskAcks& acks) { m_vms.acknowledge(acks); },
                   [&](TaskQuery& query) {
                       auto reports = m_vms.query(query, now);
                       if (!reports.reports.empty())
                           send(from, std::move(reports));
                   },
                   [&](StopTasks& stop) { m_vms.stop(stop, vmActions); },
                   [&](HomeClaim& claim) {
                       m_homeDaemons[claim.shard] = from;
                       send(from, m_vms.claim(claim));
                   },
                   [&](HomeClaimReply& reply) { m_jobs.onClaimReply(from, reply, now, jobActions); },
                   [&](VmOwned& notice) {
                       if (from != m_settings.name)
                           m_vms.onOwnedElsewhere(notice);
                       m_jobs.onVmOwned(from, notice, now, jobActions);
                   },
                   [&](VmLost& notice) {
                       if (from != m_settings.name)
                           m_vms.onLostElsewhere(notice);
                       m_jobs.onVmLost(notice, now, jobActions);
                   },
                   [](auto&) {},
               },
        message);
    run(std::move(vmActions));
    run(std::move(jobActions));
}

void Core::refreshMembers()
{
    m_othersHomes.clear();
    m_homeDaemons.clear();
    std::vector<OwnerRoom> room;
    bool someoneSilent = false;
    const auto now = Clock::now();
    if (!m_stopping)
        room.push_back({ m_settings.name, m_vms.totalFree(now), m_vms.largestFree(now) });
    for (const auto& [name, member] : m_membership.members()) {
        const bool isSilent = member.state == MemberState::Dead || member.state == MemberState::Suspect;
        someoneSilent = someoneSilent || (isSilent && member.hello.failureDomain == m_settings.failureDomain);
        if (member.state == MemberState::Dead) {
            m_requests.removePeer(name);
            continue;
        }
        for (const auto& home : member.lastHeartbeat.homes) {
            auto& known = m_othersHomes[home.shard];
            if (known.epoch > home.epoch)
                continue;
            known = home;
            m_homeDaemons[home.shard] = name;
        }
        if (member.state == MemberState::Alive && member.hello.failureDomain == m_settings.failureDomain)
            room.push_back({ name, member.lastHeartbeat.free, member.lastHeartbeat.largestFree });
    }
    for (const auto& home : m_jobs.homes()) {
        const auto other = m_othersHomes.find(home.shard);
        if (other == m_othersHomes.end() || other->second.epoch < home.epoch)
            m_homeDaemons[home.shard] = m_settings.name;
    }
    const auto daemons = static_cast<std::uint32_t>(1 + m_membership.members().size());
    if (!m_stopping)
        m_limits.setReserve(holderName(), reservePart * daemons);
    const auto peers = m_membership.domainPeers();
    m_vms.setOwners(peers);
    m_jobs.setSomeoneSilent(someoneSilent);
    m_jobs.setPeers(peers, m_othersHomes, now);
    m_jobs.setRoom(std::move(room));
}

bool Core::relay(std::uint64_t call, RelayKind kind, const std::string& daemon, CallTarget target, const std::string& name, const std::string& team, const HttpRequest& request, TimePoint deadline)
{
    const auto* const member = m_membership.find(daemon);
    const auto now = Clock::now();
    if (!member || member->link == 0 || isCut(daemon) || now >= deadline)
        return false;
    Relay relay;
    relay.kind = kind;
    relay.daemon = daemon;
    relay.boot = member->hello.boot;
    relay.deadline = deadline;
    relay.ask.call = call;
    relay.ask.target = static_cast<std::uint8_t>(target);
    relay.ask.name = name;
    relay.ask.team = team;
    relay.ask.remainingMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(deadline - now).count());
    packRequest(request, relay.ask);
    sendOnLink(member->link, relay.ask);
    m_relays[call] = std::move(relay);
    return true;
}

void Core::resendRelays(const std::string& daemon)
{
    const auto* const member = m_membership.find(daemon);
    if (!member || member->link == 0)
        return;
    for (const auto& [call, relay] : m_relays) {
        // The other side knows the call by its id: it joins it, or answers again.
        if (relay.daemon == daemon && relay.boot == member->hello.boot)
            sendOnLink(member->link, relay.ask);
    }
}

void Core::failRelaysOf(const std::string& daemon, const std::string& boot)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [call, relay] : m_relays) {
        if (relay.daemon == daemon && relay.boot == boot)
            lost.push_back(call);
    }
    for (const auto call : lost)
        endRelay(call, ErrorKind::OutcomeUnknown);
}

void Core::expireRelays(TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (const auto& [call, relay] : m_relays) {
        if (now >= relay.deadline + relayGrace)
            late.push_back(call);
    }
    for (const auto call : late)
        endRelay(call, ErrorKind::OutcomeUnknown);
}

void Core::receiveCall(const Member& from, CallAsk&& ask)
{
    const auto now = Clock::now();
    const PeerCallName name { from.hello.daemon, from.hello.boot, ask.call };
    const auto [entry, isNew] = m_peerCalls.try_emplace(name, PeerCall { std::nullopt, now });
    if (!isNew) {
        if (entry->second.reply)
            send(name.daemon, *entry->second.reply);
        return;
    }
    const auto deadline = now + Milliseconds(std::min<std::uint64_t>(ask.remainingMs, 120'000));
    const auto call = openCall(PeerOrigin { name.daemon, name.boot, name.call }, ask.team, deadline);
    const auto target = static_cast<CallTarget>(ask.target);
    const auto place = ask.name;
    const auto team = ask.team;
    auto request = std::make_shared<HttpRequest>(unpackRequest(std::move(ask)));
    if (target == CallTarget::Home) {
        serveAtHome(call, place, team, *request);
        return;
    }
    const auto* const service = m_fleet->configuration.findService(place);
    if (!service) {
        fail(call, ErrorKind::NotFound);
        return;
    }
    startService(call, *service, team, request, target, deadline);
}

void Core::receiveReply(const Member& from, CallReply&& reply)
{
    const auto found = m_relays.find(reply.call);
    if (found == m_relays.end() || found->second.daemon != from.hello.daemon)
        return;
    const auto call = reply.call;
    if (reply.error.empty())
        endRelay(call, unpackResponse(std::move(reply)));
    else
        endRelay(call, errorKindFromName(reply.error));
}

void Core::endRelay(std::uint64_t call, Result<HttpResponse>&& result)
{
    const auto found = m_relays.find(call);
    if (found == m_relays.end())
        return;
    const auto relay = std::move(found->second);
    m_relays.erase(found);
    if (relay.kind == RelayKind::Service) {
        RoutingActions actions;
        m_requests.onRelayed(call, relay.daemon, std::move(result), Clock::now(), actions);
        run(std::move(actions));
        return;
    }
    if (relay.kind == RelayKind::Gather) {
        onGathered(call, relay.daemon, result);
        return;
    }
    if (result) {
        answer(call, std::move(result.value()));
        return;
    }
    const auto kind = errorKind(result.error());
    // The home has moved and did nothing: the new one is asked.
    if (kind != ErrorKind::HomeUnreachable) {
        fail(call, kind);
        return;
    }
    auto ask = relay.ask;
    const auto shard = ask.name;
    const auto team = ask.team;
    park(call, shard, team, unpackRequest(std::move(ask)));
}

} // namespace heatherchute
