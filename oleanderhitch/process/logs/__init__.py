"""Write structured log lines without ever waiting for their reader."""
