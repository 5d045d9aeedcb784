"""The HTTP front of an operator file: its description, its keys and how tokens are checked."""

from __future__ import annotations

import hashlib
import json
import re
from ipaddress import ip_network
from pathlib import Path

from lynxreel.config import model
from lynxreel.config.description import EFFECTS, load, misfits
from lynxreel.config.read import ConfigError
from lynxreel.fronts.http import Plan, Serving
from lynxreel.openapi.admission import Admission, Key, Terms, Tokens, customer_number
from lynxreel.openapi.compare import differences
from lynxreel.openapi.compile import DescriptionError
from lynxreel.openapi.repeats import Repeats
from lynxreel.openapi.routes import Table
from lynxreel.protocol.address import read_address
from mothgap.interface import Settings
from mothgap.settings import Names

HASH = re.compile("[0-9a-f]{64}")


def plan(file: model.OperatorFile, names: Names, settings: Settings, before: Plan | None) -> Plan:
    """What is served, and where. Raises ConfigError with every problem found."""
    entry = file.http
    assert entry is not None
    try:
        table = load(Path(entry.description))
    except DescriptionError as wrong:
        raise ConfigError([str(problem) for problem in wrong.problems]) from None
    except OSError as wrong:
        why = f"http.description: {entry.description}: {wrong.strerror}; mend: name a file that can be read"
        raise ConfigError([why]) from None
    digest = _digest(table)
    problems = misfits(table, file)
    if before is not None and before.http_boxes is not table.http_boxes:
        speak = "HTTP in place of RESP2" if table.http_boxes else "RESP2 in place of HTTP"
        problems.append(f"http.description: boxes speak {speak}; mend: restart the instance for that")
    if before is not None and before.serving.digest != digest and entry.confirm != digest:
        problems += [
            f'http.description: {change.text}; mend: take it back, or set http.confirm = "{digest}"'
            for change in differences(before.serving.admission.table, table)
            if change.word
        ]
    if problems:
        raise ConfigError(problems)
    by_effect = {}
    for effect, word in EFFECTS.items():
        fitting = [cls.name for cls in file.classes if cls.effect == word]
        if len(fitting) == 1:
            by_effect[effect] = fitting[0]
    deadlines = {cls.name: cls.deadline_ms for cls in file.classes}
    terms = Terms(names.classes, by_effect, names.plans, deadlines, settings.units_top)
    value = table.documents[next(iter(table.documents))]
    old = str(value["openapi"]).startswith("3.0.")
    admission = Admission(table, old, terms, _keys(entry, names), _tokens(entry))
    policies = [""] * len(settings.plans)
    for held in file.plans:
        if held.rate > 0:
            window = held.burst / held.rate
            policies[names.plans[held.name]] = f'"{held.name}";q={held.burst:g};w={window:.0f}'
    serving = Serving(
        admission,
        Repeats(entry.repeat_keys, entry.repeat_ms / 1e3),
        file.view.max_gateways,
        _by_place(names.classes, len(settings.classes)),
        _by_place(names.plans, len(settings.plans)),
        tuple(policies),
        digest,
        tuple(ip_network(text) for text in entry.trusted_proxies),
    )
    return Plan(tuple(read_address(address) for address in entry.listen), serving)


def _by_place(places: dict[str, int], count: int) -> tuple[bytes, ...]:
    found = [b""] * count
    for name, place in places.items():
        found[place] = name.encode()
    return tuple(found)


def _digest(table: Table) -> str:
    text = json.dumps(table.documents, sort_keys=True, default=str)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def _keys(entry: model.Http, names: Names) -> dict[str, Key]:
    """Customers by the hash of their keys."""
    if not entry.keys_file:
        return {}
    where = f"http.keys_file: {entry.keys_file}"
    try:
        held = json.loads(Path(entry.keys_file).read_bytes())
    except (OSError, ValueError) as wrong:
        raise ConfigError([f"{where}: {wrong}; mend: write a JSON object"]) from None
    problems, found = [], {}
    for number, (name, value) in enumerate(held.items() if isinstance(held, dict) else ()):
        place = f"{where}: entry {number + 1}"  # its name is as good as a key to who reads the log
        given = value if isinstance(value, dict) else {}
        customer, plan_name = given.get("customer"), given.get("plan", "")
        if not HASH.fullmatch(name):
            problems.append(f"{place}: is under no SHA-256; mend: write the key's, in hex")
        elif not isinstance(customer, str) or not customer or not given.keys() <= {"customer", "plan"}:
            problems.append(f"{place}: has no customer; mend: write customer, and plan or nothing more")
        elif plan_name and plan_name not in names.plans:
            problems.append(f"{place}: plan {plan_name!r} is none; mend: name one of the operator file")
        else:
            found[name] = Key(customer_number(customer), plan_name)
    if not isinstance(held, dict):
        problems.append(f"{where}: is no object; mend: write a JSON object")
    if problems:
        raise ConfigError(problems)
    return found


def _tokens(entry: model.Http) -> Tokens | None:
    if not entry.token_key_file:
        return None
    try:
        key = Path(entry.token_key_file).read_bytes().strip()
    except OSError as wrong:
        why = f"http.token_key_file: {wrong.strerror}; mend: name a file that can be read"
        raise ConfigError([why]) from None
    return Tokens(key, entry.token_algorithms, entry.token_audience, entry.token_issuer)
