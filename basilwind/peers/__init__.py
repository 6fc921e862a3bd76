"""Messages and connections between entry hosts."""
