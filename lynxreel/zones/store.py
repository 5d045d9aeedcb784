"""Stores the fleet's zone decision: one key in etcd, which is only ever replaced by a compare-and-set."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.etcd.client import Client, EtcdError, Options
from lynxreel.log import log
from lynxreel.zones.word import ZoneDecision, may_replace


@dataclass(frozen=True)
class Plan:
    """The etcd cluster, and the key of the decision."""

    etcd: Options
    key: str


class Store:
    """Reads and replaces the decision."""

    def __init__(self, plan: Plan) -> None:
        self._client, self._key = Client(plan.etcd), plan.key.encode()
        self._last_read = 0, 0  # the decision's epoch and the key's revision at the last read
        self.away = False  # the last request failed

    async def read(self) -> ZoneDecision | None:
        """Returns the stored decision, or None if the request failed."""
        return await self._transact(pb.TxnRequest(success=[self._range()]))

    async def restore(self, decision: ZoneDecision) -> ZoneDecision | None:
        """Writes back the decision that the store has lost; returns what is stored then, None on failure."""
        return await self._put(decision)

    async def replace(self, decision: ZoneDecision) -> ZoneDecision | None:
        """Replaces the stored decision by the next one; returns what is stored then, None on failure.

        If another instance has written meanwhile, its decision is kept and returned.
        """
        if not may_replace(self._last_read[0], decision):
            in_store = await self.read()  # the decision before it came from another instance
            if in_store is None or not may_replace(self._last_read[0], decision):
                return in_store
        return await self._put(decision)

    async def _put(self, decision: ZoneDecision) -> ZoneDecision | None:
        _, revision = self._last_read
        unchanged = pb.Compare(
            key=self._key, target=pb.Compare.MOD, result=pb.Compare.EQUAL, mod_revision=revision
        )
        put = pb.RequestOp(request_put=pb.PutRequest(key=self._key, value=msgspec.json.encode(decision)))
        request = pb.TxnRequest(compare=[unchanged], success=[put, self._range()], failure=[self._range()])
        return await self._transact(request)

    def _range(self) -> pb.RequestOp:
        return pb.RequestOp(request_range=pb.RangeRequest(key=self._key))

    async def _transact(self, request: pb.TxnRequest) -> ZoneDecision | None:
        try:
            response = await self._client.transact(request)
        except EtcdError as error:
            if not self.away:
                log(f"the fleet's word on zones can't be had: {error}")
            self.away = True
            return None
        self.away = False
        found = response.responses[-1].response_range.kvs
        if not found:
            self._last_read = 0, 0
            return ZoneDecision()
        try:
            decision = msgspec.json.decode(found[0].value, type=ZoneDecision)
        except msgspec.MsgspecError as error:
            log(f"the fleet's word on zones can't be read: {error}")
            return None
        self._last_read = decision.epoch, found[0].mod_revision
        return decision

    def close(self) -> None:
        """Closes the connection to etcd."""
        self._client.close()
