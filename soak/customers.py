"""Customers of the soak: who held which key and which limits at which time, and the checks against that history."""

import collections

# Begins each key; no other text of a soak contains it.
KEY_MARK = "k3y-"
FIXED_KEYS = {"shop": "k3y-shop", "mall": "k3y-mall", "dawn": "k3y-dawn", "dusk": "k3y-dusk"}
LIMITED = ("dawn", "dusk")
MOVING_KEYS = {"k3y-roam-1": "shop", "k3y-roam-2": "mall", "k3y-roam-3": None}
HOLDERS = ("shop", "mall", None)
FIRST_RATE_PER_S, RATES_PER_S = 16, (8, 16, 30)
QUOTA_WINDOW_S, QUOTA_EXCESS, QUOTA_SLACK = 5.0, 0.1, 20.0
APPLY_S, REVOKE_S = 2.5, 3.0
# Demand of a limited customer, as multiples of its first rate, in phases of one daemon or of all.
FACTORS, PHASE_S = (0.5, 3.0, 6.0), (2.0, 6.0)
# Keys of a request: one that stays, one that is removed and moved, one of no customer, none.
KEY_KINDS = {"fixed": 65, "moving": 30, "unknown": 3, "missing": 2}

Limit = collections.namedtuple("Limit", "rate_per_s burst")


class History:
    """Values in the order in which they were written. Only one writer acknowledges at a time."""

    def __init__(self, value):
        self.changes = [(value, float("-inf"), float("-inf"))]  # (value, time of the write, of the acknowledgement)

    @property
    def value(self):
        return self.changes[-1][0]

    def possible(self, begun_at, ended_at, lag_s):
        """Returns what may be in force in that time if a change is in force by `lag_s` after its acknowledgement."""
        replaced_at = [acknowledged_at + lag_s for _, _, acknowledged_at in self.changes[1:]] + [float("inf")]
        return [value for (value, written_at, _), until in zip(self.changes, replaced_at)
                if written_at <= ended_at and until >= begun_at]


class Demand:
    """When a limited customer stays below its limit, exceeds it at one daemon, or at all daemons."""

    def __init__(self, random, seconds, daemon_count):
        self.phases, self.daemon_count, end_s = [], daemon_count, 0.0
        while end_s < seconds:
            end_s += random.uniform(*PHASE_S)
            self.phases.append((end_s, random.choice(FACTORS), random.choice((None, random.randrange(daemon_count)))))

    def factor(self, elapsed_s, daemon_number):
        """Returns the part of one daemon as a multiple of the customer's first rate."""
        for end_s, factor, only in self.phases:
            if elapsed_s < end_s:
                return factor / self.daemon_count if only is None else factor if only == daemon_number else 0.0
        return 0.0


class Customers:
    def __init__(self):
        self.keys = {key: History(name) for name, key in FIXED_KEYS.items()}
        self.keys.update({key: History(name) for key, name in MOVING_KEYS.items()})
        self.limits = {name: History(Limit(FIRST_RATE_PER_S, FIRST_RATE_PER_S)) for name in LIMITED}
        self.latest_key = next(iter(MOVING_KEYS))  # that was removed, restored or moved

    def document(self):
        tenants = {name: {"api_keys": []} for name in FIXED_KEYS}
        for key, history in self.keys.items():
            if history.value is not None:
                tenants[history.value]["api_keys"].append(key)
        for name, history in self.limits.items():
            tenants[name].update(history.value._asdict())
        return tenants

    def draw_key_change(self, random):
        """Removes, restores or moves a key. Returns its history and the new holder."""
        self.latest_key = random.choice(list(MOVING_KEYS))
        history = self.keys[self.latest_key]
        return history, random.choice([holder for holder in HOLDERS if holder != history.value])

    def draw_limit_change(self, random):
        history = self.limits[random.choice(LIMITED)]
        rate = random.choice([rate for rate in RATES_PER_S if rate != history.value.rate_per_s])
        return history, Limit(rate, rate)

    def draw_key(self, random):
        """Returns the key of a request of the customers without limits."""
        kind = random.choices(list(KEY_KINDS), KEY_KINDS.values())[0]
        unlimited = [key for name, key in FIXED_KEYS.items() if name not in LIMITED]
        return {"fixed": random.choice(unlimited), "moving": random.choice([self.latest_key, *MOVING_KEYS]),
                "unknown": KEY_MARK + "unknown", "missing": None}[kind]

    def possible_holders(self, key, begun_at, ended_at, lag_s):
        return self.keys[key].possible(begun_at, ended_at, lag_s) if key in self.keys else [None]

    def check_run(self, request, run):
        """A removal counts for requests that were sent `REVOKE_S` after its acknowledgement, whenever they run."""
        if run.has_key:
            return f"KEY: {run.server} was told the key"
        sent_at = request.sent_at or run.begun_at
        holders = self.possible_holders(request.key, sent_at, run.begun_at, REVOKE_S)
        if run.customer in [holder for holder in holders if holder is not None]:
            return None
        if holders == [None]:
            return f"REVOKED: ran at {run.server} for '{run.customer}', and nobody holds its key"
        return f"TENANT: {run.server} was told '{run.customer}', and the key is held by {holders}"

    def check_refusal(self, request):
        if request.status != 401:
            return None
        if None in self.possible_holders(request.key, request.sent_at or request.ended_at, request.ended_at, APPLY_S):
            return None
        return "UNKNOWN: was answered 401, and its key was in force"

    def check_limits(self, runs):
        """Returns violations, and the largest part of the bound that was used in a window."""
        violations, largest_part = [], 0.0
        for name, history in self.limits.items():
            times, end = sorted(run.begun_at for run in runs if run.customer == name), 0
            worst = (0.0, "")
            for begin, begun_at in enumerate(times):
                while end < len(times) and times[end] < begun_at + QUOTA_WINDOW_S:
                    end += 1
                bound = max((limit.rate_per_s * QUOTA_WINDOW_S + limit.burst) * (1 + QUOTA_EXCESS) + QUOTA_SLACK
                            for limit in history.possible(begun_at, begun_at + QUOTA_WINDOW_S, APPLY_S))
                worst = max(worst, ((end - begin) / bound, f"{end - begin} runs of {name} in the window from "
                                    f"{begun_at:.3f}, {bound:.1f} are allowed"))
            if worst[0] > 1:
                violations.append(f"QUOTA: {worst[1]}; limits by time: {history.changes}")
            largest_part = max(largest_part, worst[0])
        return violations, largest_part

    @staticmethod
    def check_logs(folder):
        return [f"KEY: {log.name} holds a key" for log in sorted(folder.glob("*.log"))
                if KEY_MARK.encode() in log.read_bytes()]
