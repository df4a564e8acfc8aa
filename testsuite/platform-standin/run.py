"""The object API of the platform stand-in and its faults."""

import threading
import time

from session import Session, request, wait_until

CREATE = {"If-None-Match": "*"}


def if_version(number):
    return {"If-Match": f'"{number}"'}


def watch(address, prefix, start, wait_ms):
    path = f"/v1/watch?prefix={prefix}&from={start}&wait_ms={wait_ms}"
    return request(address, "GET", path)


def show_writes(s, store):
    key = "/v1/objects/settings/nodes/org%2Fresinas@1"
    s.show_request("create", store, "PUT", key, {"a": 1}, headers=CREATE)
    s.show_request("create again", store, "PUT", key, "{}", headers=CREATE)
    s.show_request("get", store, "GET", key)
    s.show_request("update", store, "PUT", key, "2", headers=if_version(1))
    s.show_request("old update", store, "PUT", key, "3", headers=if_version(1))
    s.show_request("no condition", store, "PUT", key, "3")
    s.show_request("not JSON", store, "PUT", key, "{", headers=if_version(2))
    s.show_request("list", store, "GET", "/v1/objects?prefix=settings/")
    s.show_request("old delete", store, "DELETE", key, headers=if_version(1))
    s.show_request("delete", store, "DELETE", key, headers=if_version(2))
    s.show_request("get", store, "GET", key)
    s.show("watch from 1", watch, store, "settings/", 1, 0)


def show_waiting_watch(s, store):
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(watch(store, "claims/", 3, 10000)))
    thread.start()
    wait_until(lambda: counts(store)["watches"] == 2, "waiting watch")
    request(store, "PUT", "/v1/objects/drains/host/h1", "{}", headers=CREATE)
    request(store, "PUT", "/v1/objects/claims/c1", "{}", headers=CREATE)
    thread.join()
    s.say(f"waiting watch: {answers[0].text()}")
    s.show("watch without change", watch, store, "claims/", 5, 30)


def show_faults(s, store):
    key = "/v1/objects/claims/c2"
    s.fault(store, lose_write_answers=1)
    s.show_request("lost answer", store, "PUT", key, "7", headers=CREATE)
    s.show_request("read back", store, "GET", key)
    s.fault(store, down=True)
    s.show_request("down", store, "GET", key)
    s.show_request("down", store, "PUT", key, "8", headers=if_version(6))
    s.fault(store, down=False)
    s.show_request("up again", store, "GET", key)
    s.fault(store, delay_ms=50)
    start = time.monotonic()
    request(store, "GET", key)
    s.say(f"slow: {time.monotonic() - start >= 0.05}")
    s.fault(store, delay_ms=0)


def show_lagging_hosts(s, store):
    key = "/v1/objects/hosts/h1"
    s.fault(store, list_lag_ms=600000)
    s.show_request("host", store, "PUT", key, "{}", headers=CREATE)
    s.show_request("hosts with lag", store, "GET", "/v1/objects?prefix=hosts/")
    s.show("watch with lag", watch, store, "hosts/", 6, 30)
    s.fault(store, list_lag_ms=0)
    s.show_request("hosts", store, "GET", "/v1/objects?prefix=hosts/")
    s.show("watch", watch, store, "hosts/", 6, 30)


def counts(store):
    return request(store, "GET", "/standin/counts").json()


def main():
    with Session() as s:
        platform = s.start("platform", "monsoondock-platform-standin")
        store = platform.address
        show_writes(s, store)
        show_waiting_watch(s, store)
        show_faults(s, store)
        show_lagging_hosts(s, store)
        s.say(f"counts: {counts(store)}")
        s.say(f"exit status: {s.stop(platform)}")


main()
