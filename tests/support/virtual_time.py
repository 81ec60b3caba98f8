"""Virtual time for gevent: timers fire in order, and time passes only when nothing can run."""

import heapq
import itertools

import gevent
from gevent.exceptions import LoopExit

MS = 1000


class VirtualTimer:
    """Stand in for a timer watcher of the event loop."""

    def __init__(self, loop, after_s):
        self.loop = loop
        self.after_ms = max(0.0, after_s) * MS
        self.active = False

    def start(self, callback, *args, update=None):
        self.active = True
        self.loop.schedule(self.after_ms, self._fire, callback, args)

    def _fire(self, callback, args):
        if self.active:
            self.active = False
            callback(*args)

    def stop(self):
        self.active = False

    close = stop

    @property
    def pending(self):
        return False

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.stop()


class VirtualLoop:
    """Replace the timers of gevent's event loop; everything else is the real loop's."""

    def __init__(self, real):
        self.real = real
        self.now = 0.0
        self.order = itertools.count()
        self.timers = []

    def __getattr__(self, name):
        return getattr(self.real, name)

    def timer(self, after, repeat=0.0, ref=True, priority=None):
        return VirtualTimer(self, after)

    def schedule(self, after_ms, callback, *args):
        heapq.heappush(self.timers, (self.now + after_ms, next(self.order), callback, args))

    def advance(self, duration_ms):
        """Run everything that happens within ``duration_ms`` milliseconds."""
        end_ms = self.now + duration_ms
        self.settle()
        while self.timers and self.timers[0][0] <= end_ms:
            self.now, _order, callback, args = heapq.heappop(self.timers)
            # Switches between greenlets are allowed in the hub only.
            self.real.run_callback(callback, *args)
            self.settle()
        self.now = end_ms

    def settle(self):
        """Let all greenlets run until each waits for a timer or for another greenlet."""
        try:
            gevent.get_hub().switch()
        except LoopExit:
            return
        raise AssertionError("the main greenlet was resumed while work is left")


class VirtualClock:
    """Read and sleep on the loop's virtual time."""

    def __init__(self, loop):
        self.loop = loop

    def now_ms(self):
        return int(self.loop.now)

    def sleep_ms(self, duration_ms):
        gevent.sleep(max(0, duration_ms) / MS)


class Processes:
    """Group greenlets into processes: a spawned greenlet belongs to its parent's process."""

    def __init__(self):
        self.real_spawn = gevent.spawn
        self.members = {}
        self.errors = []

    def spawn(self, function, *args, **kwargs):
        return self.spawn_in(getattr(gevent.getcurrent(), "process", ""), function, *args, **kwargs)

    def spawn_in(self, process, function, *args, **kwargs):
        greenlet = self.real_spawn(function, *args, **kwargs)
        greenlet.process = process
        group = self.members.setdefault(process, set())
        group.add(greenlet)
        greenlet.link(group.discard)
        greenlet.link_exception(lambda failed: self.errors.append(failed.exception))
        return greenlet

    def kill(self, process):
        """End all greenlets of a process at once."""
        gevent.killall(list(self.members.pop(process, ())), block=False)


class VirtualTime:
    """Install virtual time and process groups in gevent, and restore them on exit."""

    def __enter__(self):
        self.hub = gevent.get_hub()
        self.loop = VirtualLoop(self.hub.loop)
        self.hub.loop = self.loop
        self.processes = Processes()
        gevent.spawn = self.processes.spawn
        self.clock = VirtualClock(self.loop)
        return self

    def __exit__(self, *_error):
        for process in list(self.processes.members):
            self.processes.kill(process)
        self.loop.settle()
        gevent.spawn = self.processes.real_spawn
        self.hub.loop = self.loop.real
