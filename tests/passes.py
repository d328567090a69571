"""A model engine that reads prompts and generates tokens in passes."""

import dataclasses

SLOTS = 16
STEP_S = 0.0074
STEP_PER_REQUEST_S = 0.0000387
TOKENS_PER_S = 31_900.0
CHUNK_TOKENS = 2_048
STEPS_PER_PASS = 6
ENGINE = {
    "slots": SLOTS,
    "stride": STEPS_PER_PASS,
    "models": [{"name": "m"}],
    "step_ms": 1e3 * STEP_S,
    "per_seq_ms": 1e3 * STEP_PER_REQUEST_S,
    "read_per_s": TOKENS_PER_S,
    "chunk": CHUNK_TOKENS,
    "usual": {"prompt": 973, "answer": 106},
    "layers": 1,
}


@dataclasses.dataclass(eq=False)
class Request:
    """A request at the engine.

    Attributes:
      unread: The tokens of its prompt that are not read yet.
      left: The tokens that are still to be generated.
      begun: Whether its first token was generated.
    """

    unread: int
    left: int = 106
    begun: bool = False


class Engine:
    """The state of an engine between two passes.

    Attributes:
      pace: The factor by which it is slower than usual.
      running: The requests in progress.
      waiting: The requests in its queue.
    """

    def __init__(self, pace=1.0):
        self.pace = pace
        self.running = []
        self.waiting = []

    def add(self, request):
        """Adds a request, to the queue if no slot is free."""
        full = len(self.running) >= SLOTS
        (self.waiting if full else self.running).append(request)

    def run_pass(self):
        """Makes a pass; returns its time in seconds and who began in it."""
        while self.waiting and len(self.running) < SLOTS:
            self.running.append(self.waiting.pop(0))
        writing = [r for r in self.running if r.begun]
        steps = STEPS_PER_PASS if writing else 1
        budget, read = CHUNK_TOKENS * steps, 0
        for request in self.running:
            tokens = min(request.unread, budget - read)
            request.unread -= tokens
            read += tokens
        step_s = STEP_S + STEP_PER_REQUEST_S * len(writing)
        for request in writing:
            request.left -= steps
        self.running = [r for r in self.running if r.left > 0]
        begun = [r for r in self.running if not r.unread and not r.begun]
        for request in begun:
            request.begun = True
        return (steps * step_s + read / TOKENS_PER_S) * self.pace, begun

    def begins_in_s(self, request):
        """Returns how long a request that arrives now takes to begin."""
        self.add(request)
        elapsed_s, begun = 0.0, []
        while request not in begun:
            pass_s, begun = self.run_pass()
            elapsed_s += pass_s
        return elapsed_s
