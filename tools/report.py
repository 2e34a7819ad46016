"""Computes figures from the output lines of the load generator."""

RECOVERED_RATIO = 0.95
RECOVERY_INTERVALS = 3


def completed_per_second(line, interval):
    """Returns the requests completed per second, without sub-calls, in the interval that ends with a line."""
    return sum(counts["completed"] for counts in line.get("kinds", {}).values()) / interval


def intervals(lines):
    """Yields each line that ends an interval, with the length of the interval in seconds."""
    previous_s = 0.0
    for line in lines:
        if "t" in line:
            yield line, max(1e-3, line["t"] - previous_s)
            previous_s = line["t"]


def goodput(lines, phase):
    """Returns the requests completed per second in a phase, without sub-calls; skips the first interval."""
    rows = [(line, length) for line, length in intervals(lines) if line["phase"] == phase][1:]
    seconds = sum(length for _, length in rows)
    completed = sum(completed_per_second(line, length) * length for line, length in rows)
    return completed / seconds if seconds > 0 else 0.0


def recovery_seconds(lines, fault_end_s):
    """Returns the seconds from the end of the fault to the first three intervals with 95 % of requests completed.

    Returns None if there are no such intervals.
    """
    rows = [(line, length) for line, length in intervals(lines) if line["t"] > fault_end_s]
    for index in range(len(rows) - RECOVERY_INTERVALS + 1):
        window = rows[index:index + RECOVERY_INTERVALS]
        sent = sum(sum(counts["sent"] for counts in line["kinds"].values()) for line, _ in window)
        completed = sum(sum(counts["completed"] for counts in line["kinds"].values()) for line, _ in window)
        if completed >= RECOVERED_RATIO * sent:
            start = window[0][0]["t"] - window[0][1]
            return max(0.0, start - fault_end_s)
    return None
