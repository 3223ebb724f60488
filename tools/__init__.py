"""Developer tools that are not part of the installed package."""
