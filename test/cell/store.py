"""Stand-in for the platform's key-value store: items with revisions, leases, watches."""

import asyncio
import base64
import random
import time

HISTORY = 2000


class Store:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.items = {}
        self.leases = {}
        self.revision = 10
        self.history = []
        self.changed = asyncio.Event()
        self.next_lease = 100
        # Faults: "up", "down" (nothing answers), "refuse" (503); share of answers lost; delay in seconds.
        self.mode = "up"
        self.lost = 0.0
        self.delay = 0.0
        # Largest page of a range in items and bytes of values. The platform's has 500; few jobs fill several small ones.
        self.page_items = 50
        self.page_bytes = 1 << 20
        # Calls that read keys with this prefix get no answer.
        self.silent_prefix = None

    def note(self, key, deleted):
        if deleted:
            self.items.pop(key)
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
        else:
            self.history.append(dict(self.items[key]))
        del self.history[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """One write from the platform's own side, such as the operator's or a VM's."""
        self.revision += 1
        self.write(key, base64.b64encode(value.encode()).decode(), lease)

    def write(self, key, value, lease):
        created = self.items[key]["created_rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created_rev": created, "lease": lease}
        self.note(key, False)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            self.note(key, True)

    def expire(self):
        """Ends leases that have run out. While the store is down they stand still."""
        now = time.monotonic()
        for lease in [number for number, (end, _) in self.leases.items() if end < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def forget_history(self):
        self.history = []

    async def handle(self, request):
        if self.mode == "down":
            return None
        if self.mode == "refuse":
            return 503, {}
        read = request.query.get("key") or request.query.get("path_prefix") or ""
        if self.silent_prefix and read.startswith(self.silent_prefix):
            return None
        if self.delay:
            await asyncio.sleep(self.random.uniform(0.3, 1.0) * self.delay)
        late = self.lost and self.random.random() < self.lost
        if late and self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0.1, 2.0))
        answer = await self.answer(request)
        return None if late else answer

    async def answer(self, request):
        if request.path == "/kv-key":
            item = self.items.get(request.query["key"])
            return (200, {**item, "at_rev": self.revision}) if item else (404, {})
        if request.path == "/kv-range":
            return 200, self.range(request.query["path_prefix"], request.query.get("after", ""))
        if request.path == "/kv-watch":
            return await self.watch(request.query)
        if request.path == "/kv-txn":
            return self.transact(request.json())
        if request.path == "/kv-lease":
            return 200, self.grant(int(request.json()["ttl_ms"]))
        lease = int(request.path.rsplit("/", 1)[-1])
        if lease not in self.leases:
            return 404, {}
        if request.path.startswith("/kv-keep/"):
            _, ttl = self.leases[lease]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {}
        self.end_lease(lease)
        return 200, {}

    def grant(self, ttl_ms):
        ttl = max(1000, ttl_ms) / 1000
        self.next_lease += 1
        self.leases[self.next_lease] = (time.monotonic() + ttl, ttl)
        return {"lease": self.next_lease, "ttl_ms": int(ttl * 1000)}

    def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[:self.page_items]:
            size += len(self.items[key]["value"]) * 3 // 4
            if page and size > self.page_bytes:
                break
            page.append(self.items[key])
        return {"items": page, "has_more": len(keys) > len(page), "at_rev": self.revision}

    async def watch(self, query):
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            oldest = self.history[0]["revision"] if self.history else self.revision + 1
            if after < self.revision and after + 1 < oldest:
                return 410, {}
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(query["path_prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        conditions = body.get("expected_rev", [])
        missing = {"value": "", "revision": 0, "created_rev": 0, "lease": 0}
        current = [self.items.get(row["key"], {**missing, "key": row["key"]}) for row in conditions]
        if any(item["revision"] != row["revision"] for item, row in zip(current, conditions)):
            return 412, {"items": current}
        writes = body.get("writes", [])
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        if any(row["key"].startswith(("op/", "servers/")) for row in writes):
            return 403, {}
        self.revision += 1
        for row in writes:
            self.write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            if key in self.items:
                self.note(key, True)
        return 200, {"revision": self.revision}
