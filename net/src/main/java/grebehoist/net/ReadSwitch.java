package grebehoist.net;

import io.netty.channel.Channel;

/**
 * Lets the reading of a channel rest and go on. It goes on as a task of the loop, never from inside a call: a channel that reads at once
 * (those inside the process do) would give its decoder bytes while that still hands out what came before, and they would come out of
 * order. Used by the channel's loop alone.
 */
public final class ReadSwitch {
    private final Channel channel;
    private boolean rests;
    private boolean resuming;

    /** Makes one for a channel that is read. */
    public ReadSwitch(Channel channel) {
        this.channel = channel;
    }

    /** Returns whether reading rests. */
    public boolean rests() {
        return rests;
    }

    /** Nothing is read for now. */
    public void rest() {
        rests = true;
        channel.config().setAutoRead(false);
    }

    /** Reading goes on, as soon as the loop comes to it. */
    public void resume() {
        if (rests) {
            rests = false;
            if (!resuming) {
                resuming = true;
                channel.eventLoop().execute(this::readOn);
            }
        }
    }

    private void readOn() {
        resuming = false;
        if (!rests) {
            channel.config().setAutoRead(true);
        }
    }
}
