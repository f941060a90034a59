package grebehoist.thrift;

/** Bytes that are no Thrift message. Cheap to throw: rubbish comes by the thousand. */
final class BadFrame extends Exception {
    private static final long serialVersionUID = 1L;

    BadFrame(String why) {
        super(why, null, false, false);
    }
}
