"""Creates TLS contexts for connections between processes.

Used where the platform provides certificates. Both sides present a certificate
of the deployment's own certificate authority. Instances are addressed by IP
addresses that change with every replacement, so host names are not checked: the
handshake of `wire` proves a peer's identity with the deployment's key.
"""

import ssl

from clementinegw import exceptions
from clementinegw.settings import model as model_lib


def make_contexts(
    files: model_lib.TlsFiles,
) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Returns the contexts for listening and for connecting.

    Raises:
      exceptions.SettingsError: A file cannot be read or is invalid.
    """
    listen = _context(ssl.PROTOCOL_TLS_SERVER, files)
    connect = _context(ssl.PROTOCOL_TLS_CLIENT, files)
    return listen, connect


def _context(protocol: int, files: model_lib.TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        raise exceptions.SettingsError(
            f"tls: expected PEM files for {files.certificate}, {files.key} "
            f"and {files.authority}: {error.strerror or error}"
        ) from None
    return context
