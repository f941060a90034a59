package grebehoist.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Numeric addresses with a port: there is no DNS where this runs, and none is to be waited for. */
public final class Addresses {
    private Addresses() {}

    /** Returns the address, or null where the text is none. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > 65_535 ? null : new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
