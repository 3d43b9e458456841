"""TLS contexts from settings; peers authenticate by certificate."""

import ssl

from wigeonford.settings import Tls


def server_context(
    tls: Tls | None, *, require_peer: bool = False
) -> ssl.SSLContext | None:
    """Return a listener's context, or None without TLS settings.

    `require_peer` makes it require a client certificate.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(tls.root)
    )
    context.load_cert_chain(str(tls.certificate), str(tls.private_key))
    if require_peer:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return a client's context, or None without TLS settings."""
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=str(tls.root))
    context.load_cert_chain(str(tls.certificate), str(tls.private_key))
    return context
