"""The platform's services: the append-only log and the list of hosts."""
