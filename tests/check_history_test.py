"""Feeds meta/check-history small histories with one violation each; a checker that missed one would
let the demo and the fault tests pass on a broken daemon."""

import json
import pathlib
import subprocess
import sys
import tarfile
import tempfile
import unittest

CHECKER = pathlib.Path(__file__).resolve().parent.parent / "meta" / "check-history"
FINDINGS = pathlib.Path(__file__).resolve().parent / "findings"
OWNER = "host-1.7"


def make_id(unique):
    return f"host-1/7/0/{unique}"


def told(unique, outcome, reason="ok", service="lock", end_ms=1, **fields):
    line = {"type": "id", "call": unique, "id": make_id(unique), "service": service, "start_ms": 0,
            "kind": "idempotent" if service == "estimate" else "at_most_once", "end_ms": end_ms,
            "outcome": outcome, "reason": reason, "transmissions": []}
    if outcome == "ran":
        line.update({"own": True, "whole": True})
    line.update(fields)
    return line


def ran(unique, attempt=1, service="lock"):
    return {"time_ms": 1, "server": "b", "service": service, "id": make_id(unique), "attempt": attempt}


def settled(ran=0, not_run=0, unresolved=0, service="lock", listed=()):
    counts = {"ran": ran, "not_run": not_run, "unresolved": unresolved}
    value = {"windows": [{"first_epoch": 0, "last_epoch": 0, "services": {service: counts}}],
             "unresolved": [{"id": make_id(unique), "service": service} for unique in listed]}
    return {"revision": 1, "objects": [{"name": OWNER, "version": 1, "value": value}]}


