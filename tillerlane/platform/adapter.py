"""The platform's dialect, assembled from the functions of this folder."""

from tillerlane.gateway import dialect
from tillerlane.platform import calls, wire

__all__ = ["build_dialect"]


def build_dialect() -> dialect.Dialect:
    """The protocol of the platform's callers and targets."""
    return dialect.Dialect(
        decode_request=wire.decode_request,
        build_forward=wire.build_forward,
        decode_response=wire.decode_response,
        build_refusal=wire.build_refusal,
        parse_table=wire.parse_table,
        copy_run=calls.copy_run,
        stop_run=calls.stop_run,
        drop_copy=calls.drop_copy,
        reserve_memory=calls.reserve_memory,
        drop_reservation=calls.drop_reservation,
        read_report=calls.read_report,
        check_target=calls.check_target,
    )
