"""Small stand-ins of the systems guavamast meets: platform, engine and service."""
