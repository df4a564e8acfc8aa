"""The faults of the soak: planned work on the daemons, and unplanned faults.
Each is a function of the run and a random generator."""

import contextlib
import random
import signal
import subprocess
import threading
import time

from cut_links import cut_links
from early_ends import end_answers_early, end_streams_early
from host_troubles import CrashingPart, LimitedHost
from proxy import MODES
from session import wait_until
from soak_workers import SoakEngine, SoakLedger

DAEMON_START_SECONDS = 10
EXIT_SECONDS = 15
# Longest time between two signals or steps of the same fault.
STEP_SECONDS = 0.5
SERIES_STEP_SECONDS = 1.5
# Time between two faults of a sequence; callers use kept connections meanwhile.
PAUSE_SECONDS = (0.1, 1.6)
LIMITED_SECONDS = (5, 9)


@contextlib.contextmanager
def unplanned(run, store_only=False):
    fault = run.log.begin_fault(store_only)
    try:
        yield
    finally:
        run.log.end_fault(fault)


def is_started(daemon):
    return "event=started" in daemon.stdout_text()


def wait_until_started(run, number):
    # A signal kills a process that has not installed its handlers yet.
    try:
        wait_until(lambda: is_started(run.daemons[number]), "start",
                   DAEMON_START_SECONDS)
    except TimeoutError:
        run.record_violation(
            f"n{number}: not started within {DAEMON_START_SECONDS} s")


def send_signal(run, number, kind):
    popen = run.daemons[number].popen
    if popen.poll() is not None or not is_started(run.daemons[number]):
        return
    if kind == signal.SIGHUP:
        run.log.add_reload(number)
    popen.send_signal(kind)


def stop_and_start(run, number, steps=()):
    """Stops a daemon with SIGTERM, takes further steps (seconds, function) in
    turn, and starts it again when it has ended."""
    with run.daemon_locks[number]:
        wait_until_started(run, number)
        popen = run.daemons[number].popen
        run.log.add_stop(number)
        popen.send_signal(signal.SIGTERM)
        for seconds, step in steps:
            time.sleep(seconds)
            step()
        try:
            status = popen.wait(EXIT_SECONDS)
        except subprocess.TimeoutExpired:
            popen.kill()
            status = popen.wait()
        if status != 0:
            run.record_violation(f"n{number}: planned stop: status {status}")
        run.start_daemon(number)


def any_daemon(run, generator):
    return generator.randrange(run.DAEMONS)


# Planned work.

def stop_daemon(run, generator):
    stop_and_start(run, any_daemon(run, generator))


def stop_repeatedly(run, generator):
    number = any_daemon(run, generator)
    kinds = [generator.choice([signal.SIGTERM, signal.SIGINT])]
    kinds += generator.choice([[], [signal.SIGHUP], [signal.SIGTERM]])
    generator.shuffle(kinds)
    stop_and_start(run, number, [
        (generator.uniform(0, STEP_SECONDS),
         lambda kind=kind: send_signal(run, number, kind)) for kind in kinds])


def stop_in_series(run, generator):
    """Stops two or all daemons one after another, so that the stops overlap."""
    numbers = generator.sample(
        range(run.DAEMONS), generator.randint(2, run.DAEMONS))
    threads = []
    for number in numbers:
        threads.append(threading.Thread(
            target=stop_and_start, args=(run, number)))
        threads[-1].start()
        time.sleep(generator.uniform(0, SERIES_STEP_SECONDS))
    for thread in threads:
        thread.join()


def stop_beside_changes(run, generator):
    """Changes the configuration and reloads a daemon right before or after its
    SIGTERM."""
    number = any_daemon(run, generator)
    steps = [lambda: change_configuration(run, generator),
             lambda: send_signal(run, number, signal.SIGHUP)]
    generator.shuffle(steps)
    before = generator.randint(0, len(steps))
    for step in steps[:before]:
        step()
        time.sleep(generator.uniform(0, STEP_SECONDS))
    stop_and_start(run, number, [
        (generator.uniform(0, STEP_SECONDS), step) for step in steps[before:]])


def stop_after_start(run, generator):
    """Stops a daemon that has just been started."""
    number = any_daemon(run, generator)
    stop_and_start(run, number)
    stop_and_start(run, number)


def reload_daemon(run, generator):
    send_signal(run, any_daemon(run, generator), signal.SIGHUP)


def change_configuration(run, generator):
    with run.lock:
        run.version += generator.randint(1, 5)
        run.keys = ["k1"] if "k2" in run.keys else ["k1", "k2"]
        run.log.add_change()
        run.publish_configuration()


# Changes of the workers' fleet, which excuse nothing.

def drain_engine(run, generator):
    ready = [e for e in run.engines if e.entry["state"] == "ready"]
    if len(ready) > 6:
        generator.choice(ready).drain()


def replace_ledger(run, generator):
    """A ledger host says in its answers that it is leaving, while the store
    lists it as ready, and another one takes its place."""
    leaving = generator.choice(run.ledgers)
    run.ledgers.remove(leaving)
    run.former_ledgers.append(leaving)
    run.ledgers.append(SoakLedger(
        run.store, f"l{time.time_ns()}", "ledger", "z1"))
    leaving.fields = [("Server-Leaving", "1")]


