"""TLS between our processes, where the platform gives certificates.

Both sides show a certificate of the deployment's own authority. Instances are
reached by IP numbers that change with every replacement, so names are not
checked: who a peer is, the handshake of `wire` proves by the deployment's key.
"""

import ssl

from clementinegw import exceptions
from clementinegw.settings import model as model_lib


def make_contexts(
    files: model_lib.TlsFiles,
) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Returns the contexts for listening and for connecting.

    Raises:
      exceptions.SettingsError: A file cannot be read or does not fit.
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
