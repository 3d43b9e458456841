"""Snapshot content: the replica table and the state."""

import cbor2

from wigeonford.control._raft_members import (
    ReplicaTable,
    table_from_plain,
    table_to_plain,
)


def pack_snapshot(table: ReplicaTable, state: bytes) -> bytes:
    """Encode a replica table and a state as snapshot content."""
    return cbor2.dumps([table_to_plain(table), state])


def unpack_snapshot(content: bytes) -> tuple[ReplicaTable, bytes]:
    """Return the replica table and the state of snapshot content."""
    plain, state = cbor2.loads(content)
    return table_from_plain(plain), state
