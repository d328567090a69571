"""Tests of TLS between processes: accepted peers and invalid files."""

import pytest
import trustme

from clementinegw import exceptions
from clementinegw import types
from clementinegw.daemons import tls
from clementinegw.settings import model
from clementinegw.wire import auth
from clementinegw.wire import connection

KEY = auth.single_key_ring(b"0123456789abcdef")


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    path = tmp_path_factory.mktemp("tls")
    authority = trustme.CA()
    authority.cert_pem.write_to_path(path / "ca.pem")
    _issue(authority, path, "node")
    _issue(trustme.CA(), path, "stranger")
    return path


def _issue(authority, path, name):
    issued = authority.issue_cert(f"{name}.test")
    issued.private_key_pem.write_to_path(path / f"{name}.key")
    issued.cert_chain_pems[0].write_to_path(path / f"{name}.pem")


def _files(folder, name):
    return model.TlsFiles(
        certificate=str(folder / f"{name}.pem"),
        key=str(folder / f"{name}.key"),
        authority=str(folder / "ca.pem"),
    )


def _endpoint(name, files):
    identity = connection.Identity(
        name, types.Role.ENTRY, types.Place("r", "d")
    )
    contexts = None if files is None else tls.make_contexts(files)
    return connection.Endpoint(identity, KEY, tls=contexts)


async def _listening(folder):
    server = _endpoint("a", _files(folder, "node"))
    return server, await server.listen(types.Address("127.0.0.1", 0))


async def test_peers_of_the_same_authority_connect(folder):
    server, address = await _listening(folder)
    client = _endpoint("b", _files(folder, "node"))
    assert (await client.connect(address)).peer.instance_id == "a"
    await client.close()
    await server.close()


@pytest.mark.parametrize("name", [None, "stranger"])
async def test_peer_without_the_authoritys_certificate_is_refused(folder, name):
    """Guards against a listener that accepts any connection.

    A process that has the deployment's key, but connects with plain TCP or with
    a certificate of another authority, could then read weights and answers.
    """
    server, address = await _listening(folder)
    client = _endpoint("b", _files(folder, name) if name else None)
    with pytest.raises(exceptions.ConnectionLost):
        await client.connect(address)
    assert server.connections() == []
    await client.close()
    await server.close()


def test_error_names_the_missing_file(folder):
    with pytest.raises(exceptions.SettingsError, match="nobody.pem"):
        tls.make_contexts(_files(folder, "nobody"))
