"""A TCP proxy on loopback that can delay, reset, stall, or drop one direction of its connections."""

import asyncio
import enum
import threading

HOST = "127.0.0.1"
CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """How the proxy treats its connections."""

    PASS = "pass"
    DELAY = "delay"          # Each chunk is delayed by `delay_s`.
    CUT_TO = "cut-to"        # Bytes to the server are discarded.
    CUT_FROM = "cut-from"    # Bytes from the server are discarded.
    SILENT = "silent"        # Bytes are held back in both directions; connections stay open.
    REFUSE = "refuse"        # Open connections are reset, new ones immediately after they are accepted.


class Proxy:
    """Forwards one port to another. Thread safety: set() and reset() may be called from any thread."""

    def __init__(self, loop, listen, target):
        self._loop = loop
        self._listen = listen
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._mode_changed = None
        self._server = None
        self._writers = set()

    async def start(self):
        """Starts to listen."""
        self._mode_changed = asyncio.Event()
        self._server = await asyncio.start_server(self._serve, HOST, self._listen)

    def close(self):
        """Stops listening and aborts all connections. Must be called on the event loop of the proxy."""
        self._server.close()
        self._abort_all()

    def set(self, mode, delay_s=0.0):
        """Sets the mode of all open and future connections."""
        self._loop.call_soon_threadsafe(self._apply, mode, delay_s)

    def reset(self):
        """Resets all open connections; new ones are not affected."""
        self._loop.call_soon_threadsafe(self._abort_all)

    def _apply(self, mode, delay_s):
        self._mode = mode
        self._delay_s = delay_s
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode is Mode.REFUSE:
            self._abort_all()

    def _abort_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._mode is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, server_writer}
        await asyncio.gather(self._copy(reader, server_writer, Mode.CUT_TO),
                             self._copy(server_reader, writer, Mode.CUT_FROM))
        self._writers -= {writer, server_writer}
        writer.close()
        server_writer.close()

    async def _copy(self, reader, writer, discarding_mode):
        """Copies one direction until it ends, then half-closes the other side."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self._mode is Mode.SILENT:
                    await self._mode_changed.wait()
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(self._delay_s)
                if self._mode is discarding_mode:
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()


class Proxies:
    """All proxies of a run, on one event loop in a thread of its own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._proxies = []
        self._thread.start()

    def add(self, listen, target):
        """Starts a proxy that forwards the port `listen` to the port `target`."""
        proxy = Proxy(self._loop, listen, target)
        asyncio.run_coroutine_threadsafe(proxy.start(), self._loop).result()
        self._proxies.append(proxy)
        return proxy

    async def _close_all(self):
        for proxy in self._proxies:
            proxy.close()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self):
        """Stops all proxies and their thread."""
        asyncio.run_coroutine_threadsafe(self._close_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
