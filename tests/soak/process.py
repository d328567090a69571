"""Starts and ends the real daemons as separate processes."""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import socket
import sys

# An address of this process alone: a free port may be taken by another process
# before it is used. With one address for several soaks at once, callers of one
# reached the readiness page of another's entry and got 232 empty answers.
HOST = f"127.{1 + os.getpid() // 256 % 200}.{os.getpid() % 256}.200"
# Below the ports that the kernel hands out, so that no other socket gets one
# between the check and its use.
_PORTS = itertools.count(20_000)


class Process:
    """One daemon in a process of its own.

    Attributes:
      role: The daemon to run: entry or agent.
      number: The daemon's number among those of its role.
      exit_expected: Whether an exit is expected or already recorded.
      started_at: When it was last started, in seconds of the event loop.
      unexpected_exit: How it exited unexpectedly; empty if it did not.
      pause_count: How often it was paused.
      peak_mb: The most resident memory seen, in MB.
    """

    role = ""

    def __init__(self, number, code, folder):
        self._code = code
        self._folder = folder
        self._process = None
        self.number = number
        self.exit_expected = False
        self.started_at = 0.0
        self.unexpected_exit = ""
        self.pause_count = 0
        self.peak_mb = 0.0

    async def start(self, store_port):
        path = self._folder / f"{self.role}-{self.number}.json"
        path.write_text(json.dumps(self._instance_file(store_port)))
        log = (self._folder / f"{self.role}-{self.number}.log").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(self._code / "platform" / "main.py"),
            self.role,
            cwd=self._code,
            env={"CLEMENTINEGW_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        self.started_at = asyncio.get_running_loop().time()
        # Not earlier: until the new process exists, `poll` would report the
        # exit of the former one.
        self.exit_expected = False

    def signal(self, signal_number):
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    def handles(self, signal_number):
        """Returns whether the program ignores or handles a signal by now.

        SIGHUP ends a process whose first line has not run yet; the program
        cannot prevent that. Seen on a loaded machine with seed 1: exit code -1
        and an empty log.
        """
        masks = [
            int(line.split()[1], 16)
            for line in self._status_lines()
            if line.startswith(("SigIgn", "SigCgt"))
        ]
        return any(mask >> (signal_number - 1) & 1 for mask in masks)

    def _status_lines(self):
        """Returns the lines of the kernel's status; none after the exit."""
        if self._process is None or self._process.returncode is not None:
            return []
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        try:
            return status.read_text().splitlines()
        except (FileNotFoundError, ProcessLookupError):
            # Already reaped, but the event loop does not know yet.
            return []

    async def end(self, signal_number):
        """Sends a signal, waits for the exit and returns the exit code."""
        self.exit_expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal_number)
        return await self._process.wait()

    def poll(self):
        """Records an unexpected exit and the resident memory."""
        if self._process is None or self.exit_expected:
            return
        if self._process.returncode is not None:
            self.unexpected_exit = f"code {self._process.returncode}"
            self.exit_expected = True
            return
        for line in self._status_lines():
            if line.startswith("VmRSS"):
                self.peak_mb = max(self.peak_mb, int(line.split()[1]) / 1024)

    async def pause(self, rng):
        """Stops the process for a while with SIGSTOP."""
        self.pause_count += 1
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        self.signal(signal.SIGCONT)

    def violations(self, max_mb):
        """Returns the violations by this process.

        Args:
          max_mb: The most resident memory allowed, in MB.
        """
        found = []
        if self.unexpected_exit:
            found.append(f"unexpected exit: {self.unexpected_exit}")
        if self.peak_mb > max_mb:
            found.append(f"memory: {self.peak_mb:.0f} MB")
        return found

    def _instance_file(self, store_port):
        raise NotImplementedError


class Entry(Process):
    """An entry process."""

    role = "entry"

    def __init__(self, number, code, folder, bounds):
        super().__init__(number, code, folder)
        self._bounds = bounds
        self.port = free_port()

    def _instance_file(self, store_port):
        first = free_port()
        return {
            "name": f"entry-{self.number}",
            "place": {"region": "r1", "failure_domain": "d1"},
            "regions": {"d1": "r1"},
            "host": HOST,
            "peer_ports": [first, free_port()],
            "callers_address": f"{HOST}:{self.port}",
            "ready_address": f"{HOST}:{free_port()}",
            "store_address": f"127.0.0.1:{store_port}",
            "bounds": {
                "keys_ms": 5000,
                "grace_s": 4,
                **self._bounds,
            },
        }


class Agent(Process):
    """An agent process beside a model server, on an address of its own."""

    role = "agent"

    def __init__(self, number, code, folder, hosts, ports):
        super().__init__(number, code, folder)
        self._hosts = hosts
        self._ports = ports

    def _instance_file(self, store_port):
        domains = [f"d{number}" for number in range(len(self._hosts))]
        host = self._hosts[self.number]
        return {
            "name": f"agent-{self.number}",
            "place": {"region": "r1", "failure_domain": domains[self.number]},
            "regions": dict.fromkeys(domains, "r1"),
            "host": host,
            "peer_ports": list(self._ports[:2]),
            "store_address": f"127.0.0.1:{store_port}",
            "backend_address": f"{host}:{self._ports[2]}",
            "service": "engine",
            "link_mbps": 4.0,
            "bounds": {"weights_ms": 8000},
        }


def free_port():
    with socket.socket() as sock:
        while True:
            port = next(_PORTS)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port
