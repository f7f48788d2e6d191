"""Quarantine of what makes targets exit: requests, and parts of their prompts.

Modules: `exit_detection` tells whether a target has exited, `fingerprints` which attempts are of
the same request, `suspects` is the table that daemons merge, `guard` decides at one entry what is
sent, and `coordinator` is a keeper's part.  The rules are in `tillerlane.decisions.quarantine`.
"""

__all__ = ["coordinator", "exit_detection", "fingerprints", "guard", "suspects"]
