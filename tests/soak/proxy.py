"""A loopback proxy that delays, resets, silences, or cuts one way."""

import asyncio


class Proxy:
    """Forwards connections to one loopback port and injects faults.

    Attributes:
      mode: What happens to data: "pass"; "delay"; "hold", which delivers
        nothing until the mode changes; "silence", which drops both directions;
        "one_way", which drops what the server sends; or "reset", which refuses
        new connections with a reset.
    """

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

    async def inject_fault(self, rng):
        """Injects a random kind of fault for a while."""
        self.mode = rng.choice(("delay", "silence", "one_way", "reset"))
        if self.mode == "reset":
            self.reset()
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        self.mode = "pass"

    def reset(self):
        """Resets every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, server_writer}
        try:
            await asyncio.gather(
                self._copy(reader, server_writer, to_client=False),
                self._copy(server_reader, writer, to_client=True),
            )
        finally:
            self._writers -= {writer, server_writer}
            writer.close()
            server_writer.close()

    async def _copy(self, reader, writer, to_client):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.2)
                while self.mode == "hold":
                    await asyncio.sleep(0.02)
                dropped = self.mode == "silence" or (
                    self.mode == "one_way" and to_client
                )
                if not dropped:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        # A close is passed on in every mode, as in a real network.
        writer.close()
