"""A loopback proxy that delays, resets, silences, or cuts one way."""

import asyncio


class Proxy:
    """Stands before one address; `mode` is what it does to every byte."""

    def __init__(self, port):
        self._port = port
        self._writers = set()
        self._server = None
        self.mode = "pass"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        self.reset()

    async def disturb(self, rng):
        """Does one kind of harm for a while."""
        self.mode = rng.choice(("delay", "silence", "one_way", "reset"))
        if self.mode == "reset":
            self.reset()
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        self.mode = "pass"

    def reset(self):
        """Breaks every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far}
        try:
            await asyncio.gather(
                self._copy(reader, far, back=False),
                self._copy(far_reader, writer, back=True),
            )
        finally:
            self._writers -= {writer, far}
            writer.close()
            far.close()

    async def _copy(self, reader, writer, back):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.2)
                swallowed = self.mode == "silence" or (
                    self.mode == "one_way" and back
                )
                if not swallowed:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        # The other way ends too: a closed end is seen, as in a real network.
        writer.close()
