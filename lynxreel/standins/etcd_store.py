"""What an etcd keeps, without I/O: keys with their revisions, transactions, leases, compaction.

Source: etcd's published API reference and its Go client's documentation, version 3.5. Values are messages of
`lynxreel.etcd.rpc_pb2`; errors are StoreError with etcd's own words and gRPC status names.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lynxreel.etcd import rpc_pb2 as pb

MOST_OPERATIONS = 128  # in one transaction, as etcd's --max-txn-ops


class StoreError(Exception):
    """A call is turned away; `status` is the name of a gRPC status."""

    def __init__(self, status: str, text: str) -> None:
        self.status = status
        super().__init__(f"etcdserver: {text}")


COMPACTED = ("OUT_OF_RANGE", "mvcc: required revision has been compacted")
FUTURE = ("OUT_OF_RANGE", "mvcc: required revision is a future revision")


@dataclass
class Lease:
    """A life that keys can share. Times are seconds."""

    ttl: int
    until: float
    keys: set[bytes] = field(default_factory=set)


@dataclass
class _Key:
    """All versions of one key that are kept; None is a deletion."""

    revisions: list[int] = field(default_factory=list)
    values: list[pb.KeyValue | None] = field(default_factory=list)

    def at(self, revision: int) -> pb.KeyValue | None:
        place = bisect_right(self.revisions, revision) - 1
        return self.values[place] if place >= 0 else None


class Store:
    """One cluster's keys. `changed` is called after each revision."""

    def __init__(self, now: Callable[[], float], seed: int = 1) -> None:
        self.cluster, self.member = 0xC0DE0000 + seed, 0xA0000000 + seed
        self.revision, self.compacted = 1, 0
        self.leases: dict[int, Lease] = {}
        self.log: list[tuple[int, list[pb.Event]]] = []  # each revision's events, since the compaction
        self.changed: Callable[[], None] = lambda: None
        self._keys: dict[bytes, _Key] = {}
        self._sorted: list[bytes] | None = []
        self._now, self._random = now, random.Random(seed)

    def header(self) -> pb.ResponseHeader:
        """As of now."""
        return pb.ResponseHeader(
            cluster_id=self.cluster, member_id=self.member, revision=self.revision, raft_term=2
        )

    # --- reads ------------------------------------------------------------------------------------------

    def _names(self, key: bytes, end: bytes) -> list[bytes]:
        """Names in a range: one key, from a key on (end of one zero byte), or up to an end."""
        if not end:
            return [key] if key in self._keys else []
        if self._sorted is None:
            self._sorted = sorted(self._keys)
        if end == b"\0":
            return self._sorted[bisect_right(self._sorted, key) - (key in self._keys) :]
        first = bisect_right(self._sorted, key) - (key in self._keys)
        last = bisect_right(self._sorted, end) - (end in self._keys)
        return self._sorted[first:last]

    def range(self, asked: pb.RangeRequest) -> pb.RangeResponse:
        """Keys of a range, at a revision."""
        if not asked.key:
            raise StoreError("INVALID_ARGUMENT", "key is not provided")
        if asked.revision > self.revision:
            raise StoreError(*FUTURE)
        if 0 < asked.revision < self.compacted:
            raise StoreError(*COMPACTED)
        at = asked.revision or self.revision
        found = [kv for name in self._names(asked.key, asked.range_end) if (kv := self._keys[name].at(at))]
        answer = pb.RangeResponse(header=self.header(), count=len(found))
        if asked.count_only:
            return answer
        found = [kv for kv in found if _within(asked, kv)]
        if asked.sort_order or asked.sort_target:
            fields = ("key", "version", "create_revision", "mod_revision", "value")
            name = fields[asked.sort_target]
            descend = asked.sort_order == pb.RangeRequest.DESCEND
            found.sort(key=lambda kv: getattr(kv, name), reverse=descend)
        if asked.limit and len(found) > asked.limit:
            answer.more, found = True, found[: asked.limit]
        for kv in found:
            put = answer.kvs.add()
            put.CopyFrom(kv)
            if asked.keys_only:
                put.ClearField("value")
        return answer

    # --- writes -----------------------------------------------------------------------------------------

    def put(self, asked: pb.PutRequest) -> pb.PutResponse:
        """One key, as a revision of its own."""
        answer = self.transact(pb.TxnRequest(success=[pb.RequestOp(request_put=asked)]))
        return answer.responses[0].response_put

    def delete(self, asked: pb.DeleteRangeRequest) -> pb.DeleteRangeResponse:
        """A range, as a revision of its own."""
        answer = self.transact(pb.TxnRequest(success=[pb.RequestOp(request_delete_range=asked)]))
        return answer.responses[0].response_delete_range

    def transact(self, asked: pb.TxnRequest) -> pb.TxnResponse:
        """Compares, then one list of operations: all of them as one revision, or none."""
        self._check(asked, set())
        events: list[pb.Event] = []
        answer = self._run(asked, events)
        self._commit(events)
        self._stamp(answer)
        return answer

    def _stamp(self, answer: pb.TxnResponse) -> None:
        answer.header.CopyFrom(self.header())
        for part in answer.responses:
            which = part.WhichOneof("response")
            if which == "response_txn":
                self._stamp(part.response_txn)
            elif which is not None:
                getattr(part, which).header.CopyFrom(self.header())

    def _check(self, asked: pb.TxnRequest, put: set[bytes]) -> None:
        """What etcd turns away before anything is done."""
        if max(len(asked.compare), len(asked.success), len(asked.failure)) > MOST_OPERATIONS:
            raise StoreError("INVALID_ARGUMENT", "too many operations in txn request")
        for operations in (asked.success, asked.failure):
            seen = set(put)
            for operation in operations:
                which = operation.WhichOneof("request")
                if which == "request_put":
                    key, lease = operation.request_put.key, operation.request_put.lease
                    if not key:
                        raise StoreError("INVALID_ARGUMENT", "key is not provided")
                    if key in seen:
                        raise StoreError("INVALID_ARGUMENT", "duplicate key given in txn request")
                    if lease and lease not in self.leases:
                        raise StoreError("NOT_FOUND", "requested lease not found")
                    if operation.request_put.ignore_value and self._current(key) is None:
                        raise StoreError("INVALID_ARGUMENT", "key not found")
                    seen.add(key)
                elif which == "request_delete_range" and not operation.request_delete_range.key:
                    raise StoreError("INVALID_ARGUMENT", "key is not provided")
                elif which == "request_txn":
                    self._check(operation.request_txn, seen)

    def _run(self, asked: pb.TxnRequest, events: list[pb.Event]) -> pb.TxnResponse:
        held = all(self._holds(compare) for compare in asked.compare)
        answer = pb.TxnResponse(succeeded=held)
        for operation in asked.success if held else asked.failure:
            part, which = answer.responses.add(), operation.WhichOneof("request")
            if which == "request_range":
                part.response_range.CopyFrom(self.range(operation.request_range))
            elif which == "request_put":
                part.response_put.CopyFrom(self._put(operation.request_put, events))
            elif which == "request_delete_range":
                part.response_delete_range.CopyFrom(self._delete(operation.request_delete_range, events))
            elif which == "request_txn":
                part.response_txn.CopyFrom(self._run(operation.request_txn, events))
        return answer

    def _holds(self, compare: pb.Compare) -> bool:
        names = self._names(compare.key, compare.range_end) if compare.range_end else [compare.key]
        which = compare.WhichOneof("target_union")
        fields = ("version", "create_revision", "mod_revision", "value", "lease")
        name = fields[compare.target]
        for key in names:
            kv = self._current(key)
            if kv is None and name == "value":
                return False  # a key that is not there has no value to compare
            mine = getattr(kv or pb.KeyValue(), name)
            wanted = getattr(compare, name) if which == name else type(mine)()
            order = (mine > wanted) - (mine < wanted)
            held = {
                pb.Compare.EQUAL: order == 0,
                pb.Compare.GREATER: order > 0,
                pb.Compare.LESS: order < 0,
                pb.Compare.NOT_EQUAL: order != 0,
            }[compare.result]
            if not held:
                return False
        return True

    def _current(self, key: bytes) -> pb.KeyValue | None:
        held = self._keys.get(key)
        return held.values[-1] if held is not None and held.values else None

    def _put(self, asked: pb.PutRequest, events: list[pb.Event]) -> pb.PutResponse:
        before, revision = self._current(asked.key), self.revision + 1
        kv = pb.KeyValue(
            key=asked.key,
            value=asked.value,
            lease=asked.lease,
            mod_revision=revision,
            create_revision=before.create_revision if before else revision,
            version=before.version + 1 if before else 1,
        )
        if before is not None and asked.ignore_value:
            kv.value = before.value
        if before is not None and asked.ignore_lease:
            kv.lease = before.lease
        self._set(asked.key, kv, before)
        events.append(pb.Event(type=pb.Event.PUT, kv=kv, prev_kv=before))
        return pb.PutResponse(prev_kv=before if asked.prev_kv else None)

    def _delete(self, asked: pb.DeleteRangeRequest, events: list[pb.Event]) -> pb.DeleteRangeResponse:
        answer = pb.DeleteRangeResponse()
        for name in list(self._names(asked.key, asked.range_end)):
            before = self._current(name)
            if before is None:
                continue
            self._set(name, None, before)
            gone = pb.KeyValue(key=name, mod_revision=self.revision + 1)
            events.append(pb.Event(type=pb.Event.DELETE, kv=gone, prev_kv=before))
            answer.deleted += 1
            if asked.prev_kv:
                answer.prev_kvs.add().CopyFrom(before)
        return answer

    def _set(self, key: bytes, kv: pb.KeyValue | None, before: pb.KeyValue | None) -> None:
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(key)
        if kv is not None and kv.lease in self.leases:
            self.leases[kv.lease].keys.add(key)
        if key not in self._keys:
            self._keys[key], self._sorted = _Key(), None
        held, revision = self._keys[key], self.revision + 1
        if held.revisions and held.revisions[-1] == revision:
            held.values[-1] = kv  # deleted and put back in one transaction
        else:
            held.revisions.append(revision)
            held.values.append(kv)

    def _commit(self, events: list[pb.Event]) -> None:
        if not events:
            return
        self.revision += 1
        self.log.append((self.revision, events))
        self.changed()

    def compact(self, revision: int) -> None:
        """Forget what was before a revision."""
        if revision <= self.compacted:
            raise StoreError(*COMPACTED)
        if revision > self.revision:
            raise StoreError(*FUTURE)
        self.compacted = revision
        self.log = [entry for entry in self.log if entry[0] >= revision]
        for name, held in list(self._keys.items()):
            place = max(0, bisect_right(held.revisions, revision) - 1)
            del held.revisions[:place], held.values[:place]
            if held.revisions[0] <= revision and held.values[0] is None:
                del held.revisions[:1], held.values[:1]
            if not held.revisions:
                del self._keys[name]
                self._sorted = None

    def restore(self, revision: int) -> None:
        """Go back to an older revision, as a backup that is put back does; what came after never was."""
        if revision < self.compacted:
            raise StoreError(*COMPACTED)
        for name, held in list(self._keys.items()):
            place = bisect_right(held.revisions, revision)
            del held.revisions[place:], held.values[place:]
            if not held.revisions:
                del self._keys[name]
        self._sorted = None
        self.revision = revision
        self.log = [entry for entry in self.log if entry[0] <= revision]
        for lease in self.leases.values():
            lease.keys.clear()
        for name in self._keys:
            kv = self._current(name)
            if kv is not None and kv.lease in self.leases:
                self.leases[kv.lease].keys.add(name)

    # --- leases -----------------------------------------------------------------------------------------

    def grant(self, number: int, ttl: int) -> tuple[int, int]:
        """A lease's number and its seconds."""
        if number in self.leases:
            raise StoreError("FAILED_PRECONDITION", "lease already exists")
        number = number or self._random.randrange(1, 1 << 62)
        self.leases[number] = Lease(max(1, ttl), self._now() + max(1, ttl))
        return number, max(1, ttl)

    def keep_alive(self, number: int) -> int:
        """Its seconds from now; 0 for one that has ended."""
        lease = self.leases.get(number)
        if lease is None:
            return 0
        lease.until = self._now() + lease.ttl
        return lease.ttl

    def revoke(self, number: int) -> None:
        """End a lease: its keys go in one revision."""
        if number not in self.leases:
            raise StoreError("NOT_FOUND", "requested lease not found")
        events: list[pb.Event] = []
        for key in sorted(self.leases[number].keys):
            self._delete(pb.DeleteRangeRequest(key=key), events)
        del self.leases[number]
        self._commit(events)

    def expire(self, late: float = 0.0) -> None:
        """End the leases whose time is over, so many seconds late."""
        now = self._now()
        for number in [n for n, lease in self.leases.items() if lease.until + late <= now]:
            self.revoke(number)

    # --- watches ----------------------------------------------------------------------------------------

    def since(self, revision: int, key: bytes, end: bytes) -> list[tuple[int, list[pb.Event]]]:
        """Events of a range from a revision on, by revision."""
        first = bisect_right(self.log, revision - 1, key=lambda entry: entry[0])
        found = []
        for number, events in self.log[first:]:
            inside = [event for event in events if _covers(key, end, event.kv.key)]
            if inside:
                found.append((number, inside))
        return found


def _covers(key: bytes, end: bytes, name: bytes) -> bool:
    if not end:
        return name == key
    return name >= key and (end == b"\0" or name < end)


def _within(asked: pb.RangeRequest, kv: pb.KeyValue) -> bool:
    return (
        (not asked.min_mod_revision or kv.mod_revision >= asked.min_mod_revision)
        and (not asked.max_mod_revision or kv.mod_revision <= asked.max_mod_revision)
        and (not asked.min_create_revision or kv.create_revision >= asked.min_create_revision)
        and (not asked.max_create_revision or kv.create_revision <= asked.max_create_revision)
    )


def size(events: Iterable[pb.Event]) -> int:
    """Bytes that events take in a message."""
    return sum(event.ByteSize() for event in events)
