"""Reads a deployment's settings, as the simulator and the configuration file give them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mothgap import interface as api

EFFECTS = {"repeatable": api.Effect.REPEATABLE, "by_key": api.Effect.KEYED, "once": api.Effect.ONCE}
GROUPS = {group.value: group for group in api.Group}


def read_settings(facts: Any) -> api.Settings:
    """Settings from the object that a gateway is given at its start; unknown keys are skipped."""
    try:
        limits, safety = facts["limits"], facts["safety"]
        extra, report = facts.get("extra", {}), facts.get("report", {})
        classes = tuple(
            api.RequestClass(
                effect=EFFECTS[c["effect"]],
                aim=c["goalTimeUs"],
                deadline=c["giveUpUs"],
                worth=c["gain"],
                late_worth=c.get("lateWorth", 0.0),
                group=GROUPS[c.get("group", "all")],
                key_memory=c.get("windowUs", 0),
                streamed=c.get("streamed", False),
            )
            for c in facts["classes"]
        )
        plans = tuple(
            api.Plan(
                rate=p.get("quotaRate", 0.0),
                burst=p.get("mostAtOnce", 0.0),
                concurrency=p.get("concurrency", 0),
                ceiling_rate=p.get("neverOverRate", 0.0),
                ceiling_burst=p.get("ceilingBurst", 0.0),
                ceiling_slack=p.get("hardSlack", 0.0),
                price=p.get("pays", 1.0),
                beyond_worth=p.get("beyondEarns", 0.0),
                beyond_cost=p.get("overCost", 0.0),
            )
            for p in facts["packages"]
        )
        return api.Settings(
            classes=classes,
            plans=plans,
            fleet_size=facts["fleetSize"],
            index=facts["selfIndex"],
            zone=facts.get("zone", 0),
            tick=facts["tickUs"],
            limits=api.Limits(
                max_attempts=limits["maxAttempts"],
                second_copies=limits.get("secondCopies", False),
                may_cancel=limits.get("mayCancel", False),
                may_probe=limits.get("probing", False),
                peers=limits.get("peers", False),
                retry_after=limits.get("retryAfter", False),
                max_retry_after=limits.get("maxRetryAfterUs", 0),
                connect_timeout=limits.get("connectTimeoutUs", 0),
            ),
            safety=api.Safety(
                answer_slack=safety["answerSlackUs"],
                drain_grace=safety["stopSendingWithinUs"],
                cold_from=safety["coldFrom"],
                cold_span=safety["coldUs"],
                fall_multiple=safety["tipMultiple"],
                fall_span=safety["fallUs"],
                ask_within=safety.get("askWithinUs", 0),
            ),
            counter=api.Counter(time_limit=extra["countLimitUs"], price=extra.get("callPrice", 0.0))
            if extra.get("counter")
            else None,
            handshake_price=facts.get("prices", {}).get("handshake", 0.0),
            units_top=extra.get("unitsTop", 1),
            units_settle=extra.get("truedUp", False),
            weighted=facts.get("weights", "off") in ("nominal", "rough"),
            ask_for_list=facts.get("registryMode") == "subscribe",
            marks_retries=facts.get("clients", {}).get("marksRetry", False),
            report_fields=tuple(report.get("fields", ())),
            report_by_probe=report.get("via") == "on_probe",
        )
    except KeyError as missing:
        raise api.SettingsError(f"settings lack the key, or have unknown word: {missing.args[0]}") from None
    except (TypeError, AttributeError) as wrong:
        raise api.SettingsError(f"settings have a value of the wrong type: {wrong}") from None


@dataclass(frozen=True, slots=True)
class Names:
    """What only sockets need of the settings: numbers behind names, and how long a connection may idle."""

    classes: dict[str, int]
    plans: dict[str, int]
    kinds: dict[str, int]
    zones: dict[str, int]
    idle: int  # microseconds after which a server closes an idle connection at the latest


def read_names(facts: Any) -> Names:
    """The part of the settings that the decisions do not need."""
    try:
        return Names(
            classes={c["name"]: number for number, c in enumerate(facts["classes"])},
            plans={p["name"]: number for number, p in enumerate(facts["packages"])},
            kinds={name: number for number, name in enumerate(facts.get("kinds", ()))},
            zones={name: number for number, name in enumerate(facts.get("areas", ()))},
            idle=int(facts["limits"]["connIdleUs"]),
        )
    except KeyError as missing:
        raise api.SettingsError(f"settings lack the key: {missing.args[0]}") from None
    except (TypeError, AttributeError, ValueError) as wrong:
        raise api.SettingsError(f"settings have a value of the wrong type: {wrong}") from None
