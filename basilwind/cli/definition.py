"""Definitions of the commands and their options; ``cli.commands`` implements them."""

import importlib

import click

from basilwind import __version__

PLATFORM = click.option(
    "--platform",
    envvar="BASILWIND_PLATFORM",
    required=True,
    metavar="URL",
    help="Base URL of the platform. [env: BASILWIND_PLATFORM]",
)
ENTRY = click.option(
    "--entry",
    envvar="BASILWIND_ENTRY",
    required=True,
    metavar="HOST:PORT",
    help="Address of an entry host. [env: BASILWIND_ENTRY]",
)
TOKEN = click.option(
    "--token",
    envvar="BASILWIND_TOKEN",
    required=True,
    metavar="TOKEN",
    help="The team's bearer token. [env: BASILWIND_TOKEN]",
)
AUTHOR = click.option(
    "--author",
    envvar="BASILWIND_AUTHOR",
    default="operator",
    show_default=True,
    help="Name for the audit trail. [env: BASILWIND_AUTHOR]",
)
JSON_LINES = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON lines instead of a table."
)


def _run(command, context, **options):
    # Imported here, so that a command loads only the modules that it needs.
    module = importlib.import_module(f"basilwind.cli.commands.{command}")
    return module.run(context, **options)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="basilwind")
def cli():
    """Fleet capacity and maintenance manager.

    Daemons on the entry hosts place requests and jobs on pools of workers.
    Operators declare settings in files and publish them with 'apply'.
    """


@cli.command()
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(dir_okay=False),
    help="Settings of this entry host (JSON with comments).",
)
@click.pass_obj
def serve(context, settings_file):
    """Run the daemon of an entry host."""
    return _run("serve", context, settings_file=settings_file)


@cli.command()
@click.option(
    "--settings",
    "settings_file",
    envvar="BASILWIND_NODE_FILE",
    required=True,
    type=click.Path(dir_okay=False),
    help="Settings that the platform wrote. [env: BASILWIND_NODE_FILE]",
)
@click.pass_obj
def entry(context, settings_file):
    """Run the daemon of an entry host on the users' platform."""
    return _run("entry", context, settings_file=settings_file)


@cli.command()
@click.argument("name")
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False))
@JSON_LINES
@click.pass_obj
def explain(context, name, files, as_json):
    """Explain what happened to a job or task, from log files or standard input."""
    return _run("explain", context, name=name, files=files, as_json=as_json)


@cli.command()
@click.argument("job_file", metavar="JOB.json", type=click.File("rb"))
@click.option(
    "--queue",
    required=True,
    metavar="HOST/PATH",
    help="Host and path to which callers submit the job.",
)
@click.option(
    "--entry",
    required=True,
    metavar="HOST:PORT",
    help="Address for other daemons of an entry host.",
)
@click.option("--customer", default="", help="Name of the customer; never its key.")
@JSON_LINES
@click.pass_obj
def where(context, job_file, queue, entry, customer, as_json):
    """Tell where a job would go now, and why; nothing is submitted."""
    return _run(
        "where",
        context,
        job=job_file.read(),
        queue=queue,
        entry=entry,
        customer=customer,
        as_json=as_json,
    )


@cli.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True))
@click.pass_obj
def check(context, paths):
    """Check settings: directories of a tree, or daemon settings files."""
    return _run("check", context, paths=paths)


@cli.command()
@click.argument("directory", type=click.Path(exists=True, file_okay=False))
@PLATFORM
@click.pass_obj
def plan(context, directory, platform):
    """Show how DIRECTORY differs from the settings in force."""
    return _run("plan", context, directory=directory, platform=platform)


