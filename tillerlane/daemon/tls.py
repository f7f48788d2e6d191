"""TLS contexts from settings."""

import ssl

from tillerlane.config import settings

__all__ = ["build_contexts", "reload_contexts"]


def build_contexts(
    tls: settings.Tls | None,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Build the contexts for accepted and for dialed connections between daemons.

    Both sides present a certificate issued by the fleet's authority.  Common names are daemon ids,
    which are checked against ``Hello`` (see `tillerlane.peers.link`), not host names.
    """
    if tls is None:
        return None, None
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.peer_authority)
    server.verify_mode = ssl.CERT_REQUIRED
    client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.peer_authority)
    client.check_hostname = False
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(tls.certificate, tls.private_key)
    return server, client


def reload_contexts(tls: settings.Tls | None, *contexts: ssl.SSLContext | None) -> None:
    """Reload certificate and authority; they apply to new connections."""
    if tls is None:
        return
    for context in contexts:
        if context is not None:
            context.load_cert_chain(tls.certificate, tls.private_key)
            context.load_verify_locations(cafile=tls.peer_authority)
