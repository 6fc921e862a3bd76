"""Protocol between entry hosts: messages, encoding, connections and handlers."""
