"""The path of a snapshot: it outlives the records that it stands for."""

import asyncio
import json

from clementinegw.matrix import settings
from clementinegw.settings import records


class SnapshotScene(settings.SettingsScene):
    """A change grows old; its record expires; a new process starts."""

    async def _act(self) -> None:
        for process in self.processes:
            process.log.prefix = records.STREAM
        self._tracked = self._change(
            self._base(), settings.PATH, settings.VALUE, settings.TRACKED
        )
        self._publish(self.operator, self._tracked)
        await asyncio.sleep(settings.SNAPSHOT_AGE_S)
        # Whoever comes first puts the snapshot back, soon after its age.
        await asyncio.sleep(2 * settings.SNAPSHOT_AGE_S)
        self.world.log.truncate(records.STREAM, self._newest_snapshot())
        self.world.reached("expired")
        self.replace(self.processes[2])
        await asyncio.sleep(settings.REPLACED_S + settings.CALM_S)
        self.world.reached("joined")

    def _newest_snapshot(self) -> int | None:
        """Returns an offset from which on a newcomer finds all it needs."""
        everything = self.world.log.all(records.STREAM)
        parsed = [json.loads(record.value) for record in everything]
        positions = [
            record["position"]
            for record in parsed
            if record.get("kind") == "snapshot"
        ]
        return max(1, positions[-1] - 1) if positions else None
