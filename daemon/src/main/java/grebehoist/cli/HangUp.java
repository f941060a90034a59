package grebehoist.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * SIGHUP: the configuration is to be read again. Where whoever started this process ignores that signal (nohup does), the Java runtime leaves
 * it so, and nothing ever hears of it; then the file is looked at instead. Java has no other handler for a signal than
 * {@code sun.misc.Signal}; it is called by name, as the compiler's warning about it can't be silenced.
 */
final class HangUp {
    /** A new configuration counts some seconds after the signal: this leaves most of them for what follows. */
    private static final long LOOK_MS = 500;

    /** An action that signals ask for before it is there: asked then, it runs as soon as it is. */
    static final class Deferred implements Runnable {
        private Runnable action;
        private boolean asked;

        /** Runs the action, now or once it is there. */
        @Override
        public void run() {
            Runnable now;
            synchronized (this) {
                now = action;
                asked = now == null;
            }
            if (now != null) {
                now.run();
            }
        }

        /** The action is there. */
        void begin(Runnable wanted) {
            boolean due;
            synchronized (this) {
                action = wanted;
                due = asked;
            }
            if (due) {
                wanted.run();
            }
        }
    }

    private HangUp() {}

    /**
     * Runs an action at each SIGHUP; without this the signal ends the process.
     *
     * @return whether the signal can come: false where it is ignored for this process
     */
    static boolean handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler handle = (self, method, args) -> {
                if (method.getName().equals("handle")) {
                    action.run();
                }
                return null;
            };
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            java.lang.reflect.Proxy.newProxyInstance(null, new Class<?>[] {handler}, handle));
            return before != handler.getField("SIG_IGN").get(null);
        } catch (InvocationTargetException e) {
            throw new IllegalStateException("this Java can't handle SIGHUP", e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java can't handle signals", e);
        }
    }

    /**
     * Runs an action on a thread of its own soon after a file was written, each time.
     *
     * @param first the file as it was before it was last read
     */
    static void onChange(Path file, FileStamp first, Runnable action) {
        var thread = new Thread(
                () -> {
                    FileStamp before = first;
                    try {
                        while (true) {
                            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                            FileStamp now = FileStamp.of(file);
                            if (now != null && !now.equals(before)) {
                                before = now;
                                action.run();
                            }
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "configuration");
        thread.setDaemon(true);
        thread.start();
    }
}