@cli.command()
@click.argument("directory", type=click.Path(exists=True, file_okay=False))
@PLATFORM
@AUTHOR
@click.option("--team", default="", help="Publish only this team's subtree.")
@click.option(
    "--wait",
    "entries",
    multiple=True,
    metavar="HOST:PORT",
    help="Wait until this entry host has the change in force; may be repeated.",
)
@click.option(
    "--timeout", default=10.0, show_default=True, help="Maximum wait, in seconds."
)
@click.pass_obj
def apply(context, directory, platform, author, team, entries, timeout):
    """Publish the subtrees of DIRECTORY that differ from those in force."""
    return _run(
        "apply",
        context,
        directory=directory,
        platform=platform,
        author=author,
        team=team,
        entries=entries,
        timeout_s=timeout,
    )


@cli.command()
@click.argument("directory", type=click.Path(file_okay=False))
@PLATFORM
@click.pass_obj
def export(context, directory, platform):
    """Write the settings in force to DIRECTORY as files."""
    return _run("export", context, directory=directory, platform=platform)


@cli.command()
@PLATFORM
@click.option("--team", default="", help="Only this team's subtree.")
@click.option("--host", default="", help="Only this host.")
@click.option("--refused", is_flag=True, help="Only refused records.")
@click.option("--last", default=50, show_default=True, help="Number of entries.")
@JSON_LINES
@click.pass_obj
def audit(context, platform, team, host, refused, last, as_json):
    """List who changed what, when, from which version, and with which result."""
    return _run(
        "audit",
        context,
        platform=platform,
        team=team,
        host=host,
        only_refused=refused,
        last=last,
        as_json=as_json,
    )


@cli.command()
@click.argument(
    "action", type=click.Choice(["drain", "undrain", "reboot", "return", "move"])
)
@click.argument("name")
@PLATFORM
@AUTHOR
@click.option("--to-pool", default="", help="For 'move': the new pool.")
@click.option("--reason", default="", help="Reason for the audit trail.")
@click.pass_obj
def host(context, action, name, platform, author, to_pool, reason):
    """Drain, return or move the host NAME."""
    return _run(
        "host",
        context,
        action=action,
        name=name,
        platform=platform,
        author=author,
        to_pool=to_pool,
        reason=reason,
    )


@cli.command()
@click.argument(
    "action", type=click.Choice(["declare", "pause", "resume", "cancel", "status"])
)
@click.argument("wave")
@PLATFORM
@AUTHOR
@click.option("--host", "hosts", multiple=True, help="A host; repeatable.")
@click.option("--pool", "pools", multiple=True, help="All hosts of a pool.")
@click.option("--all", "is_all", is_flag=True, help="All hosts of the fleet.")
@click.option(
    "--at-once",
    default=1,
    show_default=True,
    help="Maximum number of hosts out of service at the same time.",
)
@click.option(
    "--stop-share",
    default=0.2,
    show_default=True,
    help="Share of failed hosts at which the wave stops by itself.",
)
@click.option("--by", default=0.0, help="Deadline, in seconds from now; 0 for none.")
@click.pass_obj
def maintain(context, action, wave, platform, author, **options):
    """Declare, change or show the maintenance wave WAVE."""
    return _run(
        "maintain",
        context,
        action=action,
        wave=wave,
        platform=platform,
        author=author,
        **options,
    )


def _work_options(command):
    for option in (
        click.option(
            "--deadline",
            default=0.0,
            help="Deadline, in seconds; 0 for the queue's default.",
        ),
        click.option("--urgent", is_flag=True, help="Use the urgent class."),
        click.option("--slots", default=1, show_default=True, help="Worker slots."),
        click.option("--label", "labels", multiple=True, help="A label; repeatable."),
        click.option("--key", default="", help="Idempotency key, a UUIDv7."),
        click.option("--once", is_flag=True, help="The work is not idempotent."),
    ):
        command = option(command)
    return command


@cli.command()
@click.argument("team")
@click.argument("queue")
@click.argument("body", required=False)
@ENTRY
@TOKEN
@_work_options
@click.option("--job", "is_job", is_flag=True, help="Submit a job and print its id.")
@click.pass_obj
def submit(context, team, queue, body, entry, token, is_job, **options):
    """Submit a request to TEAM's QUEUE and print the answer.

    BODY is read from standard input if it is not given.
    """
    return _run(
        "submit",
        context,
        team=team,
        queue=queue,
        body=body,
        entry=entry,
        token=token,
        is_job=is_job,
        **options,
    )


