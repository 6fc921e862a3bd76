"""Control state: a fold over the records of the platform's control stream."""
