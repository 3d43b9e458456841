"""Snapshots: the table of replicas beside the state."""

import cbor2

from wigeonford.control._raft_members import (
    ReplicaTable,
    table_from_plain,
    table_to_plain,
)


def pack_snapshot(table: ReplicaTable, state: bytes) -> bytes:
    """Return the content of a snapshot."""
    return cbor2.dumps([table_to_plain(table), state])


def unpack_snapshot(content: bytes) -> tuple[ReplicaTable, bytes]:
    """Return the table of replicas and the state of a snapshot."""
    plain, state = cbor2.loads(content)
    return table_from_plain(plain), state
