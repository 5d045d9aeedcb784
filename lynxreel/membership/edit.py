"""Builds the etcd transaction for a change of boxes; it succeeds only if no key was changed meanwhile."""

from __future__ import annotations

import json
from collections.abc import Iterable

from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.membership.core import Box
from lynxreel.membership.document import DocumentError, read_box, write_box

MAX_OPERATIONS = 128  # operations per transaction; etcd's default (--max-txn-ops)


class EditError(ValueError):
    """The change can't be made; nothing has been written."""


def drain_transaction(box_id: str, kv: pb.KeyValue | None) -> pb.TxnRequest | None:
    """Set a box to draining, and nothing else; None if it is already. Raises EditError."""
    if kv is None:
        raise EditError(f"{box_id}: there is no such box")
    try:
        read_box(box_id, kv.value)
    except DocumentError as error:
        raise EditError(f"{box_id}: its value can't be read: {error}; put it anew") from None
    value = json.loads(kv.value)
    if value.get("state") == "draining":
        return None
    return _transaction([kv], [], [_put(kv.key, json.dumps({**value, "state": "draining"}).encode(), kv)])


def replace_transaction(
    prefix: bytes, found: Iterable[pb.KeyValue], boxes: list[Box]
) -> pb.TxnRequest | None:
    """Replace `found`, the keys under a prefix, by these boxes; None if they are equal. Raises EditError."""
    existing = {kv.key: kv for kv in found}
    wanted = {prefix + box.id.encode(): write_box(box) for box in boxes}
    unchanged = {
        key for key, kv in existing.items() if key in wanted and _same(key[len(prefix) :], kv, wanted[key])
    }
    changed = [kv for key, kv in existing.items() if key not in unchanged]
    new = [key for key in wanted if key not in existing]
    operations = [
        _put(key, value, existing.get(key)) for key, value in wanted.items() if key not in unchanged
    ]
    for key in existing:
        if key not in wanted:
            operations.append(pb.RequestOp(request_delete_range=pb.DeleteRangeRequest(key=key)))
    if len(operations) > MAX_OPERATIONS:
        raise EditError(
            f"{len(operations)} boxes would change; etcd takes {MAX_OPERATIONS} in one transaction"
        )
    return _transaction(changed, new, operations) if operations else None


def _same(box_id: bytes, kv: pb.KeyValue, value: bytes) -> bool:
    try:
        return write_box(read_box(box_id.decode("utf-8", "replace"), kv.value)) == value
    except DocumentError:
        return False


def _put(key: bytes, value: bytes, previous: pb.KeyValue | None) -> pb.RequestOp:
    return pb.RequestOp(request_put=pb.PutRequest(key=key, value=value, ignore_lease=previous is not None))


def _transaction(
    expected: Iterable[pb.KeyValue], new: Iterable[bytes], operations: list[pb.RequestOp]
) -> pb.TxnRequest:
    compare = [
        pb.Compare(key=kv.key, target=pb.Compare.MOD, mod_revision=kv.mod_revision) for kv in expected
    ] + [pb.Compare(key=key, target=pb.Compare.MOD, mod_revision=0) for key in new]
    return pb.TxnRequest(compare=compare, success=operations)
