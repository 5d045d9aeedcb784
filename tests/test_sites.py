"""Every deployment in deploy/sites is read as the platform tells it; its names mean what it says alone."""

import random
import tomllib
from pathlib import Path
from typing import Any

import pytest

from lynxreel.__main__ import read_deployment
from lynxreel.fronts.resp2 import InvalidCall, Call, CallRules
from mothgap.interface import Effect, Group, Refuse, Send
from mothgap.settings import read_settings
from tests.helpers import MS, SECOND, Driver
from tests.net import CUSTOMER

FOLDER = Path(__file__).parent.parent / "deploy/sites"
SITES = sorted(path.stem for path in FOLDER.glob("*.toml"))
EFFECTS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}


def site(name: str) -> dict[str, Any]:
    """A deployment's own file."""
    with (FOLDER / f"{name}.toml").open("rb") as file:
        return tomllib.load(file)


def least(value: Any) -> Any:
    """The lower end of a range, or the value."""
    return value[0] if isinstance(value, list) else value


def request_class(told: dict[str, Any]) -> dict[str, Any]:
    """A class as the settings have it."""
    return {
        "name": told["name"], "effect": EFFECTS[told["effect"]], "group": told.get("group", "all"),
        "goalTimeUs": told["aim_ms"] * MS, "giveUpUs": told["deadline_ms"] * MS, "gain": told["worth"],
        "lateWorth": told["late_worth"], "windowUs": told.get("window_ms", 5_000) * MS,
    }  # fmt: skip


def plan(name: str, told: dict[str, Any]) -> dict[str, Any]:
    """A plan as the settings have it."""
    rate, burst = least(told["rate"]), least(told["rate"]) * least(told["burst_s"])
    ceiling = least(told.get("ceiling", 0))
    return {
        "name": name, "quotaRate": rate, "mostAtOnce": max(burst, 16.0), "pays": told["price"],
        "beyondEarns": told["over_worth"], "overCost": told["over_cost"], "neverOverRate": rate * ceiling,
        "ceilingBurst": max(burst, 16.0) * ceiling, "hardSlack": burst * ceiling * 0.1,
        "concurrency": 4 if told.get("limits") in ("open", "both") else 0,
    }  # fmt: skip


def settings(told: dict[str, Any]) -> dict[str, Any]:
    """The settings object of a day at this deployment, by the platform's names."""
    allow, rules, fam, tier = told["allow"], told["rules"], told["fam"], told["tier"][0]
    cold = [kind["cold_from"] for kind in tier["kind"]], [kind["cold_s"] for kind in tier["kind"]]
    plans = [plan(t["name"], p) for t, p in zip(told["tenant"], fam["plan"], strict=True)]
    return {
        "areas": told["net"]["zones"], "kinds": [kind["name"] for kind in tier["kind"]],
        "classes": [request_class(each) for each in told["class"]], "packages": plans,
        "fleetSize": least(told["scale"]["balancers"]), "selfIndex": 0, "zone": 0,
        "tickUs": told["day"]["tick_ms"] * MS, "weights": tier["weights"].replace("none", "off"),
        "registryMode": {"push": "automatic", "ask": "subscribe"}[told["discovery"]["mode"]],
        "clients": {"marksRetry": told["clients"]["marks_retry"]},
        "report": {"via": {"answers": "inline", "probe": "on_probe"}[tier["report"]["how"]],
                   "fields": tier["report"]["fields"]},
        "extra": {"counter": fam["counter"], "countLimitUs": fam["counter_timeout_ms"] * MS,
                  "callPrice": fam["counter_price"], "unitsTop": fam["most_units"]},
        "prices": {"handshake": told["prices"].get("handshake", 0.0)},
        "limits": {
            "maxAttempts": allow["max_attempts"], "secondCopies": allow["second_copies"],
            "mayCancel": allow["cancel"], "probing": allow["probes"], "peers": allow["peers"],
            "retryAfter": allow["retry_after"], "maxRetryAfterUs": told["clients"]["max_retry_after_ms"] * MS,
            "connIdleUs": tier["conn"]["idle_s"] * SECOND,
            "connectTimeoutUs": tier["conn"]["connect_timeout_ms"] * MS,
        },
        "safety": {
            "answerSlackUs": 8 * MS, "stopSendingWithinUs": rules["drain_grace_ms"] * MS,
            "coldFrom": min(map(least, cold[0])), "coldUs": max(s for _, s in cold[1]) * SECOND,
            "tipMultiple": rules["fall_multiple"], "fallUs": rules["fall_ms"] * MS,
            "askWithinUs": 10 * SECOND,
        },
    }  # fmt: skip


