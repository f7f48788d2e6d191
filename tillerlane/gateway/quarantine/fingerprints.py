"""Identifies attempts of the same request by a digest of its content and workspace.

A caller that retries sends a new attempt with a new id, to any entry.  The method, the host, the
path with its query, the workspace and the body stay the same.
"""

import hashlib

from tillerlane.gateway.http import http_head

__all__ = ["FINGERPRINT_BYTES", "compute"]

FINGERPRINT_BYTES = 16
"""Among a million requests, any two share a fingerprint with a probability of 1.5 in 10^27."""


def compute(head: http_head.RequestHead, body: bytes, workspace: str) -> str:
    """Fingerprint of a request in hex.

    Headers other than the host are left out, since they include the attempt's id and deadline.

    Parameters
    ----------
    head : http_head.RequestHead
        Head of the caller's request as received.
    body : bytes
        The complete body, whatever its framing.
    workspace : str
        Workspace of the request; empty on a public route.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    host = http_head.get_header(head.headers, b"host") or b""
    for part in (head.method, host.lower(), head.target, workspace.encode()):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
