"""A TCP proxy on loopback whose connections can be delayed, reset, cut one way or silenced."""

import asyncio
import enum
import threading

HOST = "127.0.0.1"
CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """What the proxy does to the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"          # Each chunk waits for `delay_s`.
    CUT_TO = "cut-to"        # Bytes towards the server are read and dropped.
    CUT_FROM = "cut-from"    # Bytes from the server are read and dropped.
    SILENT = "silent"        # Bytes are held both ways; connections stay open.
    REFUSE = "refuse"        # Open connections are reset, and new ones at once.


class Proxy:
    """One listening port that forwards to another. Thread-safe: set() may be called from any thread."""

    def __init__(self, loop, listen, target):
        self._loop = loop
        self._listen = listen
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._changed = None
        self._server = None
        self._writers = set()

    async def start(self):
        """Begins to listen."""
        self._changed = asyncio.Event()
        self._server = await asyncio.start_server(self._serve, HOST, self._listen)

    def close(self):
        """Ends it. Call on its loop."""
        self._server.close()
        self._abort_all()

    def set(self, mode, delay_s=0.0):
        """Changes the mode of all connections, open and new."""
        self._loop.call_soon_threadsafe(self._apply, mode, delay_s)

    def reset(self):
        """Resets the open connections; new ones pass."""
        self._loop.call_soon_threadsafe(self._abort_all)

    def _apply(self, mode, delay_s):
        self._mode = mode
        self._delay_s = delay_s
        self._changed.set()
        self._changed = asyncio.Event()
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
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(self._copy(reader, far_writer, Mode.CUT_TO), self._copy(far_reader, writer, Mode.CUT_FROM))
        self._writers -= {writer, far_writer}

    async def _copy(self, reader, writer, cut):
        """Copies one direction until its end, which is passed on as an end of that direction only."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self._mode is Mode.SILENT:
                    await self._changed.wait()
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(self._delay_s)
                if self._mode is cut:
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()


class Proxies:
    """The proxies of a run, on one thread of their own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._proxies = []
        self._thread.start()

    def add(self, listen, target):
        """Starts a proxy from the port `listen` to the port `target`."""
        proxy = Proxy(self._loop, listen, target)
        asyncio.run_coroutine_threadsafe(proxy.start(), self._loop).result()
        self._proxies.append(proxy)
        return proxy

    async def _end(self):
        for proxy in self._proxies:
            proxy.close()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def stop(self):
        """Ends all proxies."""
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
