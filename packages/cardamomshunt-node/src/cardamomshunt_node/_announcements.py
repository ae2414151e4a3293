"""Receiver of the announcements of backend servers."""

import itertools
import secrets
from collections import OrderedDict
from collections.abc import Callable

import msgspec
from aiohttp import web
from cardamomshunt.messages import Announcement

# At 100 ms between announcements of 9 to 60 instances, this covers more than a minute.
N_TOKENS_MAX = 50_000
TOKEN_AGE_MAX_MS = 60_000.0
_BODY_SIZE_MAX_BYTES = 64 * 1024
_JSON = "application/json"

AnnouncementSink = Callable[[Announcement, float | None], None]


class TokenBook:
    """Issue tokens and remember when, for a bounded time and number.

    A token carries a secret of this process, so that none can be made up and none of
    an earlier run is taken for one of this run.

    >>> book = TokenBook()
    >>> token = book.issue(1_000.0)
    >>> book.issued_ms(token), book.issued_ms("made up")
    (1000.0, None)
    """

    def __init__(
        self,
        n_tokens_max: int = N_TOKENS_MAX,
        age_max_ms: float = TOKEN_AGE_MAX_MS,
    ) -> None:
        self._secret = secrets.token_hex(8)
        self._numbers = itertools.count(1)
        self._n_tokens_max = n_tokens_max
        self._age_max_ms = age_max_ms
        self._issued_ms: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._issued_ms)

    def issue(self, now_ms: float) -> str:
        """Return a fresh token."""
        token = f"{self._secret}-{next(self._numbers)}"
        self._issued_ms[token] = now_ms
        while len(self._issued_ms) > self._n_tokens_max or self._is_oldest_over(now_ms):
            self._issued_ms.popitem(last=False)
        return token

    def issued_ms(self, token: str) -> float | None:
        """Return when a token was issued, or None if it is not known."""
        return self._issued_ms.get(token)

    def _is_oldest_over(self, now_ms: float) -> bool:
        oldest_ms = next(iter(self._issued_ms.values()), now_ms)
        return now_ms - oldest_ms > self._age_max_ms


class AnnouncementReceiver:
    """Serve `POST /v1/announcement` and answer each with a token."""

    def __init__(
        self,
        host: str,
        port: int,
        sink: AnnouncementSink,
        clock_ms: Callable[[], float],
        on_rejected: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._host = host
        self._port = port
        self._sink = sink
        self._clock_ms = clock_ms
        self._on_rejected = on_rejected
        self._decoder = msgspec.json.Decoder(Announcement)
        self._runner: web.AppRunner | None = None
        self.tokens = TokenBook()

    async def start(self) -> None:
        """Listen; raise OSError if the address is taken."""
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
        # The token is issued before the announcement takes effect, as a bound may only
        # be as new as the moment before the answer left.
        token = self.tokens.issue(self._clock_ms())
        self._sink(announcement, issued_ms)
        return web.Response(
            body=msgspec.json.encode({"token": token}), content_type=_JSON
        )
