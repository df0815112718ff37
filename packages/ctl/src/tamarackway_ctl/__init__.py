"""tamarackctl, the command-line client for operators."""
