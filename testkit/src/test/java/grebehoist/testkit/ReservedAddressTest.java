package grebehoist.testkit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class ReservedAddressTest {
    @Test
    void whoListensMayHaveItAndNobodyElse() throws Exception {
        InetSocketAddress address = ReservedAddress.next();
        assertThat(ReservedAddress.next()).isNotEqualTo(address);
        assertThatThrownBy(() -> new Socket(address.getAddress(), address.getPort()))
                .as("nobody listens yet")
                .isInstanceOf(ConnectException.class);
        try (var connection = new Socket()) {
            connection.setReuseAddress(false);
            assertThatThrownBy(() -> connection.bind(address)).isInstanceOf(BindException.class);
        }
        try (var server = new ServerSocket()) {
            server.setReuseAddress(true);
            server.bind(address);
            try (var client = new Socket(address.getAddress(), address.getPort());
                    var accepted = server.accept()) {
                assertThat(accepted.getRemoteSocketAddress()).isEqualTo(client.getLocalSocketAddress());
            }
        }
    }
}
