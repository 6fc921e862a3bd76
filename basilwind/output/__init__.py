"""Tables and other output of commands."""
