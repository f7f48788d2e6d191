"""Which attempts are the same request: a digest of what it asks for and who asks.

A caller that comes again sends an attempt of its own, with an id of its own, to any entry.  What
does not change is the method, the host, the path with its query, the workspace and the body.
"""

import hashlib

from tillerlane.gateway import http_head

__all__ = ["FINGERPRINT_BYTES", "compute"]

FINGERPRINT_BYTES = 16
"""Two different ones of a million requests have the same with a chance of 1.5 in 10^27."""


def compute(head: http_head.RequestHead, body: bytes, workspace: str) -> str:
    """The fingerprint of a request in hex.

    Headers other than the host do not count: among them are the attempt's id and its deadline.

    Parameters
    ----------
    head : http_head.RequestHead
        The caller's, as it came.
    body : bytes
        All of it, however it was framed.
    workspace : str
        Whose request it is; empty on a public route.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    host = http_head.get_header(head.headers, b"host") or b""
    for part in (head.method, host.lower(), head.target, workspace.encode()):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
