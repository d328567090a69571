"""Servers that send answers again: late, whole, cut or without an id."""

import asyncio
import collections

import platform_site

MAX_BYTES = 4_096
FORMS = ("whole", "whole", "cut", "cut_rejection", "unidentified", "foreign")
_REJECTION = (
    b"HTTP/1.1 503 X\r\nX-Clementinegw-Not-Executed: 1\r\n"
    b"X-Clementinegw-Attempt-Id: f1\r\nServer: engine"
)


class SecondAnswers:
    """Draws second answers and sends them on their connections.

    Attributes:
      share: The share of answers that come a second time.
      drawn: How often each form was sent.
    """

    def __init__(self, rng, share):
        self._rng = rng
        self._due = {}
        self.share = share
        self.drawn = collections.Counter()

    async def wrap(self, call, serve):
        """Serves a call before and after second answers.

        Args:
          call: The call.
          serve: A coroutine that serves it.
        """
        due = self._due.pop(call.writer, None)
        if due is not None:
            form, data = due
            self.drawn[form] += 1
            call.send(data)
            call.sent_bytes = b""
        await serve
        size = len(call.sent_bytes)
        if not 0 < size <= MAX_BYTES or self._rng.random() > self.share:
            return
        form = self._rng.choice(FORMS)
        second = self._second(call, form)
        if self._rng.random() < 0.7:
            # Where the answer to the next call is expected.
            self._due[call.writer] = form, second
            return
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        self.drawn[form] += 1
        call.send(second)

    def _second(self, call, form):
        if form == "cut_rejection":
            return _REJECTION[: self._rng.randrange(1, len(_REJECTION))]
        return platform_site.spoil(call, form, self._rng)
