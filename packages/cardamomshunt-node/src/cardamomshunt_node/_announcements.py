"""HTTP receiver of the announcements of backend servers."""

import itertools
import secrets
from collections import OrderedDict
from collections.abc import Callable

import msgspec
from aiohttp import web
from cardamomshunt.messages import Announcement

# Covers more than a minute of announcements of 9 to 60 instances, each every 100 ms.
N_TOKENS_MAX = 50_000
TOKEN_AGE_MAX_MS = 60_000.0
_BODY_SIZE_MAX_BYTES = 64 * 1024
_JSON = "application/json"

AnnouncementHandler = Callable[[Announcement, float | None], None]


class TokenRegistry:
    """Issue tokens, and record when each was issued, up to a maximum age and number.

    A token contains a secret of this process, so that a server can't forge tokens or
    reuse those of an earlier run.

    >>> registry = TokenRegistry()
    >>> token = registry.issue(1_000.0)
    >>> registry.issued_ms(token), registry.issued_ms("forged")
    (1000.0, None)
    """

    def __init__(
        self,
        n_tokens_max: int = N_TOKENS_MAX,
        age_max_ms: float = TOKEN_AGE_MAX_MS,
    ) -> None:
        self._secret = secrets.token_hex(8)
        self._sequence = itertools.count(1)
        self._n_tokens_max = n_tokens_max
        self._age_max_ms = age_max_ms
        self._issued_ms: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._issued_ms)

    def issue(self, now_ms: float) -> str:
        """Return a new token, and discard expired and excess ones."""
        token = f"{self._secret}-{next(self._sequence)}"
        self._issued_ms[token] = now_ms
        while len(self._issued_ms) > self._n_tokens_max or self._has_expired(now_ms):
            self._issued_ms.popitem(last=False)
        return token

    def issued_ms(self, token: str) -> float | None:
        """Return when a token was issued in milliseconds, or None if it is unknown."""
        return self._issued_ms.get(token)

    def _has_expired(self, now_ms: float) -> bool:
        oldest_ms = next(iter(self._issued_ms.values()), now_ms)
        return now_ms - oldest_ms > self._age_max_ms


class AnnouncementReceiver:
    """Serve `POST /v1/announcement` and answer each announcement with a token."""

    def __init__(
        self,
        host: str,
        port: int,
        handler: AnnouncementHandler,
        clock_ms: Callable[[], float],
        on_rejected: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._clock_ms = clock_ms
        self._on_rejected = on_rejected
        self._decoder = msgspec.json.Decoder(Announcement)
        self._runner: web.AppRunner | None = None
        self.tokens = TokenRegistry()

    async def start(self) -> None:
        """Listen; raise OSError if the address is in use."""
        application = web.Application(client_max_size=_BODY_SIZE_MAX_BYTES)
        application.router.add_post("/v1/announcement", self._handle)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.Request) -> web.Response:
        try:
            announcement = self._decoder.decode(await request.read())
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._on_rejected(f"{request.remote}: {error}")
            return web.json_response({"reason": str(error)}, status=400)
        echo = announcement.echo
        issued_ms = self.tokens.issued_ms(echo.token) if echo is not None else None
        # The token is issued before the announcement is handled, because a freshness
        # bound must not be newer than the moment at which the answer was sent.
        token = self.tokens.issue(self._clock_ms())
        self._handler(announcement, issued_ms)
        return web.Response(
            body=msgspec.json.encode({"token": token}), content_type=_JSON
        )
