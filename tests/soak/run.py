"""Real entries between real faults: `python tests/soak/run.py --seeds=50`.

Starts entries as separate processes in front of stand-ins, with a proxy on each
link, plays a plan of faults drawn from the seed, and judges the promises from
both ends; with `--subject=signals` servers that report limits, leave or ask for
pauses; with `--subject=weights` agents beside model servers; with
`--subject=versions` entries that start again while a version of weights is due.
`--guard=NAME` breaks one guard in a copy of the code: the judge must then
find it.
"""

import argparse
import asyncio
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

import entries  # noqa: E402
import server_signals  # noqa: E402
import versions  # noqa: E402
import weights  # noqa: E402

SUBJECTS = {
    "requests": entries.Soak,
    "signals": server_signals.Soak,
    "versions": versions.Soak,
    "weights": weights.Soak,
}

# Each guard as the text that is replaced in a copy of the code.
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
        "if len(self._retries) + 1 > limit:",
        "if False:",
    ),
    "digest_check": (
        "src/clementinegw/direct/fetcher.py",
        "if existing is not None and digest_of(existing) == digest:\n"
        "                continue",
        "if existing is not None:\n                continue",
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
        "src/clementinegw/direct/fleet.py",
        "return self.signals.backoff_until > now",
        "return False",
    ),
    "true_refusal": (
        "src/clementinegw/direct/placement.py",
        "if job.runs:\n            return outcomes.Refusal(_BAD_GATEWAY",
        "if False:\n            return outcomes.Refusal(_BAD_GATEWAY",
    ),
}


def prepare_code(guard, folder):
    """Returns where the code is; a copy with one guard broken."""
    if not guard:
        return ROOT
    path, text, replacement = GUARDS[guard]
    for name in ("src", "platform"):
        shutil.copytree(ROOT / name, folder / name)
    file = folder / path
    before = file.read_text()
    assert text in before, f"{path}: the guard {guard} is written otherwise"
    file.write_text(before.replace(text, replacement))
    return folder


def run_seed(seed, seconds, guard="", subject="requests"):
    """Plays one seed and returns the promises that were broken."""
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
        return violations, soak.operation_count, len(soak.plan)


def main():
    """Plays seeds and prints a line for each."""
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
    for seed in range(args.first, args.first + args.seeds):
        violations, count, faults = run_seed(
            seed, args.seconds, args.guard, args.subject
        )
        failed += bool(violations)
        verdict = "; ".join(violations[:3]) or "held"
        print(
            f"seed {seed}: {count} {args.subject}, {faults} faults: {verdict}"
        )
    print(f"{args.seeds - failed} held, {failed} broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
