package grebehoist.engine;

/**
 * An answer that has begun and goes on coming: its first bytes are there, the rest passes from transport to front without the
 * engine. Used by the engine's thread alone.
 */
public interface StreamedPayload extends Payload {
    /** Hears how a stream ended. */
    interface End {
        /** It is over. */
        void over(boolean whole);
    }

    /**
     * Names who hears of its end, once. May be called back at once, if that is behind it already.
     */
    void onEnd(End end);
}
