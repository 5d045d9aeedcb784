"""CPU a request by HTTP, beside the RESP2 front and a bare relay on the same HTTP library."""

from __future__ import annotations

import hashlib
import json
import socket
from statistics import median

from bench.load import CUSTOMERS
from bench.rig import Rig, cpu, load
from lynxreel.local.deployment import HOST

BOXES, CONNECTIONS, SECONDS = 40, 32, 3.0
DESCRIPTION = """\
openapi: 3.0.3
info: {title: t, version: "1"}
servers: [{url: /v1}]
security: [{key: []}]
x-lynxreel: {plan: free, class: lookup}
components: {securitySchemes: {key: {type: apiKey, in: header, name: X-Api-Key}}}
paths:
  /numbers/{number}:
    parameters: [{name: number, in: path, required: true, schema: {type: integer}}]
    get: {operationId: lookup, responses: {"200": {description: fine}}}
"""


def measure(rounds: int) -> None:
    """All in turn."""
    what = f"{BOXES} boxes, {CONNECTIONS} connections, {rounds} rounds of {SECONDS:g} s"
    print(f"http_cost: CPU a request, {what}")
    spent: dict[str, list[float]] = {}
    with Rig() as rig:
        peers = rig.peers(BOXES)
        with socket.create_server((HOST, 0)) as free:
            web = f"{HOST}:{free.getsockname()[1]}"
        (rig.folder / "api.yaml").write_text(DESCRIPTION)
        hashes = [hashlib.sha256(b"key-%d" % number).hexdigest() for number in range(CUSTOMERS)]
        keys = {name: {"customer": f"{number:016x}"} for number, name in enumerate(hashes)}
        (rig.folder / "keys.json").write_text(json.dumps(keys))
        by_http = DESCRIPTION.replace("{url: /v1}", "{url: /v1, x-lynxreel: {boxes: http}}")
        (rig.folder / "by_http.yaml").write_text(by_http)
        table = f"""[counter]
address = "{peers["counter"]}"
[http]
listen = ["{web}"]
description = "{rig.folder / "api.yaml"}"
keys_file = "{rig.folder / "keys.json"}"
"""
        gateway, listen, _ = rig.gateway(peers, counter=table)
        with socket.create_server((HOST, 0)) as free:
            other = f"{HOST}:{free.getsockname()[1]}"
        table = table.replace("api.yaml", "by_http.yaml").replace(web, other)
        through, _, _ = rig.gateway(peers, counter=table)
        relay, told = rig.told("bench.http_relay", peers["counter"], *peers["boxes"])
        sides = {
            "http": (gateway, web, "bench.http_load"),
            "http, http boxes": (through, other, "bench.http_load"),
            "resp2": (gateway, listen, "bench.load"),
            "http relay": (relay, told["listen"], "bench.http_load"),
        }
        for _, address, by in sides.values():
            load(1.0, CONNECTIONS, [address], by=by)  # warm
        for _ in range(rounds):
            for name, (process, address, by) in sides.items():
                before = cpu(process.pid)
                counts = load(SECONDS, CONNECTIONS, [address], by=by)
                answered = counts["served"] + counts["refused"]
                assert counts["refused"] < 0.01 * answered, counts
                spent.setdefault(name, []).append((cpu(process.pid) - before) / answered * 1e6)
    for name, found in spent.items():
        print(f"  {name:16} {median(found):6.0f} µs a request ({min(found):.0f} to {max(found):.0f})")
    for name, other in (("http", "resp2"), ("http", "http relay"), ("http, http boxes", "http")):
        ratios = [a / b for a, b in zip(spent[name], spent[other], strict=True)]
        print(f"  {name} to {other}: {median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})")
