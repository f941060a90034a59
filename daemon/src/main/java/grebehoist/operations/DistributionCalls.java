package grebehoist.operations;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import io.netty.buffer.ByteBufInputStream;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;

/** What can be asked at a {@link Door} of the distribution of configuration. Used by the loop's thread; loaded only where something is. */
public final class DistributionCalls {
    /** Whoever answers. */
    public interface Distributed {
        /** Returns whether this process has heard of all that it is to hold. */
        boolean ready();

        /**
         * Returns what is held.
         *
         * @param scope the one that is wanted, or null for all
         * @param after where it begins, or null
         * @return null where that scope is not held
         */
        ObjectNode figures(String scope, String after);

        /**
         * Answers a writer's call.
         *
         * @return null where this process answers none
         * @throws BadCall where it is no call for this process; nothing has changed
         */
        ObjectNode call(JsonNode call) throws BadCall;
    }

    /** A call that can't be read, or is not for this process; the message says what is wrong and where. */
    public static final class BadCall extends Exception {
        private static final long serialVersionUID = 1L;

        /** Makes one. */
        public BadCall(String what) {
            super(what);
        }
    }

    private final Distributed answers;

    /** Makes the calls that somebody answers. */
    public DistributionCalls(Distributed answers) {
        this.answers = answers;
    }

    boolean ready() {
        return answers.ready();
    }

    /** Answers a GET with figures, and a POST with what a writer is to know. */
    void call(FullHttpRequest request, QueryStringDecoder uri, BiConsumer<HttpResponseStatus, ObjectNode> answer) {
        if (request.method().equals(HttpMethod.GET)) {
            String scope = parameter(uri, "scope");
            ObjectNode figures = answers.figures(scope, parameter(uri, "after"));
            give(answer, figures, "scope '" + scope + "' is not held here");
            return;
        }
        try (var body = new ByteBufInputStream(request.content())) {
            give(answer, answers.call(Json.read(body)), "this process holds nothing for others");
        } catch (BadCall e) {
            refuse(answer, HttpResponseStatus.BAD_REQUEST, e.getMessage());
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            refuse(
                    answer,
                    HttpResponseStatus.BAD_REQUEST,
                    (at == null ? "" : "line " + at.getLineNr() + ", column " + at.getColumnNr() + ": ") + "not JSON: "
                            + e.getOriginalMessage());
        } catch (IOException e) {
            refuse(answer, HttpResponseStatus.BAD_REQUEST, "not JSON: " + e.getMessage());
        }
    }

    private static void give(BiConsumer<HttpResponseStatus, ObjectNode> answer, ObjectNode found, String none) {
        if (found == null) {
            refuse(answer, HttpResponseStatus.NOT_FOUND, none);
        } else {
            answer.accept(HttpResponseStatus.OK, found);
        }
    }

    private static void refuse(
            BiConsumer<HttpResponseStatus, ObjectNode> answer, HttpResponseStatus status, String why) {
        answer.accept(status, Json.object().put("error", why));
    }

    private static String parameter(QueryStringDecoder uri, String name) {
        List<String> values = uri.parameters().get(name);
        return values == null ? null : values.get(0);
    }
}
