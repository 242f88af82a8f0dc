"""A stand-in for the platform's metadata store: objects by kind and name, pages, watches, conditional writes."""

import asyncio
import json
import re
import time
import urllib.parse

import messages as wire

# Entries of the demo fill several pages.
PAGE = 5
TARGET = re.compile(r"(?:[A-Za-z0-9._~/?&=+-]|%[0-9A-Fa-f]{2})+")
PARAMETERS = {"after", "watch", "wait_ms", "revision"}


class MetadataStore:
    """All objects, with one revision counter and the history of changes."""

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.events = []
        self.log = []  # (time, revision, kind, object, whether it was removed) of all changes
        self.oldest = 0
        self.era = 1
        self.changed = asyncio.Condition()
        self.is_down = False
        self.calls = 0

    async def put(self, kind, name, **parts):
        """Creates or changes an object, as another client of the store would."""
        item = self.kinds.setdefault(kind, {}).setdefault(
            name, {"metadata": {"name": name, "created": self.revision, "finalizers": [], "deleting": False},
                   "spec": None, "status": None})
        item.update(parts)
        await self.record(kind, item, False)
        return item

    async def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            await self.record(kind, item, True)

    async def record(self, kind, item, is_deleted):
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        copy = json.loads(json.dumps(item))
        self.events.append((self.revision, kind, copy, is_deleted))
        self.log.append((time.monotonic(), self.revision, kind, copy, is_deleted))
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        """Watches from before now are answered with 410; those that wait are told nothing."""
        self.oldest = self.revision
        self.events.clear()

    def restore(self, age_s):
        """Comes back from a copy of that age: later changes are gone, and their revisions are given out again."""
        self.log = [change for change in self.log if change[0] <= time.monotonic() - age_s]
        self.kinds, self.events = {}, []
        for _, revision, kind, item, is_deleted in self.log:
            self.events.append((revision, kind, item, is_deleted))
            self.kinds.setdefault(kind, {}).pop(item["metadata"]["name"], None)
            if not is_deleted:
                self.kinds[kind][item["metadata"]["name"]] = json.loads(json.dumps(item))
        self.revision = self.log[-1][1] if self.log else 1
        self.oldest = min(self.oldest, self.revision)
        self.era += 1

    def answer(self, status, document):
        return wire.make_json(status, document, {"Store-Era": self.era})

    async def handle(self, message):
        self.calls += 1
        if self.is_down:
            return self.answer(503, {"error": "down"})
        method, target, protocol = message.start.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if not TARGET.fullmatch(target) or protocol != "HTTP/1.1" or not PARAMETERS.issuperset(query):
            return self.answer(400, {"error": "not a target"})
        path = [urllib.parse.unquote(part) for part in url.path.removeprefix("/pistachiohub/objects/").split("/")]
        if method == "GET" and "watch" in query:
            return await self.watch(path[0], int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        if method == "GET":
            return self.read(path, query)
        return await self.write(method, path, query, json.loads(message.body or b"{}"))

    def read(self, path, query):
        items = self.kinds.get(path[0], {})
        if len(path) > 1:
            found = items.get(path[1])
            return self.answer(200, found) if found else self.answer(404, {"error": "missing"})
        names = sorted(name for name in items if name > query.get("after", ""))
        return self.answer(200, {"items": [items[name] for name in names[:PAGE]],
                                    "has_more": len(names) > PAGE, "at": self.revision})

    async def watch(self, kind, since, wait_s):
        def is_gone():
            return since < self.oldest or since > self.revision

        def found():
            return [event for event in self.events if event[0] > since and event[1] == kind]
        try:
            async with self.changed:
                await asyncio.wait_for(self.changed.wait_for(lambda: is_gone() or found()), max(wait_s, 0.001))
        except asyncio.TimeoutError:
            pass
        if is_gone():
            return self.answer(410, {"error": "gone"})
        return self.answer(200, {"at": self.revision, "events": [
            {"object": item, "deleted": is_deleted} for _, _, item, is_deleted in found()]})

    async def write(self, method, path, query, document):
        kind = path[0]
        name = path[1] if len(path) > 1 else document["metadata"]["name"]
        current = self.kinds.get(kind, {}).get(name)
        expected = document.get("metadata", {}).get("revision", query.get("revision"))
        if method == "POST" and current is not None:
            return self.answer(409, current)
        if method != "POST" and current is None:
            return self.answer(404, {"error": "missing"})
        if current is not None and expected is not None and int(expected) != current["metadata"]["revision"]:
            return self.answer(409, current)
        if method == "DELETE":
            await self.remove(kind, name)
            return self.answer(200, current)
        return self.answer(201 if method == "POST" else 200, await self.put(kind, name, spec=document["spec"]))
