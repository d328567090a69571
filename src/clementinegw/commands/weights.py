"""`clementinegw weights publish PATH`: uploads a version to a store."""

import json
import sys

from absl import flags
import aiohttp

from clementinegw import exceptions
from clementinegw.platform import store as stores
from clementinegw.weights import manifest as manifests
from clementinegw.weights import publish

NAME = "weights"
HELP = """usage: clementinegw weights publish PATH --version=V --model=M
                                     --store=URL

Splits a file, or all files of a directory, into chunks, uploads those that the
store does not have, then the manifest, and prints the manifest's digest: the
value for `services.SERVICE.model.manifest`. Run it again after an error: chunks
that the store has are not uploaded again."""

_PERCENT = 100


def define(flag_values) -> None:
    """Defines the command's flags."""
    flags.DEFINE_string(
        "version", None, "The version's name.", flag_values=flag_values
    )
    flags.DEFINE_string(
        "model", None, "The model's name.", flag_values=flag_values
    )
    flags.DEFINE_string(
        "store",
        None,
        "Base URL of the weight store or the origin.",
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "chunk_bytes",
        manifests.DEFAULT_CHUNK_BYTES,
        "Chunk size in bytes; must be the same for all versions of a model.",
        flag_values=flag_values,
    )


async def run(args: list[str], flag_values) -> int:
    """Publishes a version and prints the digest of its manifest."""
    if len(args) != 2 or args[0] != "publish":
        raise exceptions.UsageError(
            "weights: expected `publish PATH` "
            "(see `clementinegw weights --help`)"
        )
    for name in ("version", "model", "store"):
        if not flag_values[name].value:
            raise exceptions.UsageError(
                f"weights publish: expected --{name}=..."
            )
    if not flag_values.store.startswith(("http://", "https://")):
        raise exceptions.UsageError(
            f"--store: expected a URL such as http://10.0.0.7:8080, "
            f"found {flag_values.store!r}"
        )
    last = publish.Progress()

    def show(progress: publish.Progress) -> None:
        nonlocal last
        last = progress
        _print_progress(progress)

    async with aiohttp.ClientSession() as session:
        manifest = await publish.publish(
            args[1],
            flag_values.model,
            flag_values.version,
            stores.HttpStore(flag_values.store, session),
            flag_values.chunk_bytes,
            show,
        )
    if sys.stderr.isatty():
        print(file=sys.stderr)
    print(_format_result(manifest, last, flag_values.json))
    return 0


def _print_progress(progress: publish.Progress) -> None:
    if sys.stderr.isatty():
        share = _PERCENT * progress.done_bytes // progress.total_bytes
        print(f"\r{share:3d}%", end="", file=sys.stderr, flush=True)


def _format_result(
    manifest: manifests.Manifest, progress: publish.Progress, as_json: bool
) -> str:
    if not as_json:
        return manifest.digest
    return json.dumps(
        {
            "digest": manifest.digest,
            "model": manifest.model,
            "version": manifest.version,
            "bytes": manifest.total_bytes,
            "files": len(manifest.files),
            "chunks": len(manifest.chunks),
            "sent_chunks": progress.sent_chunks,
            "skipped_chunks": progress.skipped_chunks,
        }
    )
