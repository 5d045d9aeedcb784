"""The HTTP front of a local deployment: a small description, two keys, and calls to try."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

from lynxreel.protocol.address import Address

DESCRIPTION = """\
openapi: 3.0.3
info: {title: Ports, version: "1"}
servers: [{url: /v1}]
security: [{key: []}]
x-lynxreel: {plan: standard}
components:
  securitySchemes:
    key: {type: apiKey, in: header, name: X-Api-Key}
paths:
  /numbers/{number}:
    parameters:
      - {name: number, in: path, required: true, schema: {type: string, maxLength: 20}}
    get:
      operationId: lookup
      x-lynxreel: {class: lookup}
      responses: {"200": {description: who has it}}
  /ports:
    post:
      operationId: port-commit
      x-lynxreel: {class: port-commit, units: 4}
      responses: {"200": {description: done}}
"""
KEYS = {"calm-key": {"customer": "calm"}, "greedy-key": {"customer": "greedy", "plan": "basic"}}


def write(folder: Path, http_boxes: bool = False) -> None:
    """The files that operator files name; `http_boxes`: boxes speak HTTP."""
    server = "{url: /v1, x-lynxreel: {boxes: http, turned_away: [503]}}"
    described = DESCRIPTION.replace("{url: /v1}", server) if http_boxes else DESCRIPTION
    (folder / "api.yaml").write_text(described)
    held = {hashlib.sha256(key.encode()).hexdigest(): whose for key, whose in KEYS.items()}
    (folder / "keys.json").write_text(json.dumps(held, indent=2) + "\n")


def table(folder: Path, listen: Address) -> str:
    """The front's part of an operator file."""
    return f"""
[http]
listen = ["{listen[0]}:{listen[1]}"]
description = "{folder / "api.yaml"}"
keys_file = "{folder / "keys.json"}"
"""


def calls(listen: Address) -> list[str]:
    """A call that is served, and three in a row of which the last is beyond its quota."""
    where = f"http://{listen[0]}:{listen[1]}/v1"
    greedy = f"curl -s -o /dev/null -w '%{{http_code}}\\n' -X POST -H 'X-Api-Key: greedy-key' {where}/ports"
    return [
        f"curl -i -H 'X-Api-Key: calm-key' {where}/numbers/48123456789",
        f"for i in 1 2 3; do {greedy}; done   # 429 once its quota is used",
    ]
