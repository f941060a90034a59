package grebehoist.http;

import beechfall.Balancer;
import grebehoist.engine.Request;
import grebehoist.engine.TransferTime;
import grebehoist.net.ClientFront;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads what an HTTP request asks of a pool, or says why it can't be passed on. */
final class RequestReader {
    private static final Pattern TIMEOUT = Pattern.compile("(\\d{1,8})([mu])");

    private static final long LEAST_COMING_US = 3_000_000;
    private static final long MOST_COMING_US = 120_000_000;

    private final Map<String, Balancer.Effect> effects = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();

    RequestReader(Balancer.Settings settings) {
        settings.classes().forEach(c -> effects.put(c.name(), c.effect()));
        settings.tenants().forEach(t -> tenants.add(t.name()));
    }

    /** A request that can't be passed on, and the status that says so. */
    static final class Rejected extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        Rejected(HttpResponseStatus status, String why) {
            super(why, null, false, false);
            this.status = status;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    /** Returns the path and query of a target that may be a whole URI (RFC 9112, 3.2.2): what backends are asked for. */
    static String originForm(String target) {
        int scheme = target.startsWith("/") ? -1 : target.indexOf("://");
        if (scheme < 0) {
            return target;
        }
        int path = target.indexOf('/', scheme + 3);
        return path < 0 ? "/" : target.substring(path);
    }

    /**
     * Reads a request.
     *
     * @param target what is asked for, and what a backend is asked for
     * @param uri the same, taken apart
     * @param body the body, as far as it is there
     * @param upload the body where it goes on as it comes, else null
     * @param cameAt when its client's patience began, as far as can be known
     */
    Request read(HttpRequest request, String target, QueryStringDecoder uri, ByteBuf body, Upload upload, long cameAt)
            throws Rejected {
        if (!uri.rawPath().equals("/api") && !uri.rawPath().startsWith("/api/")) {
            throw new Rejected(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        HttpHeaders headers = request.headers();
        String requestClass = header(headers, Headers.REQUEST_CLASS);
        Balancer.Effect effect = effects.get(requestClass);
        if (effect == null) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "unknown " + Headers.REQUEST_CLASS);
        }
        HttpMethod wanted = effect == Balancer.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!request.method().equals(wanted)) {
            throw new Rejected(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class is asked for with " + wanted);
        }
        if (effect == Balancer.Effect.KEYED) {
            header(headers, Headers.IDEMPOTENCY_KEY);
        }
        String tenant = null;
        if (!tenants.isEmpty()) {
            tenant = header(headers, Headers.TENANT);
            if (!tenants.contains(tenant)) {
                throw new Rejected(HttpResponseStatus.BAD_REQUEST, "unknown " + Headers.TENANT);
            }
        }
        String requestId = header(headers, Headers.REQUEST_ID);
        List<String> keys = uri.parameters().get("k");
        long patienceUs = patienceUs(header(headers, Headers.TIMEOUT));
        long deadline = ClientFront.deadline(cameAt, patienceUs);
        return new Request(
                requestId,
                requestClass,
                tenant,
                keys == null ? null : keys.get(0),
                "1".equals(headers.get(Headers.RETRIED)),
                deadline,
                upload == null || upload.over() ? 0 : comingUs(upload),
                new HttpCall(request.method(), target, headers, body, upload));
    }

    /** How long the rest of a body may take: a client that keeps it moving is given all the time that it needs, within reason. */
    private static long comingUs(Upload upload) {
        return upload.length() < 0
                ? MOST_COMING_US
                : Math.min(MOST_COMING_US, LEAST_COMING_US + TransferTime.slowestUs(upload.length()));
    }

    private static String header(HttpHeaders headers, String name) throws Rejected {
        String value = headers.get(name);
        if (value == null || value.isEmpty()) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "missing " + name);
        }
        return value;
    }

    private static long patienceUs(String text) throws Rejected {
        Matcher m = TIMEOUT.matcher(text);
        if (!m.matches() || Long.parseLong(m.group(1)) == 0) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "bad " + Headers.TIMEOUT);
        }
        return Long.parseLong(m.group(1)) * (m.group(2).equals("m") ? 1_000 : 1);
    }
}
