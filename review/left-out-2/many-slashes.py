"""Some clients send requests whose paths have many slashes: are ordinary callers still answered?"""

import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-2"))
from lab import main, make_request, request_headers  # noqa: E402
from pressure import play_pressure  # noqa: E402

ODD_CLIENTS = 80
# With the other fields of the head below max_header_bytes, 16384.
PATH_BYTES = 15800


def odd_request(identity, has_slashes):
    """Both kinds have the same size, are inside the limits of the configuration, and belong to the same route."""
    return make_request("GET", "/look/" + ("/" if has_slashes else "x") * PATH_BYTES, request_headers(identity))


main(CASE, lambda lab: play_pressure(lab, odd_request, ODD_CLIENTS))
