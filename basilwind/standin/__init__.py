"""In-memory stand-ins for the platform and the workers, for demos and tests.

``platform`` and ``worker`` stand in for what daemons started with ``basilwind serve``
use, ``entry_platform`` for what daemons started with ``basilwind entry`` use.
"""
