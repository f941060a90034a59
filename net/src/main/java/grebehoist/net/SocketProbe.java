package grebehoist.net;

import java.lang.reflect.Field;
import java.lang.reflect.Method;

/**
 * Makes sure at a process's start that the runtime knows that addresses can be shared (SO_REUSEPORT). It finds that out once, with a
 * socket of its own, as its network library is loaded, and never asks again: a process whose first socket(2) fails could not
 * listen beside the one that it is to follow, for all its life. Linux has shared addresses since version 3.9, so the runtime is told.
 *
 * <p>Java has no way to say so; two fields of {@code sun.nio.ch.Net} are set by name, which the jar's manifest opens ({@code Add-Opens}).
 */
public final class SocketProbe {
    private SocketProbe() {}

    /**
     * Returns whether addresses can be shared, after telling the runtime so where it thinks otherwise. Comes before anything that
     * asks for a socket's options.
     */
    public static boolean addressesCanBeShared() {
        try {
            Class<?> net = Class.forName("sun.nio.ch.Net");
            Method available = net.getDeclaredMethod("isReusePortAvailable");
            available.setAccessible(true);
            if ((boolean) available.invoke(null)) {
                return true;
            }
            if (!System.getProperty("os.name").equals("Linux")) {
                return false;
            }
            set(net, "isReusePortAvailable");
            set(net, "checkedReusePort");
            return true;
        } catch (ReflectiveOperationException | RuntimeException e) {
            // Another runtime, or not started from the jar: what it has found out holds.
            return false;
        }
    }

    private static void set(Class<?> net, String name) throws ReflectiveOperationException {
        Field field = net.getDeclaredField(name);
        field.setAccessible(true);
        field.setBoolean(null, true);
    }
}
