"""Decisions of one agent in the exchange of a version's chunks.

A state machine without I/O that maps events and the current time to actions.
`weights.transfer` executes the actions; docs/design/swarm.md compares the
alternatives.
"""

from clementinegw.weights import _swarm_machine
from clementinegw.weights import _swarm_types as types_

Swarm = _swarm_machine.Swarm

ORIGIN = types_.ORIGIN
Limits = types_.Limits
RefuseReason = types_.RefuseReason
ExclusionReason = types_.ExclusionReason
CancelReason = types_.CancelReason

TargetSet = types_.TargetSet
FleetChanged = types_.FleetChanged
PeerUp = types_.PeerUp
PeerDown = types_.PeerDown
PeerHolds = types_.PeerHolds
PeerGained = types_.PeerGained
Progressed = types_.Progressed
Arrived = types_.Arrived
Lost = types_.Lost
Corrupt = types_.Corrupt
Refused = types_.Refused
Failed = types_.Failed
ChunkRequested = types_.ChunkRequested
Served = types_.Served
Tick = types_.Tick
Event = types_.Event

Connect = types_.Connect
StopConnecting = types_.StopConnecting
RequestChunk = types_.RequestChunk
Cancel = types_.Cancel
AdvertiseAll = types_.AdvertiseAll
AdvertiseGained = types_.AdvertiseGained
Serve = types_.Serve
StopServing = types_.StopServing
Refuse = types_.Refuse
PeerExcluded = types_.PeerExcluded
Completed = types_.Completed
Action = types_.Action
