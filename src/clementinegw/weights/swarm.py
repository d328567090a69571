"""Decisions of one agent in the exchange of a version's chunks.

A state machine without I/O: events and the time go in, actions come out.
`weights.transfer` carries them out; docs/design/swarm.md weighs the ways.
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
Disconnect = types_.Disconnect
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
