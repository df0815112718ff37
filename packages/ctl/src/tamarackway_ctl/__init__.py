"""tamarackctl, the command line of operators."""
