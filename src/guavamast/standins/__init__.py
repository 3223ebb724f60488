"""Stand-ins for the external systems that guavamast uses: platform, engine and service."""