class CheckHistoryTest(unittest.TestCase):
    def check(self, history, log=(), settlement=None, killed=(), journal=None):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            (path / "history").write_text("".join(json.dumps(line) + "\n" for line in history))
            (path / "log").write_text("".join(json.dumps(line) + "\n" for line in log))
            command = [sys.executable, str(CHECKER), "--history", str(path / "history"),
                       "--backend-log", str(path / "log"), "--output", "json"]
            if settlement is not None:
                (path / "settlement").write_text(json.dumps(settlement))
                command += ["--settlement", str(path / "settlement")]
            if journal is not None:
                objects = [{"name": OWNER, "version": 1, "value": {"epochs": {"0": journal}}}]
                (path / "journal").write_text(json.dumps({"revision": 1, "objects": objects}))
                command += ["--journal", str(path / "journal")]
            for name in killed:
                command += ["--killed", name]
            finished = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertIn(finished.returncode, (0, 1), finished.stderr)
        report = json.loads(finished.stdout)
        self.assertEqual(finished.returncode, 1 if report["violations"] else 0)
        return report

    def assert_kinds(self, report, *kinds):
        self.assertEqual([item["kind"] for item in report["violations"]], list(kinds))

    def test_clean_history_has_no_violation(self):
        report = self.check(
            [told("a", "ran"), told("b", "not_run", "no_backend_server"), told("c", "never_sent"),
             told("d", "unresolved", "connection_broken"), told("e", "not_run", "not_owner")],
            [ran("a"), ran("d")], settled(ran=1, not_run=1, unresolved=1, listed=["d"]))
        self.assert_kinds(report)
        self.assertEqual(report["ids"], {"ran": 1, "not_run": 2, "unresolved": 1})
        self.assertEqual(report["never_sent"], 1)

    def test_second_run_of_at_most_once_request_is_found(self):
        self.assert_kinds(self.check([told("a", "ran")], [ran("a"), ran("a", 2)]), "ran_twice")

    def test_second_run_of_idempotent_request_is_permitted(self):
        self.assert_kinds(self.check([told("a", "ran", service="estimate")],
                                     [ran("a", 1, "estimate"), ran("a", 2, "estimate")]))

    def test_run_of_request_told_not_run_is_found(self):
        self.assert_kinds(self.check([told("a", "not_run", "deadline")], [ran("a")]), "not_run_ran")

    def test_not_run_told_to_one_transmission_only_is_found(self):
        sent = [{"host": "x", "number": 1, "end": "answered", "outcome": "not_run", "reason": "fenced"}]
        report = self.check([told("a", "unresolved", "deadline", transmissions=sent)], [ran("a")])
        self.assert_kinds(report, "not_run_ran")

    def test_foreign_answer_is_found(self):
        self.assert_kinds(self.check([told("a", "ran", own=False)], [ran("a")]), "answer_not_own")

    def test_cut_answer_is_found(self):
        self.assert_kinds(self.check([told("a", "ran", whole=False)], [ran("a")]), "answer_not_whole")

    def test_answer_that_no_backend_server_logged_is_found(self):
        self.assert_kinds(self.check([told("a", "ran")]), "ran_not_logged")

    def test_run_that_no_caller_sent_is_found(self):
        self.assert_kinds(self.check([], [ran("a")]), "ran_unsent")
        self.assert_kinds(self.check([told("a", "never_sent")], [ran("a")]), "ran_unsent")

    def test_two_outcomes_of_one_id_are_found(self):
        report = self.check([told("a", "ran"), told("a", "not_run", "deadline")], [ran("a")])
        self.assert_kinds(report, "not_run_ran", "two_outcomes")

    def test_settlement_with_too_few_runs_is_found(self):
        self.assert_kinds(self.check([told("a", "ran")], [ran("a")], settled()), "settlement_ran")

    def test_missing_settlement_object_is_found(self):
        report = self.check([told("a", "ran")], [ran("a")], {"revision": 0, "objects": []})
        self.assert_kinds(report, "settlement_ran")

    def test_settlement_with_too_many_counts_is_found(self):
        report = self.check([told("a", "ran")], [ran("a")], settled(ran=2))
        self.assert_kinds(report, "settlement_ran", "settlement_total")
        report = self.check([told("a", "not_run", "deadline")], [], settled(not_run=2))
        self.assert_kinds(report, "settlement_not_run", "settlement_total")
        report = self.check([told("a", "ran")], [ran("a")], settled(ran=1, unresolved=1))
        self.assert_kinds(report, "settlement_unresolved", "settlement_total")

    def test_fenced_id_that_a_frozen_owner_refuses_too_may_be_settled_once(self):
        sent = [{"host": "host-1", "number": 1, "end": "timed_out"},
                {"host": "host-2", "number": 2, "end": "answered", "outcome": "not_run", "reason": "fenced"}]
        history = [told("a", "not_run", "fenced", transmissions=sent)]
        self.assert_kinds(self.check(history, [], settled(not_run=0)))
        self.assert_kinds(self.check(history, [], settled(not_run=1)))
        self.assert_kinds(self.check(history, [], settled(not_run=2)), "settlement_not_run", "settlement_total")
        self.assert_kinds(self.check(history, [], settled(ran=1)), "settlement_ran")
        self.assert_kinds(self.check(history, [], settled(unresolved=1)), "settlement_unresolved")
        self.assert_kinds(self.check(history, [ran("a")], settled(not_run=1)), "not_run_ran")

    def test_fenced_id_that_never_reached_its_owner_is_not_settled(self):
        for end in ("never_sent", "answered"):
            sent = [{"host": "host-1", "number": 1, "end": end},
                    {"host": "host-2", "number": 2, "end": "timed_out"}]
            history = [told("a", "not_run", "fenced", transmissions=sent)]
            self.assert_kinds(self.check(history, [], settled(not_run=1)), "settlement_not_run", "settlement_total")

    def test_kept_logs_of_a_freeze_with_an_id_refused_twice_have_no_violation(self):
        with tempfile.TemporaryDirectory() as folder:
            with tarfile.open(FINDINGS / "demo-freeze-2026-12-04.tar.gz") as kept:
                kept.extractall(folder)
            (logs,) = pathlib.Path(folder).iterdir()
            command = [sys.executable, str(CHECKER), "--history", str(logs / "load.history"),
                       "--settlement", str(logs / "settlement.json"), "--journal", str(logs / "journal.json")]
            for log in logs.glob("*.log"):
                command += ["--backend-log", str(log)]
            finished = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual(finished.returncode, 0, finished.stdout)

    def test_unresolved_call_that_the_settlement_resolved_is_no_violation(self):
        self.assert_kinds(self.check([told("a", "unresolved", "deadline")], [ran("a")], settled(ran=1)))

    def test_id_listed_as_unresolved_against_the_callers_knowledge_is_found(self):
        report = self.check([told("a", "ran")], [ran("a")], settled(ran=1, listed=["a", "b"]))
        self.assert_kinds(report, "settlement_listed", "settlement_unknown_id")

    def test_counters_lost_with_killed_daemon_make_newest_ids_unresolved(self):
        history = [told("a", "ran", end_ms=1), told("b", "ran", end_ms=2)]
        report = self.check(history, [ran("a"), ran("b")], settled(ran=1), killed=["host-1"])
        self.assert_kinds(report)
        self.assertEqual(report["ids"], {"ran": 1, "not_run": 0, "unresolved": 1})
        self.assertEqual([item["id"] for item in report["unresolved"]], [make_id("b")])
        report = self.check(history, [ran("a"), ran("b")], settled(ran=1), killed=["host-2"])
        self.assert_kinds(report, "settlement_ran")

    def test_journal_settles_ids_whose_counters_were_lost(self):
        history = [told("a", "ran", end_ms=1), told("b", "ran", end_ms=2)]
        report = self.check(history, [ran("a"), ran("b")], settled(ran=0), killed=["host-1"],
                            journal={"a": "p", "b": "r"})
        self.assert_kinds(report)
        self.assertEqual([item["id"] for item in report["unresolved"]], [make_id("a")])

    def test_journal_that_contradicts_callers_is_found(self):
        self.assert_kinds(self.check([told("a", "ran")], [ran("a")], journal={"a": "n"}), "journal_outcome")
        self.assert_kinds(self.check([told("a", "not_run", "deadline")], journal={"a": "r"}), "journal_outcome")

    def test_killed_daemon_does_not_explain_too_many_counts(self):
        report = self.check([told("a", "ran")], [ran("a")], settled(ran=3), killed=["host-1"])
        self.assert_kinds(report, "settlement_ran", "settlement_total")


if __name__ == "__main__":
    unittest.main()