def config(name: str) -> dict[str, Any]:
    """What the platform tells a gateway there."""
    return {
        "listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "counter": "127.0.0.1:6400",
        "limits": {"sockets": 512, "memory_mb": 96}, "settings": settings(site(name)),
    }  # fmt: skip


def accepts(terms: CallRules, command: bytes, cls: str, plan_name: str) -> bool:
    """Whether a call of this class and plan is one."""
    words = [command, CUSTOMER, b"1", f"c={cls},t={plan_name},d=900".encode()]
    try:
        Call(None).parse(words + [b"BODY"] * (command == b"CALL.POST"), terms)  # type: ignore[arg-type]
    except InvalidCall:
        return False
    return True


def test_there_are_deployments_and_what_plays_them_lies_beside() -> None:
    assert len(SITES) >= 2
    assert all((FOLDER / name).is_file() for name in ("real.json", "wire.json", "unlock.txt"))
    assert all(site(name)["name"] == name for name in SITES)


@pytest.mark.parametrize("name", SITES)
def test_a_deployment_is_read_whole(name: str) -> None:
    told, deployment = site(name), read_deployment(config(name))
    classes, plans = told["class"], told["tenant"]
    assert list(deployment.names.classes) == [each["name"] for each in classes]
    assert list(deployment.names.plans) == [each["name"] for each in plans]
    for read, each in zip(deployment.settings.classes, classes, strict=True):
        assert (
            read.effect.value
            == {"safe": Effect.REPEATABLE, "keyed": Effect.KEYED, "unsafe": Effect.ONCE}[each["effect"]].value
        )
        assert read.group is Group(each.get("group", "all"))
        assert (read.aim, read.deadline) == (each["aim_ms"] * MS, each["deadline_ms"] * MS)
        assert each["effect"] != "keyed" or read.key_memory == each["window_ms"] * MS
    assert deployment.settings.ask_for_list is (told["discovery"]["mode"] == "ask")
    ceilings = [bool(each.get("ceiling")) for each in told["fam"]["plan"]]
    assert [read.ceiling_rate > 0 for read in deployment.settings.plans] == ceilings


def test_a_class_is_what_its_own_deployment_says_though_another_has_one_of_its_name() -> None:
    """In one process, one after another and back: nothing of one deployment outlives its settings."""
    seen: dict[str, set[str]] = {}
    for name in [*SITES, *reversed(SITES)]:
        deployment = read_deployment(config(name))
        terms = CallRules.from_settings(deployment.settings, deployment.names)
        for each in site(name)["class"]:
            post = each["effect"] != "safe"
            for known in site(name)["tenant"]:
                assert accepts(terms, b"CALL.POST", each["name"], known["name"]) is post
                assert accepts(terms, b"CALL.GET", each["name"], known["name"]) is not post
            seen.setdefault(each["name"], set()).add(each["effect"])
        for other in SITES:
            for each in site(other)["class"]:
                known_here = each["name"] in deployment.names.classes
                plan_here = site(name)["tenant"][0]["name"]
                assert known_here or not accepts(terms, b"CALL.GET", each["name"], plan_here)
    assert "unsafe" in seen["lookup"]  # where requests of another deployment of that name may be repeated


@pytest.mark.parametrize("name", SITES)
@pytest.mark.parametrize("seed", range(3))
def test_the_rules_hold_under_its_settings(name: str, seed: int) -> None:
    """Requests of each class and plan, some servers that fail; the driver holds each action to the rules."""
    read = read_settings(settings(site(name)))
    driver, chance = Driver(read, servers=6, seed=seed), random.Random(seed)
    for _ in range(400):
        cls, plan_number = chance.randrange(len(read.classes)), chance.randrange(len(read.plans))
        driver.request(cls=cls, plan=plan_number, customer=chance.randrange(40), entry_points=1)
        while driver.calls:
            driver.counted(chance.uniform(0.0, 8.0))
        driver.wait(chance.randrange(30) * MS)
        if chance.random() < 0.5:
            driver.finish()
    driver.wait(20 * SECOND)
    kinds = {type(action) for action in driver.actions}
    assert Send in kinds and Refuse in kinds
