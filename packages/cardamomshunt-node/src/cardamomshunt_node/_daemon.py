"""Base class of the daemons of entry and control VMs."""

import asyncio
import signal
from abc import ABC, abstractmethod

from cardamomshunt_node._daemon_metrics import DaemonMetrics
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import DeploymentSettings, Platform
from cardamomshunt_node._early_signals import take_held_reload
from cardamomshunt_node._http import HttpRequest, HttpResponse, HttpServer
from cardamomshunt_node._recovery_steps import RecoveryStep, RecoverySteps


class Daemon(ABC):
    """Handle the signals, the log and the metrics address of a process."""

    def __init__(
        self,
        platform: Platform,
        settings: DeploymentSettings,
        log: DecisionLog | None,
        metrics: DaemonMetrics,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._log = log or DecisionLog(settings.node)
        self._steps = RecoverySteps(self._log)
        self._steps.record(RecoveryStep.IMPORTS)
        self._stop = asyncio.Event()
        self._daemon_metrics = metrics
        self._metrics_server = HttpServer(
            f"{settings.host}:{settings.metrics_port}", self._answer_metrics
        )

    def stop(self) -> None:
        """Start to stop, as on SIGTERM."""
        self._stop.set()

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if take_held_reload():
            loop.call_soon(self._reload)

    @abstractmethod
    def _reload(self) -> None:
        """Apply changed settings, as on SIGHUP."""

    @abstractmethod
    def _update_metrics(self) -> None:
        """Set the gauges."""

    def _operator_page(self, path: str) -> HttpResponse | None:
        """Return the page for operators at a path, or None if there is none."""
        return None

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        page = self._operator_page(request.path)
        if page is not None:
            return page
        self._update_metrics()
        content = self._daemon_metrics.render()
        return HttpResponse(200, content, content_type="text/plain")
