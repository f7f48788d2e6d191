"""Authorization for the operators' interface."""

from typing import Any

import litestar

from tillerlane.config import documents
from tillerlane.daemon import core as daemons
from tillerlane.faults import core as faults
from tillerlane.faults import kinds

__all__ = ["authorize"]


def authorize(
    daemon: daemons.Daemon,
    http: litestar.Request[Any, Any, Any],
    role: documents.OperatorRole,
) -> str:
    """Return the name of the operator with this bearer key if it has the role.

    Operators are defined in the daemon's settings and in the configuration in force.

    Raises
    ------
    faults.FaultError
        Of kind ``unauthenticated`` or ``forbidden``.
    """
    scheme, _, key = http.headers.get("authorization", "").partition(" ")
    hashed = documents.hash_key(key.strip()) if scheme.lower() == "bearer" and key else ""
    operators = {**daemon.store.current.operators, **daemon.settings.operators}
    for name, operator in operators.items():
        if hashed in operator.keys:
            if role in operator.roles:
                return name
            daemon.timeline.record("operator.forbidden", operator=name, role=role)
            message = f"operator {name!r} lacks the role {role.value!r}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.FORBIDDEN, message))
    daemon.timeline.record("operator.unauthenticated", role=role)
    message = "expected 'Authorization: Bearer KEY' with the key of an operator"
    raise faults.FaultError(faults.new_fault(kinds.ErrorKind.UNAUTHENTICATED, message))
