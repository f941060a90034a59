package grebehoist.lab;

/** An experiment that can't be read or played; the message says what and where. */
final class LabException extends RuntimeException {
    private static final long serialVersionUID = 1;

    LabException(String message) {
        super(message);
    }
}
