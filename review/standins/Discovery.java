import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Discovery as PROTOCOL has it: the whole list, and watches that wait for changes. Here the list never changes in a case. */
final class Discovery implements AutoCloseable {
    private final List<String> entries = new ArrayList<>();
    private final Server server;

    Discovery() throws IOException {
        server = new Server((connection, in, request) -> answer(connection, request));
    }

    /** Lists a backend that is ready and has run for long. */
    synchronized void add(String id, String address, String zone) {
        entries.add("{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"std-1\",\"cell\":0,\"state\":\"ready\",\"weight\":1.0,\"started_ms\":0}");
    }

    private synchronized String list(boolean full) {
        return "{\"version\":1,\"full\":" + full + ",\"servers\":[" + (full ? String.join(",", entries) : "") + "]}";
    }

    private boolean answer(Socket connection, Http request) throws IOException {
        String path = request.path();
        boolean watch = path.contains("from=1&");
        int hold = path.indexOf("hold_ms=");
        if (watch && hold > 0) {
            Threads.sleep(Long.parseLong(path.substring(hold + 8).split("&")[0]));
        }
        connection
                .getOutputStream()
                .write(Http.answer(200, "Content-Type: application/json\r\n", list(!watch)));
        return !"close".equalsIgnoreCase(request.header("connection"));
    }

    String address() {
        return server.address();
    }

    String known() {
        return list(true).getBytes(StandardCharsets.UTF_8).length == 0 ? "null" : list(true);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
