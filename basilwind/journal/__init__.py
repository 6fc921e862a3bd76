"""The journal of a zone: records on the log that must outlive an entry host."""
