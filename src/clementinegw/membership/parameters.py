"""The periods, bounds and budgets of membership.

The defaults are chosen for 295 members a failure domain; docs/design/
membership.md derives the detection time from them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Periods in seconds, sizes in bytes, counts a datagram or a period.

    Attributes:
      tick_s: How often `Swim.on_tick` is called.
      ring_probe_s: Between two probes of a ring successor.
      ring_successors: Successors on the ring that are probed in turn.
      random_probe_s: Between two probes of any member.
      direct_timeout_s: After this, helpers are asked to ping the target.
      probe_timeout_s: After this, a probe has failed and is made once more,
        with helpers from the start.
      confirm_timeout_s: After this, the second probe has failed, too.
      helpers: Members asked for an indirect ping.
      suspicion_s: How long a suspect has to refute.
      suspect_ping_s: Between two pings of a suspect by those who found it
        silent.
      suspect_pings: Suspects pinged again in one such period.
      settle_matches: Agreeing answers in a row after which a view is settled
        though no settled peer was met.
      extra_rate: Datagrams a second beyond the regular probes: to helpers,
        strangers and suspects.
      extra_burst: How many of them may go out at once.
      pause_s: A gap between two ticks that counts as a pause of the process.
      fanout: Peers that urgent news is pushed to at once.
      urgent_rate: Pushed datagrams a second, on average.
      urgent_burst: Pushed datagrams that may go out at once.
      urgent_factor: Times log2(members) that urgent news is piggybacked.
      retransmits: Times that other news is piggybacked; a member that misses
        all copies learns it by synchronisation.
      updates_per_datagram: Records piggybacked on one datagram.
      reports_per_datagram: Reports piggybacked on one datagram.
      records_per_sync: Records in one datagram of a synchronisation.
      fingerprints_per_request: Members whose fingerprints one request names.
      datagrams_per_sync: Datagrams that answer one request of it.
      sync_s: Between two synchronisations a member asks for.
      sync_unsettled_s: The same while its view is not settled.
      sync_busy_s: The same while updates keep coming in.
      sync_quiet_s: How long no update may have come in for it to ask soon.
      sync_answers_rate: Datagrams a second that answer synchronisations.
      rejoin_s: Between two probes of a lost member or an unknown seed.
      join_s: The same while no peer is known.
      disputed_per_tick: Members told at once that they are held for dead.
      bridges: Members of a failure domain that talk to the other domains.
      bridge_s: Between two probes of another failure domain by a bridge.
      domain_timeout_s: A failure domain not heard for so long is suspect.
      tombstone_s: How long a dead or departed member is remembered.
      max_lost_addresses: Addresses of dead members kept for rejoin probes.
      leave_s: How long a departing member goes on spreading that it left.
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
    disputed_per_tick: int = 2
    bridges: int = 2
    bridge_s: float = 1.0
    domain_timeout_s: float = 10.0
    tombstone_s: float = 120.0
    max_lost_addresses: int = 512
    leave_s: float = 1.0
