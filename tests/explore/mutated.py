"""Runs a limiter with the fault of one mutant as a separate process, for rehearsals on sockets.

    python -m tests.explore.mutated "every server taken for a long-running one" [--operators FILE]

Otherwise it behaves like ``python -m cypresspulley``: LB_CONFIG names the configuration file.
"""

from __future__ import annotations

import sys

from cypresspulley.__main__ import main
from tests.explore.mutants import MUTANTS, applied

if __name__ == "__main__":
    with applied(next(mutant for mutant in MUTANTS if mutant.name == sys.argv[1])):
        sys.exit(main(sys.argv[2:]))