def pause_ledger(run, generator):
    generator.choice(run.ledgers).pause = generator.choice([0.2, 0.7, 1, 2])


def limit_host(run, generator):
    """A host names a limit for some seconds, in which callers go on."""
    worker = generator.choice([*run.engines, *run.ledgers])
    if worker.limited is not None:
        return
    limited = LimitedHost(run, worker, generator.choice([0.5, 1, 2.5]))
    run.troubles.append(limited)
    worker.limited = limited
    time.sleep(generator.uniform(*LIMITED_SECONDS))
    worker.limited = None


def crash_by_part(run, generator):
    """Requests with one part of their prompts crash engine after engine; new
    engines take the place of those."""
    if run.crashing_parts:
        return
    part = CrashingPart(run)
    run.crashing_parts.append(part)
    run.troubles.append(part)
    part.send_requests(generator)
    for _ in part.crashes:
        run.add_engine(f"x{len(run.engines)}",
                       f"d{generator.randrange(run.DOMAINS)}")


# Unplanned faults.

def kill_daemon(run, generator):
    number = any_daemon(run, generator)
    with run.daemon_locks[number], unplanned(run):
        run.daemons[number].popen.kill()
        run.daemons[number].popen.wait()
        time.sleep(generator.uniform(0, 0.5))
        run.start_daemon(number)
        wait_until_started(run, number)


def pause_daemon(run, generator):
    popen = run.daemons[any_daemon(run, generator)].popen
    with unplanned(run):
        popen.send_signal(signal.SIGSTOP)
        time.sleep(generator.uniform(0.2, 2.0))
        popen.send_signal(signal.SIGCONT)


def lose_engine(run, generator):
    heads = [e for e in run.engines
             if e.is_open_head() and not e.crash_at_event]
    if len(heads) > 1:
        generator.choice(heads).crash_at_event = generator.randint(1, 9)
    run.add_engine(f"x{len(run.engines)}",
                   f"d{generator.randrange(run.DOMAINS)}")


def lose_answers(run, generator):
    generator.choice(run.ledgers).answers_to_drop = generator.randint(1, 5)


def break_streams(run, generator):
    engine = generator.choice(run.engines)
    engine.truncate_at_event = generator.choice(
        [None, *range(1, SoakEngine.EVENTS + 1)])
    engine.unframed_streams = generator.randint(1, 5)


def restore_store(run, generator):
    """The store comes back from the copy that was made last; the operator and
    the workers write again what they wrote since."""
    with unplanned(run, store_only=True):
        saved, run.saved = run.saved, run.store.copy()
        run.store.down.set()
        time.sleep(generator.uniform(0.1, 1.0))
        run.store.restore(saved)
        run.store.down.clear()
        time.sleep(generator.uniform(0.0, 1.0))
        run.publish_configuration()
        for worker in [*run.engines, *run.ledgers]:
            worker.publish()


def cut_store(run, generator):
    with unplanned(run, store_only=True):
        run.store.down.set()
        time.sleep(generator.uniform(0.5, 4.0))
        run.store.down.clear()


def inject_worker_network_fault(run, generator):
    with unplanned(run):
        generator.choice(run.worker_proxies).inject_fault(
            generator.choice(MODES[1:]), generator.uniform(0.3, 3.0))


def inject_store_network_fault(run, generator):
    with unplanned(run, store_only=True):
        run.store_proxy.inject_fault(
            generator.choice(MODES[1:]), generator.uniform(0.3, 3.0))


PLANNED = [stop_daemon, stop_repeatedly, stop_repeatedly, stop_in_series,
           stop_beside_changes, stop_after_start, reload_daemon,
           change_configuration, limit_host, crash_by_part]
ALL = [*PLANNED, kill_daemon, pause_daemon, lose_engine, drain_engine,
       lose_answers, cut_store, break_streams, break_streams, pause_ledger,
       replace_ledger, restore_store, inject_worker_network_fault,
       inject_worker_network_fault, inject_store_network_fault,
       cut_links, cut_links, *3 * [end_streams_early],
       *2 * [end_answers_early]]

# Cut links beside planned work and the troubles of hosts.
LINKS = [*PLANNED, *4 * [cut_links], pause_ledger, lose_engine]

# Early ends of responses beside planned work and a few other faults.
ENDS = [*PLANNED, *8 * [end_streams_early], *6 * [end_answers_early],
        kill_daemon, pause_daemon, lose_engine, lose_engine, break_streams,
        inject_worker_network_fault, inject_worker_network_fault]


def inject_faults(run, faults, seconds):
    """Runs two sequences of random faults at once, so that they overlap."""
    end = time.monotonic() + seconds

    def fault_sequence(seed):
        generator = random.Random(seed)
        while time.monotonic() < end:
            try:
                generator.choice(faults)(run, generator)
            except ProcessLookupError:
                # The other sequence has just ended the process.
                pass
            time.sleep(generator.uniform(*PAUSE_SECONDS))

    threads = [
        threading.Thread(target=fault_sequence, args=(run.random.random(),))
        for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
