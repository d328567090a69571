"""Tests manifests and their publication, and the stores of chunks."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st
import pytest

from clementinegw import exceptions
from clementinegw.commands import main
from clementinegw.testing import clock as virtual
from clementinegw.testing import memory
from clementinegw.testing import platform as stand_ins
from clementinegw.weights import bitset
from clementinegw.weights import manifest as manifests
from clementinegw.weights import publish
from clementinegw.weights import store

CHUNK_BYTES = manifests.MIN_CHUNK_BYTES


def build(*contents: bytes, version: str = "1") -> manifests.Manifest:
    files = tuple(
        manifests.File(f"part-{number}", len(data))
        for number, data in enumerate(contents)
    )
    digests = [
        manifests.digest_of(data[start : start + CHUNK_BYTES])
        for data in contents
        for start in range(0, len(data), CHUNK_BYTES)
    ]
    return manifests.build("gear", version, CHUNK_BYTES, files, digests)


@hypothesis.given(
    st.lists(st.integers(0, 5 * CHUNK_BYTES), min_size=1, max_size=6)
)
@hypothesis.settings(deadline=None, max_examples=50)
def test_round_trip_keeps_every_size(sizes):
    hypothesis.assume(sum(sizes) > 0)
    manifest = build(*(bytes([n]) * size for n, size in enumerate(sizes)))
    decoded = manifests.decode(manifest.encode(), manifest.digest)
    assert decoded == manifest
    assert sum(chunk.size for chunk in decoded.chunks) == sum(sizes)


def test_unchanged_files_share_all_their_chunks():
    """A file that grows must not shift the chunks of the files after it.

    If chunks crossed file boundaries, the whole version would be transferred
    again after a small edit.
    """
    weights = bytes(range(256)) * 40
    before = {chunk.digest for chunk in build(b"a" * 10, weights).chunks}
    after = {chunk.digest for chunk in build(b"a" * 999, weights).chunks}
    assert len(after - before) == 1


def tampered(change) -> tuple[bytes, str]:
    document = json.loads(build(b"x" * (2 * CHUNK_BYTES + 1)).encode())
    change(document)
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    data = text.encode()
    return data, manifests.digest_of(data).hex()


def file_path(path):
    return lambda document: document["files"][0].update(path=path)


@pytest.mark.parametrize(
    "change, location",
    [
        (lambda d: d.update(schema=2), "schema"),
        (lambda d: d.update(extra=1), "extra"),
        (lambda d: d.update(chunk_bytes=1), "chunk_bytes"),
        (lambda d: d.update(version="../2"), "version"),
        (lambda d: d["chunks"].pop(), "chunks"),
        (lambda d: d["chunks"].append("00" * 32), "chunks"),
        (lambda d: d["chunks"].__setitem__(0, "zz" * 32), r"chunks\[0\]"),
        (lambda d: d["chunks"].__setitem__(0, "AB" * 32), r"chunks\[0\]"),
        (lambda d: d["files"][0].update(size=1 << 40), "chunks"),
        (lambda d: d["files"].append(d["files"][0]), "files"),
        (file_path("../weights"), "files"),
        (file_path("/weights"), "files"),
        (file_path("a//b"), "files"),
    ],
)
def test_inconsistent_manifest_is_refused(change, location):
    data, digest = tampered(change)
    with pytest.raises(exceptions.DecodeError, match=location):
        manifests.decode(data, digest)


def test_bytes_under_another_digest_are_refused():
    """A peer or store may return another manifest than the settings name."""
    wanted, other = build(b"a" * 10), build(b"b" * 10)
    with pytest.raises(exceptions.DecodeError, match="expected digest"):
        manifests.decode(other.encode(), wanted.digest)


def test_manifest_in_another_encoding_is_refused():
    """Equal weights under two digests would not match the engine's report."""
    manifest = build(b"a" * 10)
    spaced = json.dumps(json.loads(manifest.encode())).encode()
    with pytest.raises(exceptions.DecodeError, match="canonical"):
        manifests.decode(spaced, manifests.digest_of(spaced).hex())


def test_manifest_longer_than_the_limit_is_refused_before_parsing():
    data = b" " * (manifests.MAX_ENCODED_BYTES + 1)
    with pytest.raises(exceptions.DecodeError, match="at most"):
        manifests.decode(data, manifests.digest_of(data).hex())


@hypothesis.given(st.integers(1, 70), st.data())
@hypothesis.settings(deadline=None, max_examples=50)
def test_bitset_agrees_with_a_set(count, data):
    indices = data.draw(st.sets(st.integers(0, count - 1)))
    bits = bitset.from_indices(count, indices)
    assert bitset.total(bits) == len(indices)
    assert set(range(count)) - set(bitset.missing(bits, count)) == indices


async def test_store_refuses_corrupt_chunks_and_respects_its_limit():
    """A peer may send other bytes than requested, which must not be stored."""
    chunk_store = store.MemoryStore(limit_bytes=3 * CHUNK_BYTES)
    manifest = build(*(bytes([n]) * CHUNK_BYTES for n in range(4)))
    for number, chunk in enumerate(manifest.chunks):
        assert not await chunk_store.put(chunk.digest, b"corrupt")
        assert await chunk_store.get(chunk.digest) is None
        assert await chunk_store.put(
            chunk.digest, bytes([number]) * CHUNK_BYTES
        )
    assert chunk_store.used_bytes <= chunk_store.limit_bytes
    assert chunk_store.evicted == 1
    held = chunk_store.held(manifest)
    assert bitset.missing(held, len(manifest.chunks)) == [0]


