"""Runs one case: `python run.py FOLDER/case.py FOLDER/record.txt`.

Exit status 0: the rule held, 1: it was broken, 2: the case could not run, whatever the reason.
"""

from __future__ import annotations

import runpy
import sys
import traceback
from pathlib import Path


def main(case_file: str, record_file: str) -> int:
    """The exit status; Python's own for an exception would be 1, which says that the rule was broken."""
    try:
        import stand_ins

        return stand_ins.play(Path(record_file), runpy.run_path(case_file)["case"])
    except BaseException:
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]) if len(sys.argv) == 3 else 2)
