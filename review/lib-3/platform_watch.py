"""Stand-in for what the platform does with the processes of its machines: it
kills one that exceeds its memory, and starts one that has ended again."""

import threading
import time

RESTART_SECONDS = 1.0


def resident_mb(process):
    """Zero once the process has ended."""
    try:
        with open("/proc/%d/status" % process.pid, encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class PlatformWatch:
    def __init__(self, fleet, record, report=lambda router: ""):
        self.fleet, self.record, self.report = fleet, record, report
        self.ends = {router: 0 for router in fleet.routers}
        self.most_mb = {router: 0.0 for router in fleet.routers}
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self._watch, args=(router,),
                                         daemon=True)
                        for router in fleet.routers]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join()

    def _watch(self, router):
        limit = router.settings["limits"]["memory-mb"]
        noted_at = 0.0
        while not self.is_over.wait(0.05):
            used = resident_mb(router.process)
            self.most_mb[router] = max(self.most_mb[router], used)
            if time.monotonic() - noted_at > 1:
                noted_at = time.monotonic()
                self.record("%s holds %.0f MB%s" % (router.name, used,
                                                    self.report(router)))
            if used > limit:
                router.process.kill()
            if used <= limit and router.process.poll() is None:
                continue
            router.process.wait()
            self.ends[router] += 1
            self.record("%s %s; end %d on this machine" % (
                router.name, "exceeds its memory (%.0f of %d MB) and is killed"
                % (used, limit) if used > limit else "has ended with %d" %
                router.process.returncode, self.ends[router]))
            if self.is_over.wait(RESTART_SECONDS):
                return
            router.start()

    def broken(self):
        """The rule Fault: on two machines, three ends each."""
        often = [router for router, ends in self.ends.items() if ends >= 3]
        if len(often) < 2:
            return []
        return ["Fault: on %s, of %d machines in use, processes ended three "
                "times with no disruption there" %
                (" and ".join(router.name for router in often),
                 len(self.ends))]
