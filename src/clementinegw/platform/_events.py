"""Log events of the platform's clients."""

from clementinegw.telemetry import events

PLATFORM_LOST = events.define(
    700,
    "platform_lost",
    events.Level.WARNING,
    "A part of the platform stopped answering; the field `part` names it.",
    "None at first: what is in force stays in force. See the operators' page.",
)
PLATFORM_BACK = events.define(
    701,
    "platform_back",
    events.Level.INFO,
    "A part of the platform answers again.",
)
PLATFORM_MALFORMED = events.define(
    702,
    "platform_malformed",
    events.Level.ERROR,
    "A part of the platform sent an answer that does not fit its interface.",
    "Check that the address in the instance file is the address of that part.",
)
