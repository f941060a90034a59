package grebehoist.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The protocol's header names, and what of a message's headers goes on to the next hop. */
final class Headers {
    static final String REQUEST_ID = "x-request-id";
    static final String REQUEST_CLASS = "x-priority-class";
    static final String TENANT = "x-tenant-id";
    static final String TIMEOUT = "x-timeout";
    static final String IDEMPOTENCY_KEY = "idempotency-key";
    static final String RETRIED = "x-retried";
    static final String NOT_PROCESSED = "x-not-processed";

    /** These concern one connection alone (RFC 9110, 7.6.1); the content length is set afresh by each sender. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "proxy-authenticate",
            "proxy-authorization",
            "content-length",
            "expect");

    private Headers() {}

    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        boolean named = from.contains(HttpHeaderNames.CONNECTION);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))
                    && !(named && from.containsValue(HttpHeaderNames.CONNECTION, name, true))) {
                to.add(name, header.getValue());
            }
        }
    }
}
