"""A limiter with one of the mutants' faults as a process of its own, for days on sockets.

    python -m tests.explore.mutated "every server taken for a long-running one" [--operators FILE]

As ``python -m cypresspulley`` otherwise: LB_CONFIG names its configuration.
"""

from __future__ import annotations

import sys

from cypresspulley.__main__ import main
from tests.explore.mutants import MUTANTS, applied

if __name__ == "__main__":
    with applied(next(mutant for mutant in MUTANTS if mutant.name == sys.argv[1])):
        sys.exit(main(sys.argv[2:]))
