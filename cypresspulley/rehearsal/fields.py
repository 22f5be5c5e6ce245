"""Types of the values in scenario files, with their ranges."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0, le=1e6)]
NotNegative = Annotated[float, Field(ge=0, le=1e6)]
Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,39}$")]


class Strict(BaseModel):
    """A table that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)
