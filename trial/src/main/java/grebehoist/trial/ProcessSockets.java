package grebehoist.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Which connections a process on this machine holds, as the kernel lists them (proc(5): {@code fd} and {@code net/tcp}, IPv4). */
final class ProcessSockets {
    private static final Path PROC = Path.of("/proc");
    private static final String SOCKET = "socket:[";
    /** Of a line of {@code net/tcp}. */
    private static final int LOCAL_ADDRESS = 1;

    private static final int REMOTE_ADDRESS = 2;
    private static final int INODE = 9;

    private ProcessSockets() {}

    /**
     * Returns the ports of the other ends of the connections that a process has accepted.
     *
     * @param pid the process; one that has ended holds none
     * @param port where it accepts them
     */
    static Set<Integer> clientPorts(long pid, int port) throws IOException {
        Path process = PROC.resolve(Long.toString(pid));
        try (Stream<String> connections = Files.lines(process.resolve("net/tcp"))) {
            Set<String> inodes = inodes(process.resolve("fd"));
            return connections
                    .skip(1)
                    .map(line -> line.trim().split("\\s+"))
                    .filter(fields -> inodes.contains(fields[INODE]) && port(fields[LOCAL_ADDRESS]) == port)
                    .map(fields -> port(fields[REMOTE_ADDRESS]))
                    .collect(Collectors.toSet());
        } catch (NoSuchFileException e) {
            return Set.of();
        }
    }

    /** Of an address and a port in hexadecimal digits with a colon between them. */
    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1), 16);
    }

    private static Set<String> inodes(Path descriptors) throws IOException {
        var inodes = new HashSet<String>();
        try (Stream<Path> open = Files.list(descriptors)) {
            for (Path descriptor : (Iterable<Path>) open::iterator) {
                inode(descriptor, inodes);
            }
        }
        return inodes;
    }

    private static void inode(Path descriptor, Set<String> inodes) throws IOException {
        try {
            String target = Files.readSymbolicLink(descriptor).toString();
            if (target.startsWith(SOCKET)) {
                inodes.add(target.substring(SOCKET.length(), target.length() - 1));
            }
        } catch (NoSuchFileException e) {
            // It has been closed meanwhile.
        }
    }
}
