"""Runs entry host daemons and stand-ins for the scripts of the third review."""
