"""The plain service stand-in: run counts by idempotency key, and its faults."""

from session import Session, request, wait_until


def pay(s, label, address, key):
    s.show_request(label, address, "POST", "/payouts?lot=1", "lot 7",
                   headers={"Idempotency-Key": key})


def show_runs(s, address):
    s.show_request("runs", address, "GET", "/standin/runs")


def main():
    with Session() as s:
        platform = s.start("platform", "monsoondock-platform-standin")
        service = s.start(
            "ledger", "monsoondock-service-standin",
            "--deployment", "ledger-app", "--platform", platform.address)
        address = service.address
        hosts = "/v1/objects?prefix=hosts/"
        wait_until(
            lambda: request(platform.address, "GET", hosts).json()["objects"],
            "registration")
        s.show_request("registered", platform.address, "GET", hosts)
        pay(s, "first", address, "k1")
        pay(s, "repeat", address, "k1")
        s.fault(address, crash_before_run=1)
        pay(s, "crash before the run", address, "k2")
        show_runs(s, address)
        s.fault(address, crash_after_run=1)
        pay(s, "crash after the run", address, "k3")
        show_runs(s, address)
        s.fault(address, cut_after_bytes=10)
        pay(s, "cut answer", address, "k4")
        s.fault(address, cut_after_bytes=0, dead=True)
        pay(s, "dead", address, "k5")
        s.fault(address, dead=False)
        pay(s, "alive again", address, "k5")
        show_runs(s, address)
        s.say(f"exit status: {s.stop(service)}")


main()
