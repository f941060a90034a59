package grebehoist.http;

import beechfall.Balancer.Outcome;
import io.netty.handler.codec.http.FullHttpResponse;

/**
 * The one table of what HTTP tells of an attempt: how it ended, and whether the backend may have run it.
 *
 * <table>
 * <caption>Outcomes</caption>
 * <tr><th>what comes back</th><th>outcome</th><th>has it run, and why</th></tr>
 * <tr><td>200, whole, after the request was written whole</td><td>OK</td><td>yes: the backend says so</td></tr>
 * <tr><td>503 or 504 with {@code X-Not-Processed: 1}, also before the request has gone whole</td><td>FULL</td><td>never: the
 * backend turned it away and says so; without that header the status is convention and no proof</td></tr>
 * <tr><td>any other whole answer</td><td>ERROR</td><td>may have: an error can come after the effect</td></tr>
 * <tr><td>an answer that can't be read, or began before the request had gone</td><td>ERROR</td><td>may have: something
 * has come back</td></tr>
 * <tr><td>the connection is refused, or breaks before the request's last byte has been written</td><td>CONNECT_FAILED
 * </td><td>never: a backend begins when the last byte has come (RFC 9112, 8: an incomplete message is not processed)
 * </td></tr>
 * <tr><td>the connection breaks after that, also in the middle of an answer</td><td>RESET</td><td>may have</td></tr>
 * <tr><td>nothing in time</td><td>TIMEOUT, or CONNECT_FAILED before the last byte</td><td>may have, or may yet</td></tr>
 * </table>
 */
final class HttpOutcomes {
    private HttpOutcomes() {}

    /**
     * Returns the outcome of an answer.
     *
     * @param sound if it could be read and came after the whole request had gone
     * @param readable if it could be read
     */
    static Outcome ofAnswer(FullHttpResponse response, boolean sound, boolean readable) {
        int status = response.status().code();
        if (sound && status == 200) {
            return Outcome.OK;
        }
        boolean turnedAway = (status == 503 || status == 504)
                && "1".equals(response.headers().get(Headers.NOT_PROCESSED));
        return readable && turnedAway ? Outcome.FULL : Outcome.ERROR;
    }
}
