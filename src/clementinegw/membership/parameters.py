"""The periods, limits and rates of membership.

The defaults suit 295 members in each failure domain. docs/design/membership.md
derives the detection time from them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Periods and timeouts in seconds, counts, and rates per second.

    Attributes:
      tick_s: How often `Swim.on_tick` is called.
      ring_probe_s: The period of the probes of ring successors.
      ring_successors: The number of ring successors probed in turn.
      random_probe_s: The period of the probes of random members.
      direct_timeout_s: The time after which helpers are asked to ping the
        target.
      probe_timeout_s: The time after which a probe has failed; a second probe
        follows, with indirect pings from the start.
      confirm_timeout_s: The time after which the second probe has failed.
      helpers: The number of members asked for an indirect ping.
      suspicion_s: How long a suspect has to refute.
      suspect_ping_s: The period at which a member pings those suspects whose
        probes by it failed.
      suspect_pings: The maximum number of suspects pinged in one such period.
      settle_matches: The number of matching digests in a row after which a
        view is settled without a settled peer.
      extra_rate: The rate of datagrams beyond the regular probes: to helpers,
        unverified addresses and suspects.
      extra_burst: The maximum burst of these datagrams.
      pause_s: The gap between two ticks that counts as a pause of the process.
      fanout: The number of peers that urgent updates are pushed to.
      urgent_rate: The rate of pushed datagrams.
      urgent_burst: The maximum burst of pushed datagrams.
      urgent_factor: How often an urgent update is piggybacked, as a multiple
        of log2(members).
      retransmits: How often any other update is piggybacked. A member that
        misses all copies receives it by synchronisation.
      updates_per_datagram: The maximum number of records piggybacked on one
        datagram.
      reports_per_datagram: The maximum number of reports piggybacked on one
        datagram.
      records_per_sync: The maximum number of records in one datagram of a
        synchronisation.
      fingerprints_per_request: The approximate maximum number of fingerprints
        in one synchronisation request.
      datagrams_per_sync: The maximum number of datagrams that answer one
        synchronisation request.
      sync_s: The minimum time between two synchronisation requests of a member
        for one failure domain.
      sync_unsettled_s: The same while its view is not settled.
      sync_busy_s: The same while it keeps receiving updates.
      sync_quiet_s: How long no update may have been applied for `sync_s` to be
        used instead of `sync_busy_s`.
      sync_answers_rate: The rate of datagrams that answer synchronisation
        requests.
      rejoin_s: The period of the probes of lost members and unknown seeds.
      join_s: The period of the probes of seeds while no peer is known.
      join_untried_s: The same for seeds that have not been probed since then.
      disputed_per_tick: The maximum number of members pinged in one tick that
        are dead in this process's view and alive in a peer's.
      bridges: The number of members of a failure domain that probe the others.
      bridge_s: The period of a bridge's probes of other failure domains.
      domain_timeout_s: The time without a summary after which the members of
        another failure domain are suspect.
      tombstone_s: How long a member that died or left is remembered.
      max_lost_addresses: The maximum number of addresses of dead members kept
        for rejoin probes.
      leave_s: How long a leaving member keeps spreading that it has left.
    """

    tick_s: float = 0.1
    ring_probe_s: float = 0.5
    ring_successors: int = 2
    random_probe_s: float = 1.0
    direct_timeout_s: float = 0.4
    probe_timeout_s: float = 0.9
    confirm_timeout_s: float = 0.6
    helpers: int = 3
    suspicion_s: float = 1.6
    suspect_ping_s: float = 0.4
    suspect_pings: int = 4
    settle_matches: int = 3
    extra_rate: float = 20.0
    extra_burst: float = 60.0
    pause_s: float = 1.5
    fanout: int = 3
    urgent_rate: float = 6.0
    urgent_burst: float = 30.0
    urgent_factor: float = 1.5
    retransmits: int = 3
    updates_per_datagram: int = 6
    reports_per_datagram: int = 4
    records_per_sync: int = 12
    fingerprints_per_request: int = 300
    datagrams_per_sync: int = 4
    sync_s: float = 1.0
    sync_unsettled_s: float = 0.3
    sync_busy_s: float = 4.0
    sync_quiet_s: float = 1.0
    sync_answers_rate: float = 8.0
    rejoin_s: float = 5.0
    join_s: float = 1.0
    join_untried_s: float = 0.2
    disputed_per_tick: int = 2
    bridges: int = 2
    bridge_s: float = 1.0
    domain_timeout_s: float = 10.0
    tombstone_s: float = 120.0
    max_lost_addresses: int = 512
    leave_s: float = 1.0
