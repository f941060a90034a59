package grebehoist.trial;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * Something that goes wrong in a soak, for a time.
 *
 * @param atMs when, from the start of the load
 * @param forMs for how long, where that means anything
 * @param target which process, backend or errno, as the kind takes it; the play takes it modulo what is there
 */
record SoakFault(Kind kind, long atMs, long forMs, int target) {
    /** What it happens to. */
    enum Target {
        SYSTEM_CALL,
        PROCESS,
        OPERATOR,
        BACKEND,
        DISCOVERY,
        CLIENTS
    }

    /** What goes wrong. */
    enum Kind {
        /** socket(2) fails. */
        SOCKET(Target.SYSTEM_CALL),
        /** connect(2) fails. */
        CONNECT(Target.SYSTEM_CALL),
        /** accept(2) fails. */
        ACCEPT(Target.SYSTEM_CALL),
        /** Each accept(2) takes some milliseconds. */
        SLOW_ACCEPT(Target.SYSTEM_CALL),
        /** bind(2) fails, which shows at a start. */
        BIND(Target.SYSTEM_CALL),
        /** What operators ask can't be written. */
        STATE_WRITE(Target.SYSTEM_CALL),
        /** What operators have asked can't be read. */
        STATE_READ(Target.SYSTEM_CALL),
        /** What operators have asked can't be deleted. */
        STATE_DELETE(Target.SYSTEM_CALL),
        /** The configuration can't be read. */
        CONFIGURATION_READ(Target.SYSTEM_CALL),
        /** Waits are interrupted. */
        WAIT(Target.SYSTEM_CALL),
        /** Reads and writes are short. */
        SHORT(Target.SYSTEM_CALL),
        /** Connections to backends and discovery break under reads. */
        BROKEN_READ(Target.SYSTEM_CALL),
        /** Connections to backends and discovery break under writes. */
        BROKEN_WRITE(Target.SYSTEM_CALL),
        /** The wall clock is wrong, by a second up to an hour. */
        CLOCK(Target.SYSTEM_CALL),
        /** SIGTERM, SIGKILL at the earliest time that the pages allow, and a new start. */
        RESTART(Target.PROCESS),
        /** SIGKILL, and a new start. */
        KILL(Target.PROCESS),
        /** SIGSTOP for up to 150 ms, and SIGCONT. */
        PAUSE(Target.PROCESS),
        /** Its processor in slices: stopped for some milliseconds, again and again, with less in between. */
        SLICES(Target.PROCESS),
        /** A second process beside the first, which is then told to end. */
        UPGRADE(Target.PROCESS),
        /** The configuration is written several times, once half, with SIGHUP each time. */
        RELOAD(Target.PROCESS),
        /** Operators take a backend out, and put it back. */
        SUSPEND(Target.OPERATOR),
        /** Operators send a proxy's clients away, and let them come back. */
        SEND_AWAY(Target.OPERATOR),
        /** A backend drains, and is wanted again. */
        DRAIN(Target.BACKEND),
        /** A backend crashes, and is back cold. */
        CRASH(Target.BACKEND),
        /** A backend drains and goes; a cold one takes its place. */
        REPLACE(Target.BACKEND),
        /** A backend is slow. */
        SLOW(Target.BACKEND),
        /** A backend takes requests and says nothing. */
        HANG(Target.BACKEND),
        /** A backend ends connections under requests. */
        RESET(Target.BACKEND),
        /** Discovery is down. */
        DISCOVERY_DOWN(Target.DISCOVERY),
        /** Discovery takes calls and says nothing. */
        DISCOVERY_SILENT(Target.DISCOVERY),
        /** Discovery answers that it is busy. */
        DISCOVERY_BUSY(Target.DISCOVERY),
        /** Clients hang up. */
        HANG_UPS(Target.CLIENTS),
        /** A burst of new clients at one process, every other of which soon leaves. */
        NEW_CLIENTS(Target.CLIENTS),
        /** Clients stop half-way through a request. */
        HALF_REQUESTS(Target.CLIENTS),
        /** Clients send in pieces. */
        SLOW_CLIENTS(Target.CLIENTS),
        /** Many connections on which nothing is asked. */
        IDLE_CROWD(Target.CLIENTS),
        /** SIGHUP, SIGTERM and stops in a series, at a restart or an upgrade; SIGKILL at the earliest time that the pages allow. */
        SIGNALS(Target.PROCESS),
        /** Its processor in long slices: stopped for 60 ms, again and again, with as much in between. */
        LONG_SLICES(Target.PROCESS),
        /** Many clients at one process that send many short pieces, or stop half-way. */
        PIECES_CROWD(Target.CLIENTS);

        /** Those that a schedule draws by themselves, so that the others of a seed stay as they were before there were these. */
        private static final Set<Kind> ADDED = EnumSet.of(SIGNALS, LONG_SLICES, PIECES_CROWD);

        private final Target target;

        Kind(Target target) {
            this.target = target;
        }

        Target target() {
            return target;
        }

        boolean added() {
            return ADDED.contains(this);
        }

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "%s at %.1f s for %.1f s, target %d", kind.word(), atMs / 1e3, forMs / 1e3, target);
    }
}
