"""The record of a soak, with the times of one monotonic clock, and its checks: LOST, TWICE, REFUSED, CHANGED.

The share of cut requests beside a configuration isn't compared with other times: nothing in a soak excuses a cut then."""

import collections
import dataclasses

LOSS_SLACK_S, DEADLINE_SLACK_S = 0.2, 0.05
CONFIGURATION_SHARE = 0.7  # of a request's time, after which a configuration isn't blamed
EARLY_STOP_S = 3.0  # requests sent within it may still be at work at the end of the grace
LATE_GRACE_SHARE = 5 / 6

AT_MOST_ONCE = ("/buy/", "/upload/")

# Planned work of one daemon, or of all of them without a name: stop, reload,
# configuration, suspension or outage (of its store).
Work = collections.namedtuple("Work", "kind daemon begun_at ends_at")


@dataclasses.dataclass
class Run:
    """One request that arrived at a backend server."""
    identity: str
    server: str
    begun_at: float
    end: str = "running"  # whole, whole_and_closed, broke_off (by the server), dropped (by the daemon)
    ended_at: float = float("inf")
    customer: str = ""  # as its headers name it
    has_key: bool = False
    digest: bytes = None  # of its body, when it was read whole


@dataclasses.dataclass
class Request:
    """One request of a client. Its position is the number of unanswered requests before it on its connection."""
    identity: str
    method: str
    path: str
    deadline_s: float
    body: bytes
    digest: bytes
    key: str
    part_pause_s: float = 0.0  # between the parts in which it is sent; 0: sent in one piece
    position: int = 0
    daemon: str = ""
    sent_at: float = 0.0  # when its last byte was handed to the kernel
    read_at: float = 0.0  # when the client began to read its answer; it doesn't see an earlier end of the connection
    end: str = "unsent"  # answered, wrong_answer, cut, deadline, unread (behind an answer that closes)
    status: int = 0
    is_signed: bool = False
    ended_at: float = 0.0


class Record:
    def __init__(self, grace_s, customers):
        self.grace_s, self.customers = grace_s, customers
        self.runs, self.requests, self.works = [], [], []

    def violations(self):
        """Returns descriptions of all that break a rule."""
        runs = collections.defaultdict(list)
        for run in self.runs:
            runs[run.identity].append(run)
        return [self.describe(request, runs[request.identity], reason) for request in self.requests
                for check in (self.check_passed_on, self.check_late_cut, self.check_at_most_once,
                          self.check_customer, self.check_body)
                if (reason := check(request, runs[request.identity]))]

    def check_passed_on(self, request, runs):
        if not runs or self.is_excused(request, runs[-1]):
            return None
        if request.end in ("cut", "unread", "wrong_answer"):
            return f"LOST: passed on to {runs[-1].server}, and its connection ended without a whole answer"
        is_stopped = any(work.kind == "stop" for work in self.works_beside(request))
        if request.end == "answered" and request.status >= 500 and not request.is_signed and is_stopped:
            return f"LOST: passed on to {runs[-1].server}, and answered {request.status} by the daemon itself"
        return None

    def check_late_cut(self, request, runs):
        took_s = request.ended_at - max(request.sent_at, request.read_at)
        is_late = request.end == "cut" and LOSS_SLACK_S < took_s < request.deadline_s - DEADLINE_SLACK_S
        is_blamed = any(work.kind != "configuration" or took_s < CONFIGURATION_SHARE * request.deadline_s
                        for work in self.works_beside(request))
        if is_late and request.position == 0 and not runs and is_blamed:
            return f"LOST: not passed on, and its connection ended over {took_s:.3f} s after its last byte"
        return None

    def check_at_most_once(self, request, runs):
        if request.path.startswith(AT_MOST_ONCE) and len(runs) > 1:
            return f"TWICE: ran at {', '.join(run.server for run in runs)}"
        if runs and request.status in (429, 503):
            return f"REFUSED: was answered {request.status}, and ran at {runs[0].server}"
        return None

    def check_customer(self, request, runs):
        faults = [self.customers.check_run(request, run) for run in runs] + [self.customers.check_refusal(request)]
        return next(filter(None, faults), None)

    def check_body(self, request, runs):
        for run in runs:
            if run.digest not in (None, request.digest):
                return f"CHANGED: {run.server} read another body than the one that was sent"
        return None

    def works_beside(self, request):
        """The planned work beside which the request ended; a reload counts for requests sent in its span."""
        return [work for work in self.works
                if work.daemon in (None, request.daemon) and work.begun_at <= request.ended_at
                and (request.sent_at if work.kind == "reload" else request.ended_at) <= work.ends_at]

    def is_excused(self, request, run):
        is_out_of_time = request.ended_at >= request.sent_at + request.deadline_s - DEADLINE_SLACK_S
        is_at_work_at_end = any(
            work.kind == "stop" and request.sent_at <= work.begun_at + EARLY_STOP_S
            and run.begun_at <= work.begun_at + self.grace_s
            and run.ended_at >= work.begun_at + LATE_GRACE_SHARE * self.grace_s for work in self.works_beside(request))
        return not request.sent_at or run.end == "broke_off" or is_out_of_time or is_at_work_at_end

    def describe(self, request, runs, reason):
        sent_at, ended_at = request.sent_at, request.ended_at
        ran = [f"{run.server} {run.begun_at - sent_at:+.3f} to {run.ended_at - sent_at:+.3f} s {run.end}" for run in runs]
        works = [f"sent {sent_at - work.begun_at:+.3f} s and ended {ended_at - work.begun_at:+.3f} s after {work.kind}"
                 for work in self.works_beside(request)]
        return (f"{request.identity} {request.method} {request.path} with {request.key} at {request.daemon}, "
                f"position {request.position}: {reason}; "
                f"{request.end} {request.status} {ended_at - sent_at:.3f} s after its last byte; "
                f"runs since then: {', '.join(ran) or 'none'}; {', '.join(works) or 'no planned work'}")