def publish_all(path, blobs, version="1"):
    return virtual.run(
        publish.publish(path, "gear", version, blobs, CHUNK_BYTES)
    )


def test_published_directory_can_be_restored(tmp_path):
    contents = {
        "config.json": b"{}",
        "empty": b"",
        "shards/a.safetensors": bytes(range(256)) * 9,
        "shards/b.safetensors": b"z" * CHUNK_BYTES,
    }
    for name, data in contents.items():
        (tmp_path / name).parent.mkdir(exist_ok=True)
        (tmp_path / name).write_bytes(data)
    platform = memory.MemoryStore()
    manifest = publish_all(tmp_path, platform)
    encoded = platform.blobs[manifest.blob_name]
    decoded = manifests.decode(encoded, manifest.digest)
    chunks = [platform.blobs[chunk.blob_name] for chunk in decoded.chunks]
    whole = b"".join(chunks)
    assert whole == b"".join(contents[file.path] for file in decoded.files)
    assert [file.path for file in decoded.files] == sorted(contents)


def test_second_run_sends_only_what_the_store_does_not_have(tmp_path):
    """The store fails during a publication, which is then run again.

    The store fails after some chunks and returns with one blob truncated. The
    first run must not leave a manifest. The second run must upload the rest and
    the truncated blob, and nothing twice.
    """
    path = tmp_path / "weights.bin"
    path.write_bytes(b"".join(bytes([n]) * CHUNK_BYTES for n in range(9)))
    platform = memory.MemoryStore()

    def fail(progress):
        platform.faults.down = progress.sent_chunks >= 5

    with pytest.raises(exceptions.PlatformUnavailable):
        virtual.run(
            publish.publish(path, "gear", "1", platform, CHUNK_BYTES, fail)
        )
    assert not [name for name in platform.blobs if "manifests" in name]
    stored = len(platform.blobs)
    platform.faults.down = False
    platform.blobs[next(iter(platform.blobs))] = b"cut"
    progress = publish.Progress()

    def record(update):
        nonlocal progress
        progress = update

    virtual.run(
        publish.publish(path, "gear", "1", platform, CHUNK_BYTES, record)
    )
    assert progress.sent_chunks == 9 - stored + 1
    assert progress.done_bytes == progress.total_bytes == 9 * CHUNK_BYTES


def test_upload_is_retried_after_a_lost_answer_of_the_store(tmp_path):
    path = tmp_path / "weights.bin"
    path.write_bytes(b"w" * CHUNK_BYTES)
    platform = memory.MemoryStore()
    platform.faults.answer_lost = 2
    platform.faults.refused = 1
    manifest = publish_all(path, platform)
    assert manifest.blob_name in platform.blobs


@pytest.mark.parametrize("size, message", [(0, "0 bytes"), (None, "read")])
def test_path_without_weights_is_a_usage_error(tmp_path, size, message):
    path = tmp_path / "weights.bin"
    if size is not None:
        path.write_bytes(b"")
    with pytest.raises(exceptions.UsageError, match=message):
        publish_all(path, memory.MemoryStore())


def test_file_that_grows_while_it_is_read_is_not_published(tmp_path):
    """Guards against instances that verify and serve truncated weights.

    The file grows between the determination of its length and the reading, so
    the first length is not that of the whole file.
    """
    path = tmp_path / "weights.bin"
    path.write_bytes(b"w" * 3 * publish.MAX_CONCURRENT_UPLOADS * CHUNK_BYTES)
    platform = memory.MemoryStore()

    def grow(progress):
        with path.open("ab") as file:
            file.write(b"more")

    with pytest.raises(exceptions.UsageError, match="changed"):
        virtual.run(
            publish.publish(path, "gear", "1", platform, CHUNK_BYTES, grow)
        )
    assert not [name for name in platform.blobs if "manifests" in name]


async def publish_command(path, *flags):
    """Runs the command against a store on the loopback interface."""
    stand_in = stand_ins.PlatformStandIn()
    await stand_in.start()
    store_flag = f"--store={stand_in.store_address}"
    argv = ["weights", "publish", str(path), store_flag, "--json", *flags]
    try:
        code = await asyncio.to_thread(main.main, argv)
        return code, stand_in.store.blobs
    finally:
        await stand_in.stop()


def test_command_publishes_and_prints_the_digest_to_declare(tmp_path, capsys):
    path = tmp_path / "weights.bin"
    path.write_bytes(b"w" * 5 * CHUNK_BYTES)
    flags = ("--model=gear", "--version=7", f"--chunk_bytes={CHUNK_BYTES}")
    code, blobs = asyncio.run(publish_command(path, *flags))
    printed = json.loads(capsys.readouterr().out)
    assert code == 0
    assert printed["chunks"] == 5
    assert printed["sent_chunks"] == 1, "equal chunks are uploaded once"
    manifest = blobs[manifests.manifest_blob_name(printed["digest"])]
    assert manifests.decode(manifest, printed["digest"]).version == "7"


@pytest.mark.parametrize(
    "flags, message",
    [
        (("--model=gear",), "--version"),
        (("--model=gear", "--version=../7"), "version"),
        (("--model=gear", "--version=7", "--chunk_bytes=5"), "chunk_bytes"),
    ],
)
def test_invalid_flag_is_reported_in_one_line(tmp_path, capsys, flags, message):
    path = tmp_path / "weights.bin"
    path.write_bytes(b"w")
    code, blobs = asyncio.run(publish_command(path, *flags))
    error = capsys.readouterr().err
    assert code == 2
    assert message in error
    assert error.count("\n") == 1
    assert not blobs
