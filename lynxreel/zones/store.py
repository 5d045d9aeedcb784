"""Where the fleet's word is kept: one key in etcd, which is only ever replaced by a compare-and-set."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.etcd.client import Client, EtcdError, Options
from lynxreel.log import log
from lynxreel.zones.word import Word, may_replace


@dataclass(frozen=True)
class Plan:
    """A cluster, and the key of the word there."""

    etcd: Options
    key: str


class Store:
    """Reads and replaces the word."""

    def __init__(self, plan: Plan) -> None:
        self._client, self._key = Client(plan.etcd), plan.key.encode()
        self._known = 0, 0  # the word's epoch as it was last read, and the key's revision then
        self.away = False

    async def read(self) -> Word | None:
        """The word that stands; None where it can't be had now."""
        return await self._transact(pb.TxnRequest(success=[self._range()]))

    async def restore(self, word: Word) -> Word | None:
        """Put the word that the fleet goes by where the store has lost it; what stands then."""
        return await self._put(word)

    async def replace(self, word: Word) -> Word | None:
        """Put a word in place of the one before it; what stands then, None where that can't be known.

        Where another one has been written meanwhile, that one stands.
        """
        if not may_replace(self._known[0], word):
            stands = await self.read()  # what it follows was told by another instance
            if stands is None or not may_replace(self._known[0], word):
                return stands
        return await self._put(word)

    async def _put(self, word: Word) -> Word | None:
        _, revision = self._known
        same = pb.Compare(
            key=self._key, target=pb.Compare.MOD, result=pb.Compare.EQUAL, mod_revision=revision
        )
        put = pb.RequestOp(request_put=pb.PutRequest(key=self._key, value=msgspec.json.encode(word)))
        asked = pb.TxnRequest(compare=[same], success=[put, self._range()], failure=[self._range()])
        return await self._transact(asked)

    def _range(self) -> pb.RequestOp:
        return pb.RequestOp(request_range=pb.RangeRequest(key=self._key))

    async def _transact(self, asked: pb.TxnRequest) -> Word | None:
        try:
            done = await self._client.transact(asked)
        except EtcdError as wrong:
            if not self.away:
                log(f"the fleet's word on zones can't be had: {wrong}")
            self.away = True
            return None
        self.away = False
        found = done.responses[-1].response_range.kvs
        if not found:
            self._known = 0, 0
            return Word()
        try:
            word = msgspec.json.decode(found[0].value, type=Word)
        except msgspec.MsgspecError as wrong:
            log(f"the fleet's word on zones can't be read: {wrong}")
            return None
        self._known = word.epoch, found[0].mod_revision
        return word

    def close(self) -> None:
        """The end of the process."""
        self._client.close()
