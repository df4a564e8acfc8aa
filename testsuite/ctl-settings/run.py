"""The settings commands of monsoondockctl: check, apply, conflicting edits,
history, an outage and a lost answer."""

from session import Session

SETTINGS_TREE = """\
["org"]
deployment.spares = 2

["org/west"]

["org/west/north"]
deployment.spares = 3

["org/deployments/chat"]
deployment.kind = "model"
deployment.idempotent = true
"""


class Operator:
    """Runs monsoondockctl and prints its output and exit status."""

    def __init__(self, session, platform):
        self.session = session
        self.platform = platform.address

    def run(self, *words):
        result = self.session.run_tool(
            "monsoondockctl", *words, "--platform", self.platform,
            "--author", "ana", "--timeout", "2s")
        shown = " ".join(str(w) for w in words)
        self.session.say(f"$ {shown}")
        output = (result.stdout + result.stderr).rstrip()
        if output:
            self.session.say(output)
        self.session.say(f"exit status {result.returncode}")


def main():
    with Session() as s:
        s.add_replacement(r"\d{4}-\d\d-\d\dT[0-9:.]+Z", "<time>")
        s.add_replacement(r"/\S*/(?=\w+\.toml)", "")
        platform = s.start("platform", "monsoondock-platform-standin")
        operator = Operator(s, platform)
        tree = s.write_file("tree.toml", SETTINGS_TREE)
        faulty = s.write_file(
            "faulty.toml", SETTINGS_TREE.replace("= 3", "= -1"))
        operator.run("settings", "check", tree)
        operator.run("settings", "check", faulty)
        operator.run("settings", "apply", faulty)
        operator.run("settings", "apply", tree, "--note", "first")
        operator.run("settings", "get")
        operator.run("settings", "set", "org", "deployment.spares", "5")
        operator.run("settings", "set", "org", "deployment.spares", "many")
        operator.run("settings", "set", "org/east", "deployment.spares", "5")
        operator.run("settings", "diff", tree)
        operator.run("settings", "apply", tree, "--if_revision", "1")
        s.fault(platform.address, lose_write_answers=2)
        operator.run("settings", "set", "org", "deployment.spares", "6")
        s.fault(platform.address, lose_write_answers=0, down=True)
        operator.run("settings", "set", "org", "deployment.spares", "7")
        s.fault(platform.address, down=False)
        operator.run("settings", "history")
        operator.run("settings", "get", "org")
        operator.run("drain", "host", "h1")
        operator.run("drains")
        operator.run("undrain", "host", "h1")


main()
