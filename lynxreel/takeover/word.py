"""Ownership decisions: who resumes a pair's requests, by compare-and-set under a lease in etcd."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass

from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.etcd.client import Client, EtcdError, Options
from lynxreel.log import log
from lynxreel.takeover.rights import Pair

OWNER, KEEPER = b"owner", b"keeper"
LEASE_LIVES = 4  # times the longest life of a replica, after which its decision may expire


@dataclass(frozen=True)
class DecisionConfig:
    """The cluster, and the prefix of the keys of ownership decisions."""

    etcd: Options
    prefix: str


class DecisionStore:
    """Writes and reads ownership decisions."""

    def __init__(self, config: DecisionConfig, life: int) -> None:
        """`life`: microseconds after which no replica is left that a decision applies to."""
        self._client, self._prefix = Client(config.etcd), config.prefix
        self._lease_seconds = math.ceil(life * LEASE_LIVES / 1e6)
        self._lease, self._leased_at = 0, -math.inf
        self._unavailable = False

    async def write(self, pair: Pair, as_owner: bool) -> bool | None:
        """Writes a decision unless there is one; returns whether the owner resumes, None if unknown now."""
        name = f"{pair.owner}/{pair.owner_incarnation}/{pair.keeper}/{pair.keeper_incarnation}/{pair.session}"
        key = f"{self._prefix}{name}".encode()
        absent = pb.Compare(key=key, target=pb.Compare.CREATE, result=pb.Compare.EQUAL, create_revision=0)
        try:
            # Renewed after half of its time, so that each decision lives for at least the other half.
            if time.monotonic() - self._leased_at > self._lease_seconds / 2:
                self._leased_at = time.monotonic()
                self._lease = await self._client.grant(self._lease_seconds)
            put = pb.PutRequest(key=key, value=OWNER if as_owner else KEEPER, lease=self._lease)
            get = pb.RequestOp(request_range=pb.RangeRequest(key=key))
            request = pb.TxnRequest(compare=[absent], success=[pb.RequestOp(request_put=put)], failure=[get])
            response = await self._client.transact(request)
        except EtcdError as error:
            if not self._unavailable:
                log(f"the ownership decision on {name} is unavailable: {error}")
            self._unavailable, self._leased_at = True, -math.inf
            return None
        self._unavailable = False
        if response.succeeded:
            return as_owner
        found = response.responses[0].response_range.kvs
        return found[0].value == OWNER if found else None

    def close(self) -> None:
        """Closes the connection to the cluster."""
        self._client.close()
