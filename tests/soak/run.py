"""Runs real processes under random faults.

Usage: `python tests/soak/run.py --seeds=50`. Starts entries as separate
processes in front of stand-ins, with a proxy on each link, injects faults drawn
from the seed, and checks guarantees by what callers and servers observe.
`--subject=signals` has servers that report limits, leave or ask for backoff;
`--subject=streams` has many open streams beside ever new configurations;
`--subject=weights` has agents beside model servers; `--subject=checks` stops
them while they verify staged pieces; `--subject=versions` has entries that
restart while a version of weights is due; `--subject=prompts` has requests with
a part in their prompts that crashes servers; `--subject=restored` has a store
that is restored from copies; `--subject=rejections` has one server that rejects
requests often and answers some twice. `--guard=NAME` disables one guard
in a copy of the code: the checks must then find violations.
"""

import argparse
import asyncio
import collections
import itertools
import pathlib
import shutil
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [
    str(ROOT / "platform"),
    str(ROOT / "src"),
    str(ROOT / "tests"),
    str(ROOT / "tests" / "soak"),
]

import checks  # noqa: E402
import entries  # noqa: E402
import prompts  # noqa: E402
import rejections  # noqa: E402
import restored  # noqa: E402
import server_signals  # noqa: E402
import streams  # noqa: E402
import versions  # noqa: E402
import weights  # noqa: E402

# Two faults that begin within this time make a pair, in seconds.
PAIR_S = 3.0
SUBJECTS = {
    "checks": checks.Soak,
    "prompts": prompts.Soak,
    "rejections": rejections.Soak,
    "requests": entries.Soak,
    "restored": restored.Soak,
    "signals": server_signals.Soak,
    "streams": streams.Soak,
    "versions": versions.Soak,
    "weights": weights.Soak,
}

# For each guard its file, its text, and the text that disables it.
GUARDS = {
    "expected_instance": (
        "platform/adapter/headers.py",
        "result.append((_EXPECT_INSTANCE, metadata.server_id.encode()))",
        "pass",
    ),
    "revoked_keys": (
        "src/clementinegw/direct/entry.py",
        "_MAX_KEY_PROOF_SHARE = 0.9",
        "_MAX_KEY_PROOF_SHARE = 900.0",
    ),
    "retry_of_all": (
        "src/clementinegw/direct/types.py",
        "return self.repeat_policy is RepeatPolicy.SAFE",
        "return True",
    ),
    "budget": (
        "src/clementinegw/direct/budget.py",
        "if not self.allows(now, customer):",
        "if False:",
    ),
    "digest_check": (
        "src/clementinegw/direct/staging.py",
        "if data is None or digest_of(data) != manifest.digests[number]:",
        "if data is None:",
    ),
    "doubted_manifest": (
        "src/clementinegw/direct/updater.py",
        "if not self._fetcher.manifest_contradicted and not self._is_stuck():",
        "if True:",
    ),
    "check_age": (
        "src/clementinegw/direct/staging.py",
        "self._clock = boot_clock",
        "self._clock = lambda: 0.0",
    ),
    "epoch": (
        "platform/adapter/store.py",
        "text = head.get(_EPOCH_HEADER)",
        "text = None",
    ),
    "server_limit": (
        "src/clementinegw/direct/balance.py",
        "and backend.accepts(now)",
        "",
    ),
    "server_leaving": (
        "src/clementinegw/direct/signals.py",
        "        self.leaving = True",
        "        self.leaving = False",
    ),
    "server_backoff": (
        "src/clementinegw/direct/backend.py",
        "signals.backoff_until > now",
        "signals.backoff_until > now + 1e9",
    ),
    "crashing_parts": (
        "src/clementinegw/direct/part_judgement.py",
        "MIN_CRASHES = 3",
        "MIN_CRASHES = 1_000",
    ),
    "empty_streams": (
        "src/clementinegw/direct/attempt.py",
        "if not received and not head.framed:",
        "if False:",
    ),
    "drain": (
        "src/clementinegw/direct/entry.py",
        "await self._server.wait_idle()",
        "pass",
    ),
    "close_idle": (
        "src/clementinegw/direct/server.py",
        "            if session.idle:\n",
        "            if True:\n",
    ),
    "open_connections": (
        "src/clementinegw/direct/entry.py",
        "self._server.limits = configuration.limits",
        "[s.channel.abort() for s in self._server._sessions]",
    ),
    "no_engine": (
        "src/clementinegw/direct/placement.py",
        "if engine is None or job.first_event_at is None:",
        "if job.first_event_at is None:",
    ),
    "line_of_broken_off": (
        "src/clementinegw/direct/finisher.py",
        "self._log.write(\n            _events.ANSWER_BROKEN_OFF,",
        "dict(",
    ),
    "line_of_done": (
        "src/clementinegw/direct/finisher.py",
        "self._log.write(\n            _events.REQUEST_DONE,",
        "dict(",
    ),
    "resend_connection": (
        "src/clementinegw/direct/job.py",
        " and connection.number not in self.connections",
        "",
    ),
    "cut_heads": (
        "src/clementinegw/direct/client.py",
        "if _is_run_together(event):",
        "if False:",
    ),
    "answer_identity": (
        "src/clementinegw/direct/job.py",
        "if self.identity is AnswerIdentity.NONE and self.former_calls:",
        "if False:",
    ),
    "settled_epoch": (
        "src/clementinegw/direct/epoch_proof.py",
        "return self._marked == epoch or self._has_lasted",
        "return True",
    ),
    "true_refusal": (
        "src/clementinegw/direct/placement.py",
        "if job.may_have_run:\n            return outcomes.Refusal(",
        "if False:\n            return outcomes.Refusal(",
    ),
}


