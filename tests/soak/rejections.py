"""A soak of requests that one server rejects often and answers again."""

import asyncio

import entries

REJECT_SHARE = 0.5


class Soak(entries.Soak):
    """Runs one seed against entries before a single server.

    A rejected request comes back to that server, so that second answers to its
    first send meet the next one.
    """

    kinds = ("once", "once", "safe")
    server_count = 1
    # So few that a rejected request often finds its own connection idle.
    caller_count = 4
    second_answer_share = 0.3
    # A spent budget would end requests at their first send.
    retry_limits = (3.0, 500.0)

    def __init__(self, *args):
        super().__init__(*args)
        self._reject_share = REJECT_SHARE

    def _fault_actions(self, store_port):
        actions = super()._fault_actions(store_port)
        # With its only server away, little would be sent.
        del actions["link"], actions["server"]
        return actions

    async def _fault_reject(self):
        """The server rejects nearly all requests for a while."""
        self._reject_share = 0.9
        await asyncio.sleep(self._rng.uniform(0.5, 1.5))
        self._reject_share = REJECT_SHARE
