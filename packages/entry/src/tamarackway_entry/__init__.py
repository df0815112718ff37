"""tamarackd, the daemon that runs on each entry instance."""
