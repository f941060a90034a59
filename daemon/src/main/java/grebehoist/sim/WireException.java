package grebehoist.sim;

/** Input that is not a legal message of the wire; the message says what is wrong with it. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