@cli.command()
@click.argument("team")
@click.argument("job_id")
@ENTRY
@TOKEN
@click.option(
    "--wait", "wait_s", default=0.0, help="Maximum wait for its end, in seconds."
)
@click.pass_obj
def job(context, team, job_id, entry, token, wait_s):
    """Show a job of TEAM."""
    return _run(
        "job",
        context,
        team=team,
        job_id=job_id,
        entry=entry,
        token=token,
        wait_s=wait_s,
    )


@cli.command()
@click.argument("team")
@click.argument("job_id", required=False)
@ENTRY
@TOKEN
@click.option("--label", default="", help="Cancel all unfinished jobs with a label.")
@click.pass_obj
def cancel(context, team, job_id, entry, token, label):
    """Cancel a job of TEAM, or all unfinished jobs with a label."""
    return _run(
        "cancel",
        context,
        team=team,
        job_id=job_id,
        entry=entry,
        token=token,
        label=label,
    )


@cli.command()
@click.argument("entries", nargs=-1, required=True, metavar="HOST:PORT...")
@JSON_LINES
@click.pass_obj
def status(context, entries, as_json):
    """Show the status of entry hosts."""
    return _run("status", context, entries=entries, as_json=as_json)


@cli.group("stand-in")
def stand_in():
    """Run stand-ins for the platform and for workers, for demos and tests."""


@stand_in.command("platform")
@click.option(
    "--listen", required=True, metavar="HOST:PORT", help="Address to listen on."
)
@click.pass_obj
def stand_in_platform(context, listen):
    """Run a stand-in for the platform's log and host list."""
    return _run("stand_in", context, kind="platform", listen=listen)


@stand_in.command("worker")
@click.option(
    "--settings",
    "directory",
    required=True,
    type=click.Path(exists=True, file_okay=False),
    help="Settings tree that declares the hosts.",
)
@click.option("--zone", default="", help="Run only the hosts of this zone.")
@click.option(
    "--platform",
    default="",
    metavar="URL",
    help="Platform stand-in whose reboot orders are carried out.",
)
@click.pass_obj
def stand_in_worker(context, directory, zone, platform):
    """Run stand-ins for the workers that a settings tree declares."""
    return _run(
        "stand_in",
        context,
        kind="worker",
        directory=directory,
        zone=zone,
        platform=platform,
    )


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_obj
def completion(context, shell):
    """Print the completion script of a shell."""
    return _run("completion", context, cli=cli, shell=shell)


@cli.command()
@click.argument("mix_file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="Address of an entry host; repeatable, used in rotation.",
)
@click.option(
    "--token",
    "tokens",
    multiple=True,
    metavar="TEAM=TOKEN",
    help="Bearer token of a team; TEAM-token if not given.",
)
@click.option(
    "--worker",
    "workers",
    multiple=True,
    metavar="HOST:PORT",
    help="Stand-in worker whose ledger is checked; repeatable.",
)
@click.option(
    "--rate",
    default=50.0,
    show_default=True,
    type=click.FloatRange(0.1, 2000),
    help="Requests per second.",
)
@click.option(
    "--seconds",
    default=10.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help="How long to send.",
)
@click.option(
    "--seed", default=0, show_default=True, help="Seed of the random choices."
)
@click.pass_obj
def load(context, mix_file, entries, tokens, workers, rate, seconds, seed):
    """Send the mix of requests and jobs in MIX_FILE and verify the outcomes."""
    return _run(
        "load",
        context,
        mix_file=mix_file,
        entries=entries,
        tokens=tokens,
        workers=workers,
        rate=rate,
        seconds=seconds,
        seed=seed,
    )
