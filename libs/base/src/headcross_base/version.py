"""The version of headcross, reported by both programs and by the administration API."""

from typing import Final

VERSION: Final = "0.1.0"

# Major version of the administration API, part of all its paths.
ADMIN_API: Final = "v1"