def prepare_code(guard, folder):
    """Returns the root of the code, or of a copy with one guard disabled."""
    if not guard:
        return ROOT
    path, text, replacement = GUARDS[guard]
    for name in ("src", "platform"):
        shutil.copytree(ROOT / name, folder / name)
    file = folder / path
    source = file.read_text()
    assert text in source, f"{path} lacks the text of guard {guard}"
    file.write_text(source.replace(text, replacement))
    return folder


def run_seed(seed, seconds, guard="", subject="requests"):
    """Runs one seed.

    On violations the logs are kept in the system's temporary folder, unless a
    guard is disabled.

    Args:
      seed: Decides the faults.
      seconds: For how long faults are injected.
      guard: The guard to disable; empty for none.
      subject: The kind of soak; see `SUBJECTS`.

    Returns:
      The violations, the number of operations and the number of faults.
    """
    violations, soak = run_soak(seed, seconds, guard, subject)
    return violations, soak.operation_count, len(soak.plan)


def run_soak(seed, seconds, guard="", subject="requests"):
    """Runs one seed, as `run_seed`; returns the violations and the soak."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        code = prepare_code(guard, folder)
        soak = SUBJECTS[subject](seed, seconds, code, folder)
        violations = asyncio.run(soak.run())
        if violations and not guard:
            saved = (
                pathlib.Path(tempfile.gettempdir()) / f"soak-{subject}-{seed}"
            )
            shutil.copytree(folder, saved, dirs_exist_ok=True)
            (saved / "plan.txt").write_text(str(soak.plan))
        if isinstance(soak, restored.Soak):
            print(f"delays of changes in seconds: {soak.delays_s()}")
        return violations, soak


def pairs_of(plan):
    """Returns the pairs of kinds of faults that began shortly one by one."""
    return {
        tuple(sorted((first[1], second[1])))
        for first, second in itertools.combinations(plan, 2)
        if abs(second[0] - first[0]) <= PAIR_S
    }


def describe_pairs(plans, kinds):
    """Returns which pairs of kinds of faults were drawn, and which never.

    Args:
      plans: The faults of each seed, as pairs of a time and a kind.
      kinds: All kinds of faults that may be drawn.
    """
    drawn = collections.Counter(
        pair for plan in plans for pair in pairs_of(plan)
    )
    possible = set(itertools.combinations_with_replacement(sorted(kinds), 2))
    never = sorted(possible - drawn.keys())
    lines = [f"{a} x {b}: {n}" for (a, b), n in sorted(drawn.items())]
    lines.append(f"never: {', '.join(f'{a} x {b}' for a, b in never) or '-'}")
    return lines


def main():
    """Runs seeds and prints a line for each, then the pairs of faults."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument(
        "--subject", choices=sorted(SUBJECTS), default="requests"
    )
    parser.add_argument("--guard", choices=sorted(GUARDS), default="")
    args = parser.parse_args()
    failed = 0
    plans, kinds = [], set()
    for seed in range(args.first, args.first + args.seeds):
        violations, soak = run_soak(
            seed, args.seconds, args.guard, args.subject
        )
        failed += bool(violations)
        plans.append(soak.plan)
        kinds.update(kind for _, kind in soak.plan)
        verdict = "; ".join(violations[:3]) or "held"
        print(
            f"seed {seed}: {soak.operation_count} {args.subject},"
            f" {len(soak.plan)} faults: {verdict}"
        )
    print(f"{args.seeds - failed} held, {failed} broken")
    print(f"pairs of faults within {PAIR_S:.0f} s, by the seeds that drew them")
    print("\n".join(describe_pairs(plans, kinds)))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
