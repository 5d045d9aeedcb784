"""The vendor extension `x-lynxreel`: what a description says of costs, at document, path or operation level.

The published schema, docs/x-lynxreel.schema.json, is made from this model.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

KEY = "x-lynxreel"
Word = Annotated[str, Field(pattern=r"^[A-Za-z0-9._:-]{1,64}$")]
Units = Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Count(_Part):
    """Units by a number in the request."""

    source: Literal["query", "path", "header", "body"] = Field(alias="from", description="where it is")
    name: str = Field(min_length=1, max_length=200, description="of the parameter, or a.path.of.fields")
    per: Units = Field(default=1.0, description="units for each")
    least: float = Field(default=0.0, ge=0, le=1_000_000, description="units at least")
    most: Units | None = Field(default=None, description="units at most; a request beyond is turned away")
    otherwise: Units = Field(default=1.0, description="units where there is no such parameter or field")


class Extension(_Part):
    """What an operation costs and how it is treated; each key from the nearest level that has it."""

    units: Units | Count | None = Field(default=None, description="what a request costs; 1 by default")
    effect: Literal["safe", "keyed", "once"] | None = Field(
        default=None,
        description="what a second run does: nothing, nothing under the same Idempotency-Key, or harm; "
        "by default safe for GET, HEAD, OPTIONS and TRACE, and once for all others",
    )
    cls: Word | None = Field(default=None, alias="class", description="a class of the operator file")
    plan: Word | None = Field(default=None, description="for customers whose key or token names none")
    deadline_ms: int | None = Field(default=None, gt=0, le=3_600_000, description="of the class by default")


class ServerBoxes(_Part):
    """At a server: what the boxes behind it speak, and how they are asked."""

    boxes: Literal["resp2", "http"] = Field(default="resp2", description="what the boxes speak")
    path: str | None = Field(
        default=None,
        pattern=r"^(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)*$",
        description="put before each path at a box; the path of the server's url by default",
    )
    turned_away: tuple[Annotated[int, Field(ge=400, le=599)], ...] = Field(
        default=(),
        strict=False,
        description="statuses with which a box says for certain that it has not begun a request",
    )


class TokenClaims(_Part):
    """In a security scheme: which claims of a token name the customer and the plan."""

    customer_claim: str = Field(default="sub", min_length=1)
    plan_claim: str = Field(default="plan", min_length=1)


def published() -> dict[str, Any]:
    """The JSON schema of the extension; what stands at a server and at a scheme is under `$defs`."""
    schema = Extension.model_json_schema(by_alias=True)
    for model in (ServerBoxes, TokenClaims):
        schema["$defs"][model.__name__] = model.model_json_schema(by_alias=True)
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **schema}
