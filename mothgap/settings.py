"""Parses a deployment's settings from the JSON object of the simulator or of the configuration file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mothgap import interface as api

EFFECTS = {"repeatable": api.Effect.REPEATABLE, "by_key": api.Effect.KEYED, "once": api.Effect.ONCE}
GROUPS = {group.value: group for group in api.Group}


def read_settings(document: Any) -> api.Settings:
    """Settings from the JSON object that a gateway is given at its start; unknown keys are ignored.

    Raises SettingsError where a key is missing or a value is invalid.
    """
    try:
        limits, safety = document["limits"], document["safety"]
        extra, report = document.get("extra", {}), document.get("report", {})
        classes = tuple(
            api.RequestClass(
                effect=EFFECTS[cls["effect"]],
                aim=cls["goalTimeUs"],
                deadline=cls["giveUpUs"],
                worth=cls["gain"],
                late_worth=cls.get("lateWorth", 0.0),
                group=GROUPS[cls.get("group", "all")],
                key_memory=cls.get("windowUs", 0),
                streamed=cls.get("streamed", False),
            )
            for cls in document["classes"]
        )
        plans = tuple(
            api.Plan(
                rate=plan.get("quotaRate", 0.0),
                burst=plan.get("mostAtOnce", 0.0),
                concurrency=plan.get("concurrency", 0),
                ceiling_rate=plan.get("neverOverRate", 0.0),
                ceiling_burst=plan.get("ceilingBurst", 0.0),
                ceiling_slack=plan.get("hardSlack", 0.0),
                price=plan.get("pays", 1.0),
                beyond_worth=plan.get("beyondEarns", 0.0),
                beyond_cost=plan.get("overCost", 0.0),
            )
            for plan in document["packages"]
        )
        return api.Settings(
            classes=classes,
            plans=plans,
            fleet_size=document["fleetSize"],
            index=document["selfIndex"],
            zone=document.get("zone", 0),
            tick=document["tickUs"],
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
            handshake_price=document.get("prices", {}).get("handshake", 0.0),
            units_top=extra.get("unitsTop", 1),
            units_settle=extra.get("truedUp", False),
            weighted=document.get("weights", "off") in ("nominal", "rough"),
            ask_for_list=document.get("registryMode") == "subscribe",
            marks_retries=document.get("clients", {}).get("marksRetry", False),
            report_fields=tuple(report.get("fields", ())),
            report_by_probe=report.get("via") == "on_probe",
        )
    except KeyError as error:
        raise api.SettingsError(f"settings: missing key or unknown value: {error.args[0]}") from None
    except (TypeError, AttributeError) as error:
        raise api.SettingsError(f"settings have a value of the wrong type: {error}") from None


@dataclass(frozen=True, slots=True)
class Names:
    """The settings that only the network layer needs: the index behind each name, and the idle timeout."""

    classes: dict[str, int]
    plans: dict[str, int]
    kinds: dict[str, int]
    zones: dict[str, int]
    idle_timeout: int  # microseconds after which a server closes an idle connection at the latest


def read_names(document: Any) -> Names:
    """The part of the settings that the decision module does not need.

    Raises SettingsError where a key is missing or a value is invalid.
    """
    try:
        return Names(
            classes={cls["name"]: index for index, cls in enumerate(document["classes"])},
            plans={plan["name"]: index for index, plan in enumerate(document["packages"])},
            kinds={name: index for index, name in enumerate(document.get("kinds", ()))},
            zones={name: index for index, name in enumerate(document.get("areas", ()))},
            idle_timeout=int(document["limits"]["connIdleUs"]),
        )
    except KeyError as error:
        raise api.SettingsError(f"settings: missing key: {error.args[0]}") from None
    except (TypeError, AttributeError, ValueError) as error:
        raise api.SettingsError(f"settings have a value of the wrong type: {error}") from None
